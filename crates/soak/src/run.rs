//! One run, from its start to its judgement.

use crate::checker::{Violation, check};
use crate::client::Client;
use crate::constants;
use crate::disruption::{Disruption, draw, tail};
use crate::engine::{Announcement, Engine};
use crate::history::{Action, Ending, History, Program, Recorder};
use crate::http;
use crate::machine::{Machine, Site};
use crate::operator::Operator;
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Draws everything.
    pub seed: u64,
    /// Machines; the first few have a controller besides their router.
    pub machines: usize,
    /// Disruptions begin within this time.
    pub span: Duration,
    /// Second part of the addresses of the run.
    pub network: u8,
    /// Where the programs are.
    pub programs: PathBuf,
    /// Where settings, disks and logs go; removed behind a clean run.
    pub folder: PathBuf,
}

/// Why a run could not be played.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RunError {
    /// a file or a process: {0}
    Io(#[from] std::io::Error),
    /// the fleet did not come up
    NotUp,
}

/// How a run ended.
#[derive(Debug)]
pub struct Outcome {
    /// One line of counts.
    pub summary: String,
    /// What was broken.
    pub violations: Vec<Violation>,
}

/// Clients for each machine.
const CLIENTS_PER_MACHINE: usize = 6;

struct Fleet {
    site: Arc<Site>,
    machines: Arc<Vec<Arc<Machine>>>,
    operator: tokio::sync::Mutex<Operator>,
    /// Those that serve, the oldest first.
    engines: Mutex<VecDeque<Arc<Engine>>>,
    engines_started: AtomicUsize,
    rng: Mutex<fastrand::Rng>,
}

/// Plays a plan.
///
/// # Errors
///
/// The fleet did not come up; nothing is shown then.
pub async fn run(plan: Plan) -> Result<Outcome, RunError> {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let planned = draw(&mut rng, plan.machines, plan.span);
    let fleet = Fleet::start(&plan, rng).await?;
    let ends = Arc::new(AtomicBool::new(false));
    let mut clients = fleet.start_clients(&ends);
    tokio::time::sleep(constants::WARM_UP).await;
    let began = Instant::now();
    let mut disruptions = JoinSet::new();
    for next in planned {
        tokio::time::sleep_until(began + next.at).await;
        let fleet = fleet.clone();
        disruptions.spawn(async move { fleet.disrupt(next.disruption).await });
    }
    let limit = Instant::now() + constants::START_TIMEOUT;
    while let Ok(Some(disrupted)) = tokio::time::timeout_at(limit, disruptions.join_next()).await {
        disrupted.map_err(std::io::Error::other)??;
    }
    tokio::time::sleep(tail()).await;
    ends.store(true, Ordering::SeqCst);
    while clients.join_next().await.is_some() {}
    fleet.operator.lock().await.read_back().await;
    fleet.machines.iter().for_each(|machine| machine.find_dead());
    let history = fleet.site.recorder.take();
    fleet.machines.iter().for_each(|machine| machine.kill_all(Action::Killed));
    let violations = check(&history);
    if violations.is_empty() {
        std::fs::remove_dir_all(&plan.folder)?;
    }
    Ok(Outcome { summary: summary(&history), violations })
}

