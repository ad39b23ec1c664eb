//! Clients that read slowly while the machine that serves them is stopped in order.
//!
//! Each client has a kept connection and a small receive buffer. It reads the start of its stream, and with trouble reads
//! nothing for [`PAUSE`] then. The engine sends every stream whole within two seconds.

use crate::engine::{Engine, NOT_FOUND, Spec, event, is_client_request, stream_head};
use crate::fleet::Fleet;
use crate::http::Connection;
use crate::socket::connect_with_buffer;
use crate::{CaseError, Verdict, request};
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 6;
/// Events of a stream and their length in bytes: the largest of the site file's sheet.
const EVENTS: usize = 238;
const EVENT_BYTES: usize = 300;
const EVENT_INTERVAL: Duration = Duration::from_millis(6);
/// Receive buffer of a client, in bytes.
const BUFFER: usize = 8 << 10;
/// How long a client reads nothing.
const PAUSE: Duration = Duration::from_secs(4);
/// From the requests to the SIGTERM.
const STOP_AFTER: Duration = Duration::from_millis(500);
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
        let events = if head.first_line.contains("/hint/short") { 2 } else { EVENTS };
        fleet.record.add(&format!("engine {}: runs {attempt}", engine.id));
        let sent = send_stream(&mut connection, &stream_head(&head), events);
        match &sent {
            Ok(()) => fleet.record.add(&format!("engine {}: has sent all of {attempt}", engine.id)),
            Err(error) => {
                fleet
                    .record
                    .add(&format!("engine {}: {attempt} cut by the caller: {error}", engine.id));
            }
        }
        sent?;
    }
    Ok(())
}

fn send_stream(connection: &mut Connection, head: &str, events: usize) -> io::Result<()> {
    connection.send(head.as_bytes())?;
    for id in 1..=events {
        connection.send_chunk(event(id, EVENT_BYTES).as_bytes())?;
        thread::sleep(EVENT_INTERVAL);
    }
    connection.send(b"0\r\n\r\n")
}

/// How the long stream of one client ended.
struct Ended {
    attempt: String,
    /// Bytes of events that were received.
    received: usize,
    error: Option<String>,
}

fn run_client(fleet: &Fleet, number: usize, has_trouble: bool) -> io::Result<Ended> {
    let mut connection = Connection::new(connect_with_buffer(fleet.front(NODE), BUFFER)?);
    connection.stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    // The first request makes it a kept connection.
    connection.send(&request("/hint/short", &format!("a{number:015x}"), 1700))?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    connection.body(&head)?;
    fleet.record.add(&format!("client {number}: first answer {}", head.status()));
    let attempt = format!("b{number:015x}");
    connection.send(&request("/hint/long", &attempt, 1700))?;
    fleet.record.add(&format!("client {number}: sent {attempt}"));
    let mut ended = Ended { attempt, received: 0, error: None };
    if let Err(error) = read_stream(fleet, &mut connection, &mut ended, number, has_trouble) {
        ended.error = Some(error.to_string());
    }
    let how = ended.error.clone().unwrap_or_else(|| "complete".to_owned());
    fleet
        .record
        .add(&format!("client {number}: {} bytes of {}: {how}", ended.received, ended.attempt));
    Ok(ended)
}

fn read_stream(
    fleet: &Fleet,
    connection: &mut Connection,
    ended: &mut Ended,
    number: usize,
    has_trouble: bool,
) -> io::Result<()> {
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    fleet.record.add(&format!("client {number}: answer {} begins", head.status()));
    loop {
        let chunk = connection.chunk()?;
        if chunk.is_empty() {
            return Ok(());
        }
        if ended.received == 0 && has_trouble {
            fleet.record.add(&format!("client {number}: reads nothing for {PAUSE:?}"));
            thread::sleep(PAUSE);
        }
        ended.received += chunk.len();
    }
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
            thread::spawn(move || run_client(&fleet, number, has_trouble))
        })
        .collect();
    thread::sleep(STOP_AFTER);
    fleet.signal(NODE, "TERM");
    let mut lost = 0;
    for client in clients {
        let ended = client.join().map_err(|_| "a client panicked")??;
        let is_whole = ended.error.is_none() && ended.received == EVENTS * EVENT_BYTES;
        lost += usize::from(!is_whole);
    }
    fleet.record.add(&format!(
        "check LOST: {lost} of {CLIENTS} connections ended without a complete answer, after the request was passed on"
    ));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}
