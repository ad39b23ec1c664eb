//! One run, from the start of the fleet to the check of its history.

use crate::checker::{Violation, check};
use crate::client::Client;
use crate::constants;
use crate::disruption::{Disruption, draw_disruptions, quiet_period};
use crate::engine::{Announcement, Engine};
use crate::faulty_engine::FaultyEngine;
use crate::history::{Action, Ending, History, Program, Recorder};
use crate::http;
use crate::machine::{Machine, RunContext};
use crate::operator::Operator;
use parking_lot::Mutex;
use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The parameters of a run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of machines; the first [`constants::CONTROLLER_MACHINES`] have a controller besides their router.
    pub machines: usize,
    /// Bursts of disruptions begin within this time.
    pub span: Duration,
    /// Second octet of the run's addresses.
    pub network: u8,
    /// Directory of the programs.
    pub programs: PathBuf,
    /// Directory for settings, data and logs; removed after a clean run.
    pub folder: PathBuf,
}

/// Why a run failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RunError {
    /// file or process error: {0}
    Io(#[from] std::io::Error),
    /// the fleet did not become ready in time
    StartTimeout,
}

/// The result of a run.
#[derive(Debug)]
pub struct Outcome {
    /// One line with the counts of requests and disruptions.
    pub summary: String,
    /// Violations of the rules; empty if every rule holds.
    pub violations: Vec<Violation>,
}

/// Clients per machine.
const CLIENTS_PER_MACHINE: usize = 6;

struct Fleet {
    context: Arc<RunContext>,
    machines: Arc<Vec<Arc<Machine>>>,
    operator: tokio::sync::Mutex<Operator>,
    /// Engines that have not departed, oldest first.
    engines: Mutex<VecDeque<Arc<Engine>>>,
    engines_started: AtomicUsize,
    /// The newest acknowledged version of the weights, which new engines have.
    newest_weights: AtomicU64,
    rng: Mutex<fastrand::Rng>,
}

