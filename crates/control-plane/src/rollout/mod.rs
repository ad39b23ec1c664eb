//! The roll-out: brings the engines of a model to its target weights, a few at a time.
//!
//! The target is a key of the control state (`weights/MODEL`). The node that holds
//! [`ROLLOUT_LEASE`] orders engines to load it; each order bears the lease's fencing token, so that an engine
//! refuses one of a former holder. [`plan`] decides which engine is next, `order` carries one order out,
//! [`status`] shows both to the operator.
//!
//! Routers are notified beforehand, with the engine's own state, that an engine is about to be updated: they send
//! it no more long streams first, and then nothing at all. These two states are counters that only rise
//! ([`Engine::drain_seq`], [`Engine::update_seq`]) and are odd while they are set, so that late messages
//! change nothing.

pub mod concurrency;
mod order;
pub mod plan;
pub mod status;

use crate::cluster_state::ClusterStateStore;
use crate::engines::client::EngineClient;
use crate::engines::registry::EngineRegistry;
use crate::leases::{LeaseManager, ROLLOUT_LEASE};
use crate::membership::load_reports::LoadReports;
use crate::process::Process;
use fleet_core::constants;
use fleet_core::fleet;
use fleet_core::load::{self, ByEngine};
use fleet_core::log::Event;
use fleet_core::target_versions::TargetVersions;
use fleet_core::transport::Transport;
use fleet_core::wire::{Engine, EngineState};
use order::OrderError;
use parking_lot::Mutex;
use plan::{Action, OutdatedEngine, Plan};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// This controller's part in roll-outs. Lock order: the plan, then the cluster state.
pub struct Rollout {
    process: Arc<Process>,
    leases: Arc<LeaseManager>,
    registry: Arc<EngineRegistry>,
    cluster_state: Arc<ClusterStateStore>,
    load_reports: Arc<LoadReports>,
    transport: Arc<dyn Transport>,
    /// Kept also while another controller holds the lease.
    plan: Mutex<Plan>,
}

/// What a roll-out is built with.
pub struct RolloutParts {
    /// The process that it runs in.
    pub process: Arc<Process>,
    /// The lease that it runs under.
    pub leases: Arc<LeaseManager>,
    /// Where marks of engines are replicated.
    pub registry: Arc<EngineRegistry>,
    /// The engines and the target weights.
    pub cluster_state: Arc<ClusterStateStore>,
    /// The loads that decide which engine is next.
    pub load_reports: Arc<LoadReports>,
    /// How engines are reached.
    pub transport: Arc<dyn Transport>,
}

impl Rollout {
    /// Nothing is planned as yet.
    pub fn new(parts: RolloutParts) -> Rollout {
        Rollout {
            process: parts.process,
            leases: parts.leases,
            registry: parts.registry,
            cluster_state: parts.cluster_state,
            load_reports: parts.load_reports,
            transport: parts.transport,
            plan: Mutex::default(),
        }
    }
}

/// The weights that the engines of one model are to have.
#[derive(Clone)]
struct Target {
    model: String,
    /// The newest version that was named.
    version: u64,
    /// All versions that engines may lack: each has a bound of its own.
    versions: TargetVersions,
}

impl Target {
    /// Whether an engine is known to have older weights of the model.
    fn is_ahead_of(&self, engine: &Engine) -> bool {
        fleet::version_of(engine, &self.model).is_some_and(|version| version < self.version)
    }

    /// Time until routers stop sending requests to an engine with older weights, less a margin. It counts from the naming
    /// of the first version that the engine lacks, also where newer ones were named since.
    fn remaining(&self, engine: &Engine, bound: Duration, now: Instant) -> Duration {
        let margin = constants::VERSION_MARGIN + constants::ROLLOUT_MARGIN;
        bound.saturating_sub(margin).saturating_sub(self.outdated_for(engine, now))
    }

