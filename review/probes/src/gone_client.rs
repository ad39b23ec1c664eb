//! An engine crashes in the middle of its streams, and their clients give up while another engine has them.
//!
//! All streams run on engine 1. Engine 2 is slow: it needs [`PREFILL`] to a first token. With trouble engine 1 crashes, the router
//! takes the streams up at engine 2, and each client leaves after the silence that the pages give. Engine 2 drops a request
//! whose connection closes, and records until when it worked on it.

use crate::engine::{Engine, NOT_FOUND, Spec, event, is_client_request, stream_head};
use crate::fleet::Fleet;
use crate::http::Connection;
use crate::{CaseError, Verdict, request};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
const EVENTS: usize = 30;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);
const EVENT_BYTES: usize = 50;
/// How long engine 2 works on a request before its first token.
const PREFILL: Duration = Duration::from_secs(6);
/// The silence after which a client gives up: the longest of two seconds, four times the aim (0.8 s) and eight times the pause
/// (0.4 s).
const PATIENCE: Duration = Duration::from_millis(3200);
/// The rule's time from the client's close to the end of the work.
const ALLOWED: f64 = 0.5;
/// The window of the retry budget: a router spends its share of the slack only after it has run for so long.
const BUDGET_WINDOW: Duration = Duration::from_secs(11);
/// The node that serves the clients.
const NODE: usize = 1;

/// Times by attempt id.
type Times = Arc<Mutex<BTreeMap<String, f64>>>;

fn add(times: &Times, attempt: &str, at: f64) {
    times.lock().expect("not poisoned").insert(attempt.to_owned(), at);
}

/// Works for a time, unless the connection closes before; false if it did.
fn work(connection: &mut Connection, time: Duration) -> io::Result<bool> {
    let end = Instant::now() + time;
    connection.stream.set_read_timeout(Some(Duration::from_millis(20)))?;
    let mut byte = [0];
    while Instant::now() < end {
        match connection.stream.read(&mut byte) {
            Ok(_) => return Ok(false),
            Err(error)
                if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(_) => return Ok(false),
        }
    }
    connection.stream.set_read_timeout(None)?;
    Ok(true)
}

fn serve(
    fleet: &Fleet,
    engine: &Engine,
    mut connection: Connection,
    prefill: Duration,
    worked_until: &Times,
) -> io::Result<()> {
    while let Some(head) = connection.head()? {
        connection.body(&head)?;
        if !is_client_request(&head) {
            connection.send(NOT_FOUND)?;
            continue;
        }
        let attempt = head.header("x-attempt-id").unwrap_or("").to_owned();
        let after: usize = head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        fleet.record.add(&format!("engine {}: takes {attempt} up after event {after}", engine.id));
        let is_wanted = work(&mut connection, prefill)?;
        let streamed = if is_wanted {
            fleet.record.add(&format!("engine {}: first token of {attempt}", engine.id));
            send_stream(engine, &mut connection, &stream_head(&head), after)
        } else {
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        if prefill > Duration::ZERO {
            add(worked_until, &attempt, fleet.record.now());
        }
        let how = if streamed.is_ok() { "to its end" } else { "until its connection closed" };
        fleet.record.add(&format!("engine {}: worked on {attempt} {how}", engine.id));
        streamed?;
    }
    Ok(())
}

fn send_stream(
    engine: &Engine,
    connection: &mut Connection,
    head: &str,
    after: usize,
) -> io::Result<()> {
    connection.send(head.as_bytes())?;
    for id in after + 1..=EVENTS {
        if !engine.is_alive() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        connection.send_chunk(event(id, EVENT_BYTES).as_bytes())?;
        thread::sleep(EVENT_INTERVAL);
    }
    connection.send(b"0\r\n\r\n")
}

fn run_client(fleet: &Fleet, number: usize, left_at: &Times) -> io::Result<()> {
    let mut connection = Connection::new(TcpStream::connect(fleet.front(NODE))?);
    connection.stream.set_read_timeout(Some(PATIENCE))?;
    let attempt = format!("d{number:015x}");
    connection.send(&request("/ruling/long", &attempt, 18_000))?;
    fleet.record.add(&format!("client {number}: sent {attempt}"));
    let read = connection.head().and_then(|head| {
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        connection.body(&head)
    });
    drop(connection);
    match read {
        Ok(body) => fleet.record.add(&format!("client {number}: complete, {} bytes", body.len())),
        Err(error)
            if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) =>
        {
            add(left_at, &attempt, fleet.record.now());
            fleet
                .record
                .add(&format!("client {number}: closes {attempt} after a silence of {PATIENCE:?}"));
        }
        Err(error) => fleet.record.add(&format!("client {number}: {attempt} ended early: {error}")),
    }
    Ok(())
}

/// Plays the case.
pub fn play(fleet: &Arc<Fleet>, has_trouble: bool) -> Result<Verdict, CaseError> {
    let (worked_until, left_at) = (Times::default(), Times::default());
    let start = |number: usize, prefill: Duration| {
        let (fleet_of_engine, worked_until) = (fleet.clone(), worked_until.clone());
        let serve = Arc::new(move |engine: &Engine, connection: Connection| {
            serve(&fleet_of_engine, engine, connection, prefill, &worked_until)
        });
        Engine::start(fleet, Spec::new(number), |_| Ok(()), serve)
    };
    let first = start(1, Duration::ZERO)?;
    thread::sleep(BUDGET_WINDOW);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fleet, left_at) = (fleet.clone(), left_at.clone());
            thread::spawn(move || run_client(&fleet, number, &left_at))
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    start(2, PREFILL)?;
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        fleet.record.add("engine i-00000001 crashes");
        first.crash();
    }
    for client in clients {
        client.join().map_err(|_| "a client panicked")??;
    }
    thread::sleep(PREFILL);
    check(fleet, &left_at, &worked_until)
}

fn check(fleet: &Fleet, left_at: &Times, worked_until: &Times) -> Result<Verdict, CaseError> {
    let left_at = left_at.lock().map_err(|_| "poisoned")?;
    let worked_until = worked_until.lock().map_err(|_| "poisoned")?;
    let mut still_at_work = 0;
    for (attempt, left) in left_at.iter() {
        let Some(until) = worked_until.get(attempt) else { continue };
        fleet.record.add(&format!(
            "{attempt}: worked on for {:.3} s after its client had left",
            until - left
        ));
        still_at_work += usize::from(until - left > ALLOWED);
    }
    let all = left_at.len();
    fleet.record.add(&format!(
        "check GONE: at {still_at_work} of {all} streams that their clients had left, an engine was at work over {ALLOWED} s later"
    ));
    Ok(if still_at_work * 4 > all { Verdict::Broken } else { Verdict::Held })
}
