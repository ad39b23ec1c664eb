//! New weights are named while requests wait in the queue of an engine that leaves.
//!
//! Engine 1 has all its slots taken by streams of [`STREAM`], and further requests in its queue. With trouble it says then that it
//! drains, as an engine that is replaced does, and works its queue off. Without, it stays, and takes the order to load the new
//! weights: it turns away what has not begun. Both are what the pages say of an engine.

use crate::engine::{Engine, NOT_FOUND, Spec, event, is_client_request, stream_head};
use crate::fleet::Fleet;
use crate::http::{Connection, Head};
use crate::{CaseError, Verdict, request};
use std::io::{self, Read};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Slots of an engine, all taken by streams.
const SLOTS: usize = 48;
/// Requests in the queue: not streams, whose clients would leave after a silence of 3.2 s.
const QUEUED: usize = 8;
/// How long each of the streams lasts.
const STREAM: Duration = Duration::from_millis(11_500);
const EVENTS: u32 = 40;
const EVENT_BYTES: usize = 50;
/// How long a queued request runs once it has a slot.
const RUN: Duration = Duration::from_millis(300);
/// How long new weights take an engine.
const LOAD: Duration = Duration::from_millis(400);
/// `versionMs`, in seconds.
const VERSION_BOUND: f64 = 8.0;
/// The node that serves the clients.
const NODE: usize = 1;

/// The state of an engine's scheduler.
#[derive(Default)]
struct Scheduler {
    running: usize,
    /// Whether an order is under way.
    is_busy: bool,
    orders: u64,
}

/// When a queued request began, and under which version.
struct Begun {
    attempt: String,
    at: f64,
    version: u64,
}

struct State {
    scheduler: Mutex<Scheduler>,
    begun: Arc<Mutex<Vec<Begun>>>,
}

/// What became of a request in the queue.
enum Admission {
    Slot,
    TurnedAway,
    Closed,
}

/// Waits for a slot, unless the connection closes or an order turns the request away.
fn wait_for_slot(connection: &mut Connection, state: &State) -> io::Result<Admission> {
    connection.stream.set_read_timeout(Some(Duration::from_millis(10)))?;
    let mut byte = [0];
    loop {
        {
            let mut scheduler = state.scheduler.lock().expect("not poisoned");
            if scheduler.is_busy {
                return Ok(Admission::TurnedAway);
            }
            if scheduler.running < SLOTS {
                scheduler.running += 1;
                connection.stream.set_read_timeout(None)?;
                return Ok(Admission::Slot);
            }
        }
        match connection.stream.read(&mut byte) {
            Err(error)
                if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            _ => return Ok(Admission::Closed),
        }
    }
}

fn serve(
    fleet: &Arc<Fleet>,
    engine: &Engine,
    mut connection: Connection,
    state: &Arc<State>,
) -> io::Result<()> {
    while let Some(head) = connection.head()? {
        let body = connection.body(&head)?;
        if !is_client_request(&head) {
            answer_controller(fleet, engine, &mut connection, &head, &body, state)?;
            continue;
        }
        let attempt = head.header("x-attempt-id").unwrap_or("").to_owned();
        match wait_for_slot(&mut connection, state)? {
            Admission::Slot => {}
            Admission::TurnedAway => {
                connection.stream.set_read_timeout(None)?;
                fleet.record.add(&format!("engine {}: turns {attempt} away", engine.id));
                connection.send(
                    format!("HTTP/1.1 503 Busy\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                        .as_bytes(),
                )?;
                continue;
            }
            Admission::Closed => {
                fleet.record.add(&format!("engine {}: drops {attempt} from its queue", engine.id));
                return Ok(());
            }
        }
        let ran = run(fleet, engine, &mut connection, &head, &attempt, state);
        state.scheduler.lock().expect("not poisoned").running -= 1;
        ran?;
    }
    Ok(())
}

fn run(
    fleet: &Fleet,
    engine: &Engine,
    connection: &mut Connection,
    head: &Head,
    attempt: &str,
    state: &State,
) -> io::Result<()> {
    let version = engine.version.load(Ordering::SeqCst);
    if head.first_line.contains("/hint/") {
        connection.send(stream_head(head).as_bytes())?;
        for id in 1..=EVENTS as usize {
            connection.send_chunk(event(id, EVENT_BYTES).as_bytes())?;
            thread::sleep(STREAM / EVENTS);
        }
        return connection.send(b"0\r\n\r\n");
    }
    let at = fleet.record.now();
    fleet.record.add(&format!("engine {}: begins {attempt} under version {version}", engine.id));
    let begun = Begun { attempt: attempt.to_owned(), at, version };
    state.begun.lock().expect("not poisoned").push(begun);
    thread::sleep(RUN);
    connection.send(
        format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: 3e1b.07.5a2\r\n\
             X-Weight-Versions: {version}\r\nContent-Length: 2\r\n\r\nok"
        )
        .as_bytes(),
    )
}

