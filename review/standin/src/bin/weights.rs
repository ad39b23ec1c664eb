//! New weights are named while all engines run long streams.
//!
//! usage: weights RECORD begin|end; with TROUBLE=0 no weights are named. `begin` looks at requests that begin on old
//! weights too late, `end` at engines that have old weights when the traffic ends.

use standin::engine::{Engine, Manner, Run};
use standin::fleet::{self, Fleet, MODEL, SERVICE};
use standin::record::Record;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const VERSION: f64 = 8.0;
/// Of `VERSION`: after so much calm time since the acknowledgement few engines may have old weights.
const END: f64 = 1.5 * VERSION;
const ENGINES: u8 = 9;
const SLOTS: usize = 4;
const DEADLINE_MS: u64 = 20_000;
/// Eight times the pause of 400 ms: a client gives a stream up after that.
const SILENCE: Duration = Duration::from_millis(3200);

/// What is looked at.
#[derive(Clone, Copy, PartialEq)]
enum Look {
    /// Whole answers to requests that may run once; engines that don't drop a request when its connection closes.
    Begin,
    /// Streams; engines that drop them.
    End,
}

impl Look {
    fn route(self) -> fleet::Route {
        let kind = if self == Look::Begin { "unsafe" } else { "streaming" };
        fleet::Route {
            kind,
            timeout_ms: DEADLINE_MS,
            target_ms: 400,
            attempts: 1,
            resumable: false,
        }
    }

    fn manner(self) -> Manner {
        let begin = self == Look::Begin;
        Manner {
            slots: SLOTS,
            queue: 3 * SLOTS,
            events: 28,
            pause: Duration::from_millis(390),
            drops: !begin,
            whole: begin,
            load: Duration::from_millis(400),
        }
    }

    fn silence(self) -> Duration {
        if self == Look::Begin { Duration::from_millis(DEADLINE_MS) } else { SILENCE }
    }
}

fn main() -> ExitCode {
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let look = match std::env::args().nth(2).as_deref() {
        Some("begin") => Look::Begin,
        _ => Look::End,
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new(&path));
    let mut fleet = Fleet::start(&record);
    let code = play(&mut fleet, &record, is_troubled, look);
    fleet.end();
    ExitCode::from(code)
}

fn play(fleet: &mut Fleet, record: &Arc<Record>, is_troubled: bool, look: Look) -> u8 {
    let controls = fleet.controls();
    let clients = 45;
    let configuration = fleet::configuration(1, &look.route(), SLOTS);
    let limit = Duration::from_secs(10);
    if fleet.operate("/anisedyke/Config.Replace", Some(0), &configuration, limit).is_none()
        || !fleet.wait_until_ready(limit)
    {
        record.say("the fleet did not come up");
        return 2;
    }
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let manner = look.manner();
    let engines: Vec<Arc<Engine>> = (1..=ENGINES)
        .map(|number| {
            let address = SocketAddr::new(fleet::ip(20 + number).into(), 8688);
            let id = format!("i-{number}");
            let engine = Engine::start(&id, address, MODEL, SERVICE, manner.clone(), record, &runs);
            engine.keep_beating(controls.clone(), usize::from(number));
            engine
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));

    let ends = Arc::new(AtomicBool::new(false));
    let next = Arc::new(AtomicU64::new(1));
    let statuses = Arc::new(Mutex::new(Vec::<(f64, u16, bool)>::new()));
    for client in 0..clients {
        let (record, ends, next, statuses) =
            (record.clone(), ends.clone(), next.clone(), statuses.clone());
        let fronts: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.front()).collect();
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(450 * client as u64));
            while !ends.load(Ordering::SeqCst) {
                let attempt = format!("a{:06}", next.fetch_add(1, Ordering::SeqCst));
                let front = fronts[client % fronts.len()];
                let sent = record.now();
                let (status, whole) =
                    fleet::request(&record, front, &attempt, DEADLINE_MS, look.silence(), "800,96");
                statuses.lock().unwrap().push((sent, status, whole));
                std::thread::sleep(Duration::from_millis(300));
            }
        });
    }
    std::thread::sleep(Duration::from_secs(20));
    let mut named = f64::INFINITY;
    if is_troubled {
        let body = format!("{{\"model\":\"{MODEL}\",\"revision\":2}}");
        let Some(at) = fleet.operate("/anisedyke/version-put", None, &body, limit) else {
            record.say("the version was not acknowledged");
            return 2;
        };
        named = at;
        record.say("version 2 is acknowledged");
    }
    while is_troubled && record.now() < named + END + 0.5 || !is_troubled && record.now() < 36.0 {
        std::thread::sleep(Duration::from_millis(500));
        let versions: Vec<String> = engines
            .iter()
            .map(|engine| {
                let state = engine.state.lock().unwrap();
                format!(
                    "{}:v{}{}r{}q{}",
                    engine.id,
                    state.version,
                    if state.ordered.is_some() { "*" } else { "" },
                    state.running,
                    state.queue.len()
                )
            })
            .collect();
        record.line(&versions.join(" "));
    }
    ends.store(true, Ordering::SeqCst);
    let old = engines.iter().filter(|engine| engine.state.lock().unwrap().version == 1).count();
    let late: Vec<Run> = runs
        .lock()
        .unwrap()
        .iter()
        .filter(|run| run.version == 1 && run.at > named + VERSION)
        .cloned()
        .collect();
    for run in &late {
        record.line(&format!(
            "VERSION: {} began at {} on version 1, {:.3} s after version 2 was acknowledged",
            run.attempt,
            run.engine,
            run.at - named
        ));
    }
    let after: Vec<(f64, u16, bool)> =
        statuses.lock().unwrap().iter().filter(|s| s.0 > named).cloned().collect();
    let refused = after.iter().filter(|s| s.1 == 503).count();
    record.say(&format!("{} runs began on version 1 too late; {old} of {} engines have version 1 when the traffic ends; {refused} of {} later requests refused", late.len(), engines.len(), after.len()));
    match look {
        Look::Begin => u8::from(!late.is_empty()),
        // more than one engine, and over a tenth of them
        Look::End => u8::from(named.is_finite() && old > 1 && old * 10 > engines.len()),
    }
}