/// Executes a plan.
///
/// # Errors
///
/// If the fleet did not become ready in time, or a file or process operation failed; no rule was checked then.
pub async fn run(plan: Plan) -> Result<Outcome, RunError> {
    let mut rng = fastrand::Rng::with_seed(plan.seed);
    let scheduled = draw_disruptions(&mut rng, plan.machines, plan.span);
    let fleet = Fleet::start(&plan, rng).await?;
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = fleet.start_clients(&stop);
    let sampler = tokio::spawn(fleet.clone().sample_memory());
    tokio::time::sleep(constants::WARM_UP).await;
    let began = Instant::now();
    let mut disruptions = JoinSet::new();
    for next in scheduled {
        tokio::time::sleep_until(began + next.at).await;
        let fleet = fleet.clone();
        disruptions.spawn(async move { fleet.disrupt(next.disruption).await });
    }
    let limit = Instant::now() + constants::START_TIMEOUT;
    while let Ok(Some(disrupted)) = tokio::time::timeout_at(limit, disruptions.join_next()).await {
        disrupted.map_err(std::io::Error::other)??;
    }
    tokio::time::sleep(quiet_period()).await;
    stop.store(true, Ordering::SeqCst);
    while clients.join_next().await.is_some() {}
    sampler.abort();
    fleet.operator.lock().await.read_back().await;
    fleet.machines.iter().for_each(|machine| machine.record_unexpected_exits());
    let history = fleet.context.recorder.take();
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
        let context =
            Arc::new(RunContext { network, programs, folder, recorder: recorder.clone() });
        let mut machines = Vec::new();
        for number in 0..plan.machines {
            let machine = Machine::new(number, context.clone())?;
            machine.start()?;
            machines.push(Arc::new(machine));
        }
        let operator = Operator::new(context.control_addresses(), recorder);
        let fleet = Arc::new(Fleet {
            context,
            machines: Arc::new(machines),
            operator: tokio::sync::Mutex::new(operator),
            engines: Mutex::default(),
            engines_started: AtomicUsize::new(0),
            newest_weights: AtomicU64::new(constants::FIRST_WEIGHTS),
            rng: Mutex::new(rng),
        });
        if !fleet.operator.lock().await.send_next(constants::START_TIMEOUT).await {
            return Err(RunError::StartTimeout);
        }
        for _ in 0..constants::ENGINES {
            fleet.start_engine().await?;
        }
        fleet.start_faulty_engine().await?;
        fleet.wait_until_ready().await?;
        Ok(fleet)
    }

    async fn wait_until_ready(&self) -> Result<(), RunError> {
        let end = Instant::now() + constants::START_TIMEOUT;
        for machine in self.machines.iter() {
            let head = "GET /anisedyke/readyz HTTP/1.1\r\n";
            let is_ready = async || {
                let probe =
                    http::call(machine.readiness_address(), head, "", constants::CALLER_TIMEOUT);
                probe.await.is_some_and(|response| response.status() == 200)
            };
            while !is_ready().await {
                if Instant::now() > end {
                    return Err(RunError::StartTimeout);
                }
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    fn fork_rng(&self) -> fastrand::Rng {
        self.rng.lock().fork()
    }

    fn start_clients(&self, stop: &Arc<AtomicBool>) -> JoinSet<()> {
        let mut clients = JoinSet::new();
        for number in
            0..(2 * constants::CONTROLLER_MACHINES).max(self.machines.len()) * CLIENTS_PER_MACHINE
        {
            let client = Client {
                number,
                machines: self.machines.clone(),
                recorder: self.context.recorder.clone(),
                stop: stop.clone(),
            };
            clients.spawn(client.run(self.fork_rng()));
        }
        clients
    }

    async fn start_faulty_engine(&self) -> std::io::Result<()> {
        let number = self.engines_started.fetch_add(1, Ordering::SeqCst);
        FaultyEngine::start(number, &self.context, self.fork_rng()).await
    }

    /// Samples the memory of all processes until the task is aborted.
    async fn sample_memory(self: Arc<Fleet>) {
        loop {
            self.machines.iter().for_each(|machine| machine.sample_memory());
            tokio::time::sleep(constants::MEMORY_SAMPLE_INTERVAL).await;
        }
    }

    async fn start_engine(&self) -> std::io::Result<()> {
        let number = self.engines_started.fetch_add(1, Ordering::SeqCst);
        let version = self.newest_weights.load(Ordering::SeqCst);
        let engine = Engine::start(number, version, &self.context).await?;
        tokio::spawn(engine.clone().send_heartbeats(self.fork_rng()));
        self.engines.lock().push_back(engine);
        Ok(())
    }

    async fn disrupt(&self, disruption: Disruption) -> std::io::Result<()> {
        match disruption {
            Disruption::Restart { machine, pause } => {
                self.machines[machine].restart_gracefully(pause).await
            }
            Disruption::Kill { machine, pause } => {
                self.machines[machine].restart_by_kill(pause).await
            }
            Disruption::KillControllers { pause } => self.kill_controllers(pause).await,
            Disruption::HangUp { machine } => {
                self.machines[machine].send_hang_up();
                Ok(())
            }
            Disruption::Reconfigure => {
                self.operator.lock().await.send_next(constants::START_TIMEOUT).await;
                Ok(())
            }
            Disruption::NameWeights => {
                let named = self.operator.lock().await.name_weights(constants::START_TIMEOUT).await;
                self.newest_weights.fetch_max(named.unwrap_or(0), Ordering::SeqCst);
                Ok(())
            }
            Disruption::ReplaceEngine { announcement } => self.replace_engine(announcement).await,
        }
    }

    async fn kill_controllers(&self, pause: Duration) -> std::io::Result<()> {
        let controller_machines = &self.machines[..constants::CONTROLLER_MACHINES];
        controller_machines.iter().for_each(|machine| machine.kill_all(Action::Killed));
        let mut restarts = JoinSet::new();
        for machine in controller_machines {
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
            engine.depart(announcement, self.fork_rng()).await;
        }
        Ok(())
    }
}

fn summary(history: &History) -> String {
    let status_count = |expected: u16| {
        let is_match = |ending: &Ending| matches!(ending, Ending::Answered { status, .. } if *status == expected);
        history.requests.iter().filter(|request| is_match(&request.ending)).count()
    };
    let action_count = |expected: Action| {
        let is_match = |action| action == expected;
        let routers = history.processes.iter().filter(|event| event.program == Program::Router);
        routers.filter(|event| is_match(event.action)).count()
    };
    let peak = |program: Program| {
        let peaks = history.peaks.iter().filter(|peak| peak.program == program);
        peaks.map(|peak| peak.bytes).max().unwrap_or(0) / 1_000_000
    };
    let at_faulty_engine =
        history.arrivals.iter().filter(|event| history.faulty_engines.contains(&event.engine));
    format!(
        "{} requests: {} served, {} refused, {} 502, {} 504; {} departures, {} configurations, {} versions, {} uses of kept parts; routers: {} terminated, {} killed; \
         {} calls to the faulty engine; peak memory: routers {} MB, controllers {} MB",
        history.requests.len(),
        status_count(200),
        status_count(503),
        status_count(502),
        status_count(504),
        history.departures.len(),
        history.acknowledged_version,
        history.named_versions.len(),
        history.model_runs.iter().filter(|run| !run.begun.makers.is_empty()).count(),
        action_count(Action::Terminated),
        action_count(Action::Killed),
        at_faulty_engine.count(),
        peak(Program::Router),
        peak(Program::Controller)
    )
}
