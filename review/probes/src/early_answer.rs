//! An engine that answers before it has read a long body, while the machine that sent it the request is stopped in order.
//!
//! With trouble the engine begins its stream when it has read the head, and reads the rest of the body [`READ_ON`] later, on
//! the same connection. Without, it reads the body first.

use crate::engine::{Engine, NOT_FOUND, Spec, event, is_client_request, stream_head};
use crate::fleet::Fleet;
use crate::http::{Connection, Head};
use crate::socket::limit_buffer;
use crate::{CaseError, Verdict, request};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 4;
/// Length of a request's body: the largest of the site file's sheet.
const BODY: usize = 110_000;
/// Events of a stream, over five seconds.
const EVENTS: usize = 25;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
const EVENT_BYTES: usize = 50;
/// When the engine reads on, from the start of its answer.
const READ_ON: Duration = Duration::from_secs(4);
/// Receive buffer of the engine's connections, in bytes.
const BUFFER: usize = 16 << 10;
/// From the requests to the SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(500);
/// The node that serves the clients.
const NODE: usize = 1;

fn serve(
    fleet: &Fleet,
    engine: &Engine,
    mut connection: Connection,
    has_trouble: bool,
) -> io::Result<()> {
    while let Some(head) = connection.head()? {
        if !is_client_request(&head) {
            connection.body(&head)?;
            connection.send(NOT_FOUND)?;
            continue;
        }
        let attempt = head.header("x-attempt-id").unwrap_or("").to_owned();
        fleet.record.add(&format!("engine {}: runs {attempt}", engine.id));
        let answered = answer(fleet, &mut connection, &head, &attempt, has_trouble);
        match &answered {
            Ok(()) => fleet.record.add(&format!("engine {}: has sent all of {attempt}", engine.id)),
            Err(error) => {
                fleet
                    .record
                    .add(&format!("engine {}: {attempt} cut by the caller: {error}", engine.id));
            }
        }
        answered?;
    }
    Ok(())
}

fn answer(
    fleet: &Fleet,
    connection: &mut Connection,
    head: &Head,
    attempt: &str,
    has_trouble: bool,
) -> io::Result<()> {
    let mut is_read = !has_trouble;
    if is_read {
        connection.body(head)?;
    }
    let begun_at = Instant::now();
    connection.send(stream_head(head).as_bytes())?;
    for id in 1..=EVENTS {
        connection.send_chunk(event(id, EVENT_BYTES).as_bytes())?;
        thread::sleep(EVENT_INTERVAL);
        if !is_read && begun_at.elapsed() >= READ_ON {
            let body = connection.body(head)?;
            let is_whole = body.len() == head.length() && body.iter().all(|byte| *byte == b'b');
            fleet
                .record
                .add(&format!("engine: has read on the body of {attempt}: whole {is_whole}"));
            is_read = true;
        }
    }
    connection.send(b"0\r\n\r\n")
}

fn run_client(fleet: &Fleet, number: usize) -> io::Result<bool> {
    let mut connection = Connection::new(TcpStream::connect(fleet.front(NODE))?);
    connection.stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    let attempt = format!("c{number:015x}");
    connection.send(&request("/hint/long", &attempt, BODY))?;
    fleet.record.add(&format!("client {number}: sent {attempt}"));
    let read = connection.head().and_then(|head| {
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        fleet.record.add(&format!("client {number}: answer {} begins", head.status()));
        connection.body(&head)
    });
    match &read {
        Ok(body) => fleet.record.add(&format!("client {number}: complete, {} bytes", body.len())),
        Err(error) => fleet.record.add(&format!("client {number}: {attempt} ended early: {error}")),
    }
    Ok(read.is_ok_and(|body| body.len() == EVENTS * EVENT_BYTES))
}

/// Plays the case.
pub fn play(fleet: &Arc<Fleet>, has_trouble: bool) -> Result<Verdict, CaseError> {
    let of_engine = fleet.clone();
    let serve = Arc::new(move |engine: &Engine, connection: Connection| {
        serve(&of_engine, engine, connection, has_trouble)
    });
    Engine::start(fleet, Spec::new(1), |listener| limit_buffer(listener, BUFFER), serve)?;
    thread::sleep(Duration::from_secs(5));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let fleet = fleet.clone();
            thread::spawn(move || run_client(&fleet, number))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    fleet.signal(NODE, "TERM");
    let mut lost = 0;
    for client in clients {
        lost += usize::from(!client.join().map_err(|_| "a client panicked")??);
    }
    fleet.record.add(&format!(
        "check LOST: {lost} of {CLIENTS} connections ended without a complete answer, after the request was passed on"
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