/// Answers reports and orders as the pages say.
fn answer_controller(
    fleet: &Arc<Fleet>,
    engine: &Engine,
    connection: &mut Connection,
    head: &Head,
    body: &[u8],
    state: &Arc<State>,
) -> io::Result<()> {
    let json = |status: u16, body: String| {
        let length = body.len();
        format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        )
    };
    let version = engine.version.load(Ordering::SeqCst);
    if head.first_line.starts_with("GET /anisedyke/report") {
        let scheduler = state.scheduler.lock().expect("not poisoned");
        let Scheduler { running, is_busy, orders } = *scheduler;
        return connection.send(
            json(
                200,
                format!(
                    "{{\"phase\":\"combined\",\"models\":[{{\"name\":\"m0\",\"revision\":{version},\"adapters\":[]}}],\
                     \"busy\":{is_busy},\"callSeq\":{orders},\"queued\":0,\"active\":{running},\"kvUsed\":0,\"kvTotal\":90000,\"handles\":0}}"
                ),
            )
            .as_bytes(),
        );
    }
    if !head.first_line.starts_with("POST /anisedyke/order") {
        return connection.send(NOT_FOUND);
    }
    if head.header("x-target-instance").is_some_and(|id| id != engine.id) {
        return connection.send(json(421, "{}".to_owned()).as_bytes());
    }
    let mut scheduler = state.scheduler.lock().expect("not poisoned");
    if version >= 2 {
        return connection.send(json(200, "{}".to_owned()).as_bytes());
    }
    if scheduler.is_busy {
        return connection.send(json(409, "{}".to_owned()).as_bytes());
    }
    scheduler.is_busy = true;
    scheduler.orders += 1;
    drop(scheduler);
    let text = String::from_utf8_lossy(body);
    fleet.record.add(&format!("engine {}: takes the order {text}", engine.id));
    connection.send(json(202, "{}".to_owned()).as_bytes())
}

/// Carries out an order once the runs have ended.
fn load_when_idle(fleet: &Fleet, engine: &Engine, state: &State) {
    loop {
        thread::sleep(Duration::from_millis(20));
        let is_due = {
            let scheduler = state.scheduler.lock().expect("not poisoned");
            scheduler.is_busy && scheduler.running == 0
        };
        if is_due {
            thread::sleep(LOAD);
            engine.version.store(2, Ordering::SeqCst);
            state.scheduler.lock().expect("not poisoned").is_busy = false;
            fleet.record.add(&format!("engine {}: has version 2", engine.id));
        }
    }
}

fn start(
    fleet: &Arc<Fleet>,
    spec: Spec,
    begun: &Arc<Mutex<Vec<Begun>>>,
) -> io::Result<Arc<Engine>> {
    let state = Arc::new(State { scheduler: Mutex::default(), begun: begun.clone() });
    let (of_serve, of_load) = (state.clone(), state);
    let fleet_of_engine = fleet.clone();
    let serve = Arc::new(move |engine: &Engine, connection: Connection| {
        serve(&fleet_of_engine, engine, connection, &of_serve)
    });
    let engine = Engine::start(fleet, spec, |_| Ok(()), serve)?;
    let (fleet, loading) = (fleet.clone(), engine.clone());
    thread::spawn(move || load_when_idle(&fleet, &loading, &of_load));
    Ok(engine)
}

fn run_client(fleet: &Fleet, path: &str, attempt: &str) -> io::Result<()> {
    let mut connection = Connection::new(TcpStream::connect(fleet.front(NODE))?);
    connection.stream.set_read_timeout(Some(Duration::from_secs(16)))?;
    connection.send(&request(path, attempt, 1700))?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    connection.body(&head)?;
    if path.starts_with("/match/") {
        let version = head.header("x-weight-versions").unwrap_or("none");
        fleet
            .record
            .add(&format!("client: {attempt}: {} made by version {version}", head.status()));
    }
    Ok(())
}

/// Plays the case.
pub fn play(fleet: &Arc<Fleet>, has_trouble: bool) -> Result<Verdict, CaseError> {
    let begun = Arc::new(Mutex::new(Vec::new()));
    let first = start(fleet, Spec::new(1), &begun)?;
    thread::sleep(Duration::from_secs(5));
    let send = |path: &'static str, attempt: String| {
        let fleet = fleet.clone();
        thread::spawn(move || {
            if let Err(error) = run_client(&fleet, path, &attempt) {
                fleet.record.add(&format!("client: {attempt} ended early: {error}"));
            }
        })
    };
    let streams: Vec<_> =
        (0..SLOTS).map(|number| send("/hint/long", format!("f{number:015x}"))).collect();
    thread::sleep(Duration::from_millis(500));
    let queued: Vec<_> =
        (0..QUEUED).map(|number| send("/match/one", format!("a{number:015x}"))).collect();
    fleet.record.add(&format!("clients: {SLOTS} streams run, {QUEUED} unsafe requests sent"));
    thread::sleep(Duration::from_millis(500));
    if has_trouble && !first.drain() {
        return Err("draining was not acknowledged".into());
    }
    if !fleet.order("version-put", "", "{\"model\":\"m0\",\"revision\":2}") {
        return Err("the version was not acknowledged".into());
    }
    let named_at = fleet.record.now();
    // The engine that replaces the first one: a new engine has the newest version.
    start(fleet, Spec { version: 2, ..Spec::new(2) }, &begun)?;
    let end = Instant::now() + Duration::from_secs(20);
    for client in streams.into_iter().chain(queued) {
        client.join().map_err(|_| "a client panicked")?;
    }
    if Instant::now() > end {
        return Err("the requests took too long".into());
    }
    let begun = begun.lock().map_err(|_| "poisoned")?;
    let late: Vec<&Begun> =
        begun.iter().filter(|run| run.version < 2 && run.at > named_at + VERSION_BOUND).collect();
    for Begun { attempt, at, version } in &late {
        fleet.record.add(&format!(
            "check VERSION: {attempt} began under version {version}, {:.2} s after version 2 was acknowledged",
            at - named_at
        ));
    }
    fleet.record.add(&format!("check VERSION: {} such requests", late.len()));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