impl Fleet {
    async fn start(plan: &Plan, rng: fastrand::Rng) -> Result<Arc<Fleet>, RunError> {
        let recorder = Arc::<Recorder>::default();
        let (network, programs) = (plan.network, plan.programs.clone());
        let folder = plan.folder.clone();
        let site = Arc::new(Site { network, programs, folder, recorder: recorder.clone() });
        let mut machines = Vec::new();
        for number in 0..plan.machines {
            let machine = Machine::new(number, site.clone())?;
            machine.start()?;
            machines.push(Arc::new(machine));
        }
        let operator = Operator::new(site.controls(), recorder);
        let fleet = Arc::new(Fleet {
            site,
            machines: Arc::new(machines),
            operator: tokio::sync::Mutex::new(operator),
            engines: Mutex::default(),
            engines_started: AtomicUsize::new(0),
            rng: Mutex::new(rng),
        });
        if !fleet.operator.lock().await.put_next(constants::START_TIMEOUT).await {
            return Err(RunError::NotUp);
        }
        for _ in 0..constants::ENGINES {
            fleet.start_engine().await?;
        }
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn wait_until_ready(&self) -> Result<(), RunError> {
        let end = Instant::now() + constants::START_TIMEOUT;
        for machine in self.machines.iter() {
            let head = "GET /anisedyke/readyz HTTP/1.1\r\n";
            let is_ready = async || {
                let probe = http::call(machine.readiness(), head, "", constants::CALLER_TIMEOUT);
                probe.await.is_some_and(|answer| answer.status() == 200)
            };
            while !is_ready().await {
                if Instant::now() > end {
                    return Err(RunError::NotUp);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn fork_rng(&self) -> fastrand::Rng {
        self.rng.lock().fork()
    }

    fn start_clients(&self, ends: &Arc<AtomicBool>) -> JoinSet<()> {
        let mut clients = JoinSet::new();
        for number in
            0..(2 * constants::CORE_MACHINES).max(self.machines.len()) * CLIENTS_PER_MACHINE
        {
            let client = Client {
                number,
                machines: self.machines.clone(),
                recorder: self.site.recorder.clone(),
                ends: ends.clone(),
            };
            clients.spawn(client.run(self.fork_rng()));
        }
        clients
    }

    async fn start_engine(&self) -> std::io::Result<()> {
        let number = self.engines_started.fetch_add(1, Ordering::SeqCst);
        let engine = Engine::start(number, &self.site).await?;
        tokio::spawn(engine.clone().send_heartbeats(self.fork_rng()));
        self.engines.lock().push_back(engine);
        Ok(())
    }

    async fn disrupt(&self, disruption: Disruption) -> std::io::Result<()> {
        match disruption {
            Disruption::Restart { machine, pause } => {
                self.machines[machine].restart_in_order(pause).await
            }
            Disruption::Kill { machine, pause } => {
                self.machines[machine].restart_by_kill(pause).await
            }
            Disruption::KillCore { pause } => self.kill_core(pause).await,
            Disruption::HangUp { machine } => {
                self.machines[machine].hang_up();
                Ok(())
            }
            Disruption::Reconfigure => {
                self.operator.lock().await.put_next(constants::START_TIMEOUT).await;
                Ok(())
            }
            Disruption::ReplaceEngine { announcement } => self.replace_engine(announcement).await,
        }
    }

    async fn kill_core(&self, pause: Duration) -> std::io::Result<()> {
        let core = &self.machines[..constants::CORE_MACHINES];
        core.iter().for_each(|machine| machine.kill_all(Action::Killed));
        let mut restarts = JoinSet::new();
        for machine in core {
            let machine = machine.clone();
            restarts.spawn(async move { machine.restart_by_kill(pause).await });
        }
        while let Some(restarted) = restarts.join_next().await {
            restarted.map_err(std::io::Error::other)??;
        }
        Ok(())
    }

    async fn replace_engine(&self, announcement: Announcement) -> std::io::Result<()> {
        self.start_engine().await?;
        let oldest = self.engines.lock().pop_front();
        if let Some(engine) = oldest {
            engine.leave(announcement, self.fork_rng()).await;
        }
        Ok(())
    }
}

fn summary(history: &History) -> String {
    let with_status = |wanted: u16| {
        let is_wanted = |ending: &Ending| matches!(ending, Ending::Answered { status, .. } if *status == wanted);
        history.requests.iter().filter(|request| is_wanted(&request.ending)).count()
    };
    let done = |wanted: Action| {
        let is_wanted = |action| action == wanted;
        let routers = history.processes.iter().filter(|event| event.program == Program::Router);
        routers.filter(|event| is_wanted(event.action)).count()
    };
    format!(
        "{} requests: {} served, {} refused, {} 502, {} 504; {} departures, {} configurations; routers: {} terminated, {} killed",
        history.requests.len(),
        with_status(200),
        with_status(503),
        with_status(502),
        with_status(504),
        history.departures.len(),
        history.acknowledged_version,
        done(Action::Terminated),
        done(Action::Killed)
    )
}
