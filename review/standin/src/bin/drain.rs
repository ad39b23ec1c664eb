//! An engine's farewell is acknowledged, then all machines that count are killed at once; a beat of before comes late.
//!
//! usage: drain RECORD; with TROUBLE=0 nothing is killed.

use standin::engine::{Engine, Manner, Run};
use standin::fleet::{self, Fleet, MODEL, SERVICE};
use standin::record::Record;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Bounds of the deployment, in seconds.
const DRAIN: f64 = 2.0;
const CONTACT: f64 = 3.0;
const ROUTE: fleet::Route = fleet::Route {
    kind: "streaming",
    timeout_ms: 6000,
    target_ms: 800,
    attempts: 2,
    resumable: true,
};
/// Four times the aim, or eight times the pause.
const SILENCE: Duration = Duration::from_millis(3200);
/// How late the beat comes.
const LATE: f64 = 3.0;
/// How long the engine serves on after its farewell was acknowledged: `drainMs` and "a little longer (at times many seconds)".
const SERVES_ON: f64 = 10.0;

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
    let configuration = fleet::configuration(1, &ROUTE, 8);
    let limit = Duration::from_secs(10);
    if fleet.operate("/anisedyke/Config.Replace", Some(0), &configuration, limit).is_none()
        || !fleet.wait_until_ready(limit)
    {
        record.say("the fleet did not come up");
        return 2;
    }
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let manner = Manner {
        slots: 8,
        queue: 16,
        events: 3,
        pause: Duration::from_millis(20),
        drops: true,
        whole: false,
        load: Duration::from_millis(400),
    };
    let engine = |id: &str, last: u8| {
        let address = SocketAddr::new(fleet::ip(last).into(), 8688);
        Engine::start(id, address, MODEL, SERVICE, manner.clone(), record, &runs)
    };
    let (leaves, stays) = (engine("i-leaves", 21), engine("i-stays", 22));
    leaves.keep_beating(controls.clone(), 0);
    stays.keep_beating(controls.clone(), 1);
    std::thread::sleep(Duration::from_secs(2));

    let ends = Arc::new(AtomicBool::new(false));
    let taken = Arc::new(Mutex::new(Vec::<(String, usize, f64)>::new()));
    let next = Arc::new(AtomicU64::new(1));
    for client in 0..6usize {
        let (record, ends, taken, next) =
            (record.clone(), ends.clone(), taken.clone(), next.clone());
        let fronts: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.front()).collect();
        std::thread::spawn(move || {
            while !ends.load(Ordering::SeqCst) {
                let attempt = format!("a{:06}", next.fetch_add(1, Ordering::SeqCst));
                let node = client % fronts.len();
                let sent = record.now();
                fleet::request(&record, fronts[node], &attempt, 6000, SILENCE, "800,13");
                taken.lock().unwrap().push((attempt, node, sent));
                std::thread::sleep(Duration::from_millis(100));
            }
        });
    }
    // contactMs of calm, so that all machines are in touch
    std::thread::sleep(Duration::from_secs_f64(CONTACT + 1.0));

    // the last beat before the farewell has no answer within a second: the next node is called, and it comes late
    leaves.beats.store(false, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(1300));
    let late = leaves.beat_body("ready", leaves.next_call());
    let late_sent = record.now();
    record.say("engine i-leaves sends a beat that will come late");
    std::thread::sleep(Duration::from_secs(1));
    if !leaves.beat(&controls, 0) {
        record.say("no node acknowledged a beat in calm times");
        return 2;
    }
    std::thread::sleep(Duration::from_millis(200));
    let farewell = format!("{{\"callSeq\":{}}}", leaves.next_call());
    let status = leaves.call_control(controls[0], "Instances.Deregister", &farewell);
    if status != Some(200) {
        record.say(&format!("the farewell was answered with {status:?}"));
        return 2;
    }
    let acknowledged = record.now();
    record.say("engine i-leaves is gone: 200 from the first node");

    let mut started = 0.0;
    if is_troubled {
        std::thread::sleep(Duration::from_millis(100));
        record.say("SIGKILL to all processes of the three machines that count");
        for node in &mut fleet.nodes {
            node.kill();
        }
        std::thread::sleep(Duration::from_millis(300));
        let seeds = fleet::seeds();
        for node in &mut fleet.nodes {
            node.write_settings(&seeds, false);
            node.start();
        }
        started = record.now();
        record.say("all processes are started again");
    }
    let wait = late_sent + LATE - record.now();
    std::thread::sleep(Duration::from_secs_f64(wait.max(0.0)));
    let status = leaves.call_control(controls[1], "Instances.Heartbeat", &late);
    record.say(&format!(
        "the late beat comes, {:.1} s after it was sent: {status:?}",
        record.now() - late_sent
    ));
    let wait = acknowledged + SERVES_ON - record.now();
    std::thread::sleep(Duration::from_secs_f64(wait.max(0.0)));
    ends.store(true, Ordering::SeqCst);
    std::thread::sleep(Duration::from_millis(500));

    // in touch: the processes have run for contactMs, and the core has been settled for as long
    let in_touch = if is_troubled { started + CONTACT } else { 0.0 };
    let from = in_touch.max(acknowledged + DRAIN);
    let taken = taken.lock().unwrap();
    let runs = runs.lock().unwrap();
    let sent_at = |attempt: &str| {
        taken.iter().find(|(a, _, _)| a == attempt).map(|(_, node, at)| (*node, *at))
    };
    let mut broken = 0;
    for run in runs.iter().filter(|run| run.engine == "i-leaves" && run.came > from) {
        let Some((node, at)) = sent_at(&run.attempt).filter(|(_, at)| *at > in_touch) else {
            continue;
        };
        broken += 1;
        record.line(&format!(
            "DRAIN: {} sent to node {} at {at:.3} reached i-leaves at {:.3}, {:.3} s after the acknowledgement",
            run.attempt, node + 1, run.came, run.came - acknowledged
        ));
    }
    let all = runs.iter().filter(|run| run.came > from).count();
    record.say(&format!(
        "after {from:.3}: {all} requests ran, {broken} of them at the engine that is gone"
    ));
    if all < 10 {
        record.say("too few requests ran to tell");
        return 2;
    }
    u8::from(broken > 0)
}
