//! Clients that send a second request before the first is answered, while the machine that serves them is stopped in order.
//!
//! Each client sends both requests in one piece of less than 2 KB on a kept connection, so that the router has read the second when
//! it serves the first. With trouble the machine gets SIGTERM while the first streams run.

use crate::engine::{Engine, NOT_FOUND, Spec, event, is_client_request, stream_head};
use crate::fleet::Fleet;
use crate::http::Connection;
use crate::{CaseError, Verdict, request};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 6;
/// Events of a stream, over 4 s.
const EVENTS: usize = 20;
const EVENT_BYTES: usize = 50;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
/// From the requests to the SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(500);
/// `lossSlackMs`, in seconds.
const LOSS_SLACK: f64 = 0.2;
/// The node that serves the clients.
const NODE: usize = 1;

fn serve(fleet: &Fleet, engine: &Engine, mut connection: Connection) -> io::Result<()> {
    while let Some(head) = connection.head()? {
        connection.body(&head)?;
        if !is_client_request(&head) {
            connection.send(NOT_FOUND)?;
            continue;
        }
        let attempt = head.header("x-attempt-id").unwrap_or("").to_owned();
        fleet.record.add(&format!("engine {}: runs {attempt}", engine.id));
        connection.send(stream_head(&head).as_bytes())?;
        let events = if head.first_line.contains("/hint/short") { 2 } else { EVENTS };
        for id in 1..=events {
            connection.send_chunk(event(id, EVENT_BYTES).as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        connection.send(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Reads one answer whole; its status, or how the connection ended.
fn read_answer(fleet: &Fleet, connection: &mut Connection, attempt: &str) -> Result<u16, String> {
    let read = connection.head().and_then(|head| {
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let announced = head.header("connection").unwrap_or("none").to_owned();
        fleet
            .record
            .add(&format!("client: {attempt}: {} begins, Connection: {announced}", head.status()));
        connection.body(&head)?;
        Ok(head.status())
    });
    let how = match &read {
        Ok(status) => format!("complete answer {status}"),
        Err(error) => format!("no complete answer: {error}"),
    };
    fleet.record.add(&format!("client: {attempt}: {how}"));
    read.map_err(|error| error.to_string())
}

/// Whether the first answer was complete, and whether the second request was lost.
fn run_client(fleet: &Fleet, number: usize) -> io::Result<(bool, bool)> {
    let mut connection = Connection::new(TcpStream::connect(fleet.front(NODE))?);
    connection.stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    // A request before these two makes it a kept connection.
    connection.send(&request("/hint/short", &format!("a{number:015x}"), 100))?;
    if read_answer(fleet, &mut connection, &format!("a{number:015x}")).is_err() {
        return Ok((false, false));
    }
    let (first, second) = (format!("b{number:015x}"), format!("c{number:015x}"));
    let mut both = request("/hint/long", &first, 100);
    both.extend(request("/hint/long", &second, 100));
    connection.send(&both)?;
    let sent_at = fleet.record.now();
    fleet.record.add(&format!("client: sent {first} and {second}, {} bytes", both.len()));
    let is_first_whole = read_answer(fleet, &mut connection, &first).is_ok();
    let is_lost = read_answer(fleet, &mut connection, &second).is_err()
        && fleet.record.now() > sent_at + LOSS_SLACK;
    Ok((is_first_whole, is_lost))
}

/// Plays the case.
pub fn play(fleet: &Arc<Fleet>, has_trouble: bool) -> Result<Verdict, CaseError> {
    let of_engine = fleet.clone();
    let serve = Arc::new(move |engine: &Engine, connection: Connection| {
        serve(&of_engine, engine, connection)
    });
    Engine::start(fleet, Spec::new(1), |_| Ok(()), serve)?;
    thread::sleep(Duration::from_secs(5));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let fleet = fleet.clone();
            thread::spawn(move || run_client(&fleet, number))
        })
        .collect();
    thread::sleep(Duration::from_millis(600) + STOP_AFTER);
    if has_trouble {
        fleet.signal(NODE, "TERM");
    }
    let mut lost = 0;
    for client in clients {
        let (is_first_whole, is_lost) = client.join().map_err(|_| "a client panicked")??;
        if !is_first_whole {
            return Err("a first request had no complete answer".into());
        }
        lost += usize::from(is_lost);
    }
    fleet.record.add(&format!(
        "check LOST: {lost} of {CLIENTS} connections ended without an answer to a request that was sent whole over {LOSS_SLACK} s before"
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
