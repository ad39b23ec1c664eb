//! A stream of a tenant that has been isolated meanwhile is taken up at another engine.
//!
//! Engines keep the first part of each prompt under its salt, with the tenant whose request made it, and use a part that they keep
//! under the same salt. The stream of `pibo212` runs on engine 1, and a request of `nowu640` on engine 2. Then `pibo212` is
//! isolated, and well after `applyMs`, with trouble, engine 1 crashes.

use crate::engine::{Engine, NOT_FOUND, Spec, event, is_client_request, stream_head};
use crate::fleet::Fleet;
use crate::http::{Connection, Head};
use crate::{CaseError, KEY, OTHER_KEY, SHARED_PART, Verdict, configuration, request_of};
use std::collections::BTreeMap;
use std::io;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const EVENTS: usize = 45;
const EVENT_INTERVAL: Duration = Duration::from_millis(300);
const EVENT_BYTES: usize = 50;
/// The window of the retry budget: a router spends its share of the slack only after it has run for so long.
const BUDGET_WINDOW: Duration = Duration::from_secs(11);
/// From the acknowledgement of the isolation to the crash; `applyMs` is 2 s.
const CRASH_AFTER: Duration = Duration::from_secs(5);
/// The node that serves the clients.
const NODE: usize = 1;

/// One use of a kept part that another tenant's request had made.
struct Sharing {
    at: f64,
    user: String,
    maker: String,
}

/// What the engines have seen.
#[derive(Default)]
struct Seen {
    /// The tenant that made the first part, by engine and salt.
    makers: BTreeMap<(String, String), String>,
    sharings: Vec<Sharing>,
    /// Attempts that began, with their engine.
    begun: Vec<(String, String)>,
}

/// Whether engine 1 takes further requests; while it is full it turns them away.
type IsFull = Arc<std::sync::atomic::AtomicBool>;

fn begin(fleet: &Fleet, engine: &Engine, head: &Head, seen: &Mutex<Seen>) {
    let text = |name| head.header(name).unwrap_or("").to_owned();
    let (attempt, tenant, salt) = (text("x-attempt-id"), text("x-tenant"), text("x-cache-salt"));
    let has_part = text("x-prompt-prefix").starts_with(SHARED_PART);
    let mut seen = seen.lock().expect("not poisoned");
    seen.begun.push((attempt.clone(), engine.id.clone()));
    let after = text("last-event-id");
    fleet.record.add(&format!(
        "engine {}: runs {attempt} of {tenant} under the salt {salt:?}, after event {after:?}",
        engine.id
    ));
    let kept = seen.makers.get(&(engine.id.clone(), salt.clone())).cloned();
    match kept.filter(|_| has_part) {
        Some(maker) if maker != tenant => {
            fleet.record.add(&format!(
                "engine {}: {attempt} of {tenant} uses part {SHARED_PART} that a request of {maker} made",
                engine.id
            ));
            seen.sharings.push(Sharing { at: fleet.record.now(), user: tenant, maker });
        }
        Some(_) => {}
        None => {
            seen.makers.insert((engine.id.clone(), salt), tenant);
        }
    }
}

fn serve(
    fleet: &Fleet,
    engine: &Engine,
    mut connection: Connection,
    seen: &Mutex<Seen>,
    is_full: &IsFull,
) -> io::Result<()> {
    while let Some(head) = connection.head()? {
        connection.body(&head)?;
        if !is_client_request(&head) {
            connection.send(NOT_FOUND)?;
            continue;
        }
        if is_full.load(std::sync::atomic::Ordering::SeqCst) {
            let attempt = head.header("x-attempt-id").unwrap_or("");
            connection.send(
                format!("HTTP/1.1 503 Full\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    .as_bytes(),
            )?;
            continue;
        }
        begin(fleet, engine, &head, seen);
        connection.send(stream_head(&head).as_bytes())?;
        let after: usize = head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let last = if head.first_line.contains("/short") { 2 } else { EVENTS };
        for id in after + 1..=last {
            if !engine.is_alive() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            connection.send_chunk(event(id, EVENT_BYTES).as_bytes())?;
            thread::sleep(EVENT_INTERVAL);
        }
        connection.send(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Sends a request and reads its whole stream.
fn run_client(fleet: &Fleet, key: &str, path: &str, attempt: &str) -> io::Result<u16> {
    let mut connection = Connection::new(TcpStream::connect(fleet.front(NODE))?);
    connection.stream.set_read_timeout(Some(Duration::from_secs(15)))?;
    connection.send(&request_of(key, path, attempt, 18_000))?;
    fleet.record.add(&format!("client: sent {attempt}"));
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = connection.body(&head);
    let how = match &body {
        Ok(body) => format!("{} bytes", body.len()),
        Err(error) => format!("ended early: {error}"),
    };
    fleet.record.add(&format!("client: {attempt}: {} {how}", head.status()));
    Ok(head.status())
}

/// Plays the case.
pub fn play(fleet: &Arc<Fleet>, has_trouble: bool) -> Result<Verdict, CaseError> {
    let seen = Arc::new(Mutex::new(Seen::default()));
    let is_full = IsFull::default();
    let start = |number: usize, is_full: IsFull| {
        let (fleet_of_engine, seen) = (fleet.clone(), seen.clone());
        let serve = Arc::new(move |engine: &Engine, connection: Connection| {
            serve(&fleet_of_engine, engine, connection, &seen, &is_full)
        });
        Engine::start(fleet, Spec::new(number), |_| Ok(()), serve)
    };
    let begun_at = |attempt: &str| {
        let seen = seen.lock().expect("not poisoned");
        seen.begun.iter().find(|(begun, _)| begun == attempt).map(|(_, engine)| engine.clone())
    };
    let first = start(1, is_full.clone())?;
    thread::sleep(BUDGET_WINDOW);
    let of_client = fleet.clone();
    let stream = thread::spawn(move || {
        run_client(&of_client, OTHER_KEY, "/ruling/long", "e000000000000001")
    });
    thread::sleep(Duration::from_millis(300));
    is_full.store(true, std::sync::atomic::Ordering::SeqCst);
    let second = start(2, IsFull::default())?;
    thread::sleep(Duration::from_secs(1));
    run_client(fleet, KEY, "/ruling/short", "e000000000000002")?;
    if begun_at("e000000000000002").as_deref() != Some(second.id.as_str()) {
        return Err("the other tenant's request did not run on engine 2".into());
    }
    if !fleet.order("Config.Replace", "X-Base-Revision: 7\r\n", &configuration(8, true)) {
        return Err("the isolation was not acknowledged".into());
    }
    let isolated_at = fleet.record.now();
    thread::sleep(CRASH_AFTER);
    run_client(fleet, OTHER_KEY, "/ruling/short", "e000000000000003")?;
    if has_trouble {
        fleet.record.add("engine i-00000001 crashes");
        first.crash();
    }
    stream.join().map_err(|_| "a client panicked")??;
    let seen = seen.lock().map_err(|_| "poisoned")?;
    let broken: Vec<&Sharing> = seen
        .sharings
        .iter()
        .filter(|sharing| {
            sharing.at > isolated_at
                && [&sharing.user, &sharing.maker].iter().any(|tenant| *tenant == "pibo212")
        })
        .collect();
    for Sharing { at, user, maker } in &broken {
        fleet.record.add(&format!(
            "check WALL: a run of {user} that began {:.1} s after pibo212 was isolated uses memory of {maker}",
            at - isolated_at
        ));
    }
    fleet.record.add(&format!("check WALL: {} such runs", broken.len()));
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken })
}