    /// Time in which an engine should have the target weights, though it may serve for longer.
    fn goal(&self, engine: &Engine, now: Instant) -> Duration {
        constants::ROLLOUT_GOAL.saturating_sub(self.outdated_for(engine, now))
    }

    /// For how long the weights of an engine have been outdated.
    fn outdated_for(&self, engine: &Engine, now: Instant) -> Duration {
        let version = fleet::version_of(engine, &self.model).unwrap_or(0);
        let outdated_since = self.versions.outdated_since(version).unwrap_or(now);
        now.duration_since(outdated_since)
    }
}

fn targets(rollout: &Rollout) -> Vec<Target> {
    rollout.cluster_state.read(|state| {
        let target = |(model, versions): (&String, &TargetVersions)| Target {
            model: model.clone(),
            version: state.target_version(model),
            versions: versions.clone(),
        };
        state.weights.iter().map(target).collect()
    })
}

/// Updates engines while this node holds the lease; waits for a change while all are up to date.
pub async fn run_rollout(rollout: Arc<Rollout>) {
    let mut changes = rollout.cluster_state.subscribe();
    loop {
        changes.borrow_and_update();
        if !has_outdated_engines(&rollout) {
            rollout.plan.lock().reset();
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        if rollout.leases.fencing_token(ROLLOUT_LEASE).is_some() {
            begin_due_actions(&rollout);
        }
        tokio::time::sleep(constants::ROLLOUT_INTERVAL).await;
    }
}

fn has_outdated_engines(rollout: &Rollout) -> bool {
    let targets = targets(rollout);
    let is_outdated = |engine: &Engine| {
        engine.state() != EngineState::Deregistered
            && targets.iter().any(|target| target.is_ahead_of(engine))
    };
    rollout.cluster_state.read(|state| state.engines.values().any(is_outdated))
}

/// Begins what the plan says for each model. The tasks end by themselves: each step of theirs has a time-out,
/// and an order is given only while the lease is held.
fn begin_due_actions(rollout: &Arc<Rollout>) {
    let due: Vec<(Target, Action)> = {
        let mut plan = rollout.plan.lock();
        let loads = rollout.load_reports.total();
        let targets = targets(rollout).into_iter();
        targets.flat_map(|target| due_actions(rollout, &mut plan, &loads, target)).collect()
    };
    for (target, action) in due {
        tokio::spawn(carry_out(rollout.clone(), target, action));
    }
}

fn due_actions(
    rollout: &Rollout,
    plan: &mut Plan,
    loads: &ByEngine,
    target: Target,
) -> Vec<(Target, Action)> {
    let now = Instant::now();
    let engines = serving_engines(rollout, &target.model);
    let outdated = outdated_engines(rollout, plan, loads, &target, &engines);
    let actions = plan.next(now, engines.len(), &outdated);
    actions.into_iter().map(|action| (target.clone(), action)).collect()
}

/// Engines of a model that are ready, and send heartbeats.
fn serving_engines(rollout: &Rollout, model: &str) -> Vec<Engine> {
    let serves = |engine: &&Engine| {
        engine.state() == EngineState::Ready
            && !engine.heartbeat_missed
            && fleet::version_of(engine, model).is_some()
    };
    rollout.cluster_state.read(|state| state.engines.values().filter(serves).cloned().collect())
}

/// Those of the engines that lack the target weights, with their loads. The plan takes over the ones whose
/// streams a former holder of the lease has drained.
fn outdated_engines(
    rollout: &Rollout,
    plan: &mut Plan,
    loads: &ByEngine,
    target: &Target,
    engines: &[Engine],
) -> Vec<OutdatedEngine> {
    let (bound, now) = (rollout.process.settings().bounds.version, Instant::now());
    let mut outdated = Vec::new();
    for engine in engines.iter().filter(|engine| target.is_ahead_of(engine)) {
        if fleet::is_draining_streams(engine, &target.model, Some(target.version)) {
            plan.adopt(&engine.id, now);
        }
        let key = load::key_of(&engine.id);
        let load = loads.get(&key).copied().unwrap_or_default();
        outdated.push(OutdatedEngine {
            id: engine.id.clone(),
            zone: engine.zone.clone(),
            interactive_share: rollout.load_reports.interactive_share(key),
            interactive_runs: load.interactive,
            runs: load.runs,
            remaining: target.remaining(engine, bound, now),
            goal: target.goal(engine, now),
        });
    }
    outdated
}

async fn carry_out(rollout: Arc<Rollout>, target: Target, action: Action) {
    match action {
        Action::DrainStreams(id) => publish_update_state(&rollout, &id, set_draining).await,
        Action::Update(id) => {
            let updated = update(&rollout, &id, &target).await;
            let mut plan = rollout.plan.lock();
            match updated {
                Ok(load) => plan.ended(&id, Instant::now(), Some(load)),
                Err(error) => plan.failed(&id, Instant::now(), &error.to_string()),
            }
        }
    }
}

fn set_draining(engine: &mut Engine) {
    engine.drain_seq += 1 + engine.drain_seq % 2;
}

fn set_updating(engine: &mut Engine) {
    engine.update_seq += 1 + engine.update_seq % 2;
}

fn clear_marks(engine: &mut Engine) {
    engine.update_seq += engine.update_seq % 2;
    engine.drain_seq += engine.drain_seq % 2;
}

/// Updates one engine: routers are notified, the order is given, its end is waited for and routers are notified
/// that too. Returns how long the engine took to load the weights.
async fn update(rollout: &Arc<Rollout>, id: &str, target: &Target) -> Result<Duration, OrderError> {
    let engine = rollout.registry.get(id);
    let engine = &engine.ok_or(OrderError::Unknown)?;
    let address = engine.address.parse().map_err(|_| OrderError::Unknown)?;
    let transport = rollout.transport.clone();
    let mut client = EngineClient::over(transport, rollout.process.node.ip, address);
    publish_update_state(rollout, &engine.id, set_updating).await;
    tokio::time::sleep(constants::ROLLOUT_NOTICE).await;
    let (model, version) = (target.model.as_str(), target.version);
    let updated = {
        let ordering = order::order(rollout, &mut client, engine, model, version);
        keep_marked(rollout, &engine.id, ordering).await
    };
    log_update(rollout, engine, target, &updated);
    publish_update_state(rollout, &engine.id, |engine| {
        clear_marks(engine);
        if updated.is_ok() {
            fleet::raise(engine, model, version);
        }
    })
    .await;
    updated
}

/// Waits for an order to end. Routers heed a mark only for so long, since whoever set it may have died, and the runs that
/// an engine ends first may last longer: the mark is renewed meanwhile.
async fn keep_marked<T>(rollout: &Arc<Rollout>, id: &str, ordering: impl Future<Output = T>) -> T {
    tokio::pin!(ordering);
    loop {
        let renewal = tokio::time::sleep(constants::ROLLOUT_STATE_TIMEOUT / 2);
        tokio::select! {
            ended = &mut ordering => return ended,
            () = renewal => publish_update_state(rollout, id, set_updating).await,
        }
    }
}

fn log_update(
    rollout: &Rollout,
    engine: &Engine,
    target: &Target,
    updated: &Result<Duration, OrderError>,
) {
    match updated {
        Ok(load) => {
            fleet_core::log_event!(rollout.process.log, Event::WeightUpdateCompleted,
                "ms" => load.as_millis() as u64, "id" => &engine.id, "version" => target.version);
        }
        Err(error) => {
            fleet_core::log_event!(rollout.process.log, Event::WeightUpdateFailed,
                "id" => &engine.id, "why" => error.to_string());
        }
    }
}

/// Changes what is known of an engine, here and at a majority of the controllers.
async fn publish_update_state(rollout: &Arc<Rollout>, id: &str, change: impl FnOnce(&mut Engine)) {
    let Some(engine) = rollout.cluster_state.change_engine(id, change) else { return };
    rollout.registry.replicate_now(engine).await;
}
