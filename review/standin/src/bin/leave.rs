//! A machine is stopped in order while requests that it has passed on wait at their engines.
//!
//! usage: leave RECORD; with TROUBLE=0 nothing is stopped.

use standin::engine::{Engine, Manner, Run};
use standin::fleet::{self, Fleet, MODEL, SERVICE};
use standin::record::Record;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bounds of the deployment, in seconds.
const GRACE: f64 = 8.0;
const CONTACT: f64 = 3.0;
const DEADLINE_MS: u64 = 20_000;
const ROUTE: fleet::Route = fleet::Route {
    kind: "unsafe",
    timeout_ms: DEADLINE_MS,
    target_ms: 800,
    attempts: 1,
    resumable: false,
};
const SLOTS: usize = 4;
const ENGINES: u8 = 3;

/// What became of a request of a client.
struct Tried {
    attempt: String,
    node: usize,
    sent: f64,
    ended: f64,
    status: u16,
}

fn main() -> ExitCode {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new(&path));
    let mut fleet = Fleet::start(&record);
    let code = play(&mut fleet, &record, is_troubled);
    fleet.end();
    ExitCode::from(code)
}

fn play(fleet: &mut Fleet, record: &Arc<Record>, is_troubled: bool) -> u8 {
    let controls = fleet.controls();
    let limit = Duration::from_secs(10);
    let configuration = fleet::configuration(1, &ROUTE, SLOTS);
    if fleet.operate("/anisedyke/Config.Replace", Some(0), &configuration, limit).is_none()
        || !fleet.wait_until_ready(limit)
    {
        record.say("the fleet did not come up");
        return 2;
    }
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let manner = Manner {
        slots: SLOTS,
        queue: 3 * SLOTS,
        events: 180,
        pause: Duration::from_millis(50),
        drops: true,
        whole: true,
        load: Duration::from_millis(400),
    };
    for number in 1..=ENGINES {
        let address = SocketAddr::new(fleet::ip(20 + number).into(), 8688);
        let id = format!("i-{number}");
        let engine = Engine::start(&id, address, MODEL, SERVICE, manner.clone(), record, &runs);
        engine.keep_beating(controls.clone(), usize::from(number));
    }
    // contactMs of calm, so that all machines are in touch
    std::thread::sleep(Duration::from_secs_f64(CONTACT + 2.0));

    let tried = Arc::new(Mutex::new(Vec::<Tried>::new()));
    let mut clients = Vec::new();
    let all = SLOTS * usize::from(ENGINES) + 6;
    for number in 0..all {
        let (record, tried) = (record.clone(), tried.clone());
        let node = number % fleet.nodes.len();
        let front = fleet.nodes[node].front();
        clients.push(std::thread::spawn(move || {
            let attempt = format!("a{number:06}");
            let sent = record.now();
            let silence = Duration::from_millis(DEADLINE_MS);
            let (status, is_whole) =
                fleet::request(&record, front, &attempt, DEADLINE_MS, silence, "800,13");
            let status = if is_whole { status } else { 0 };
            let ended = record.now();
            tried.lock().unwrap().push(Tried { attempt, node, sent, ended, status });
        }));
        std::thread::sleep(Duration::from_millis(25));
    }
    std::thread::sleep(Duration::from_millis(300));
    let mut stopped = f64::INFINITY;
    if is_troubled {
        stopped = record.now();
        record.say("SIGTERM to both processes of the first machine");
        fleet.terminate(0);
        let wait = stopped + GRACE - record.now();
        std::thread::sleep(Duration::from_secs_f64(wait));
        record.say("graceS is over: SIGKILL, and both are started again");
        fleet.nodes[0].kill();
        let seeds = fleet::seeds();
        fleet.nodes[0].write_settings(&seeds, false);
        fleet.nodes[0].start();
    }
    for client in clients {
        let _ = client.join();
    }
    let (tried, runs) = (tried.lock().unwrap(), runs.lock().unwrap());
    let (mut lost, mut excused) = (0, 0);
    for request in tried.iter().filter(|request| request.status == 0) {
        let in_time = (request.ended - request.sent) * 1000.0 < DEADLINE_MS as f64 - 500.0;
        let began = runs.iter().find(|run| run.attempt == request.attempt).map(|run| run.at);
        let at_work = began.is_some_and(|at| at < request.ended);
        let line = format!(
            "{} sent to node {} at {:.3}: connection closed without an answer after {:.3} s, begun at an engine: {began:?}",
            request.attempt,
            request.node + 1,
            request.sent,
            request.ended - request.sent
        );
        if in_time && !at_work {
            lost += 1;
            record.line(&format!("LOST: {line}"));
        } else {
            excused += 1;
            record.line(&format!("excused: {line}"));
        }
    }
    let answered = tried.iter().filter(|request| request.status == 200).count();
    let refused = tried.iter().filter(|request| request.status == 503).count();
    record.say(&format!(
        "{all} requests: {answered} answered, {refused} refused, {lost} lost that no engine had begun, {excused} lost with an excuse (SIGTERM at {stopped:.3})"
    ));
    if answered < 6 {
        record.say("too few answers to tell");
        return 2;
    }
    u8::from(lost > 0)
}
