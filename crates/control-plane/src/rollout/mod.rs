//! Weight rollout: updates the engines of a model to its target weights, a few at a time.
//!
//! The target is a replicated register (`weights/MODEL`). The node that holds [`ROLLOUT_LEASE`] orders engines to load
//! it. Each order carries the lease's fencing token, so that engines reject orders of a former holder. [`plan`] selects
//! the engines to update next, `order` executes a single order, and [`status`] reports both to the operator.
//!
//! Before an engine is updated, routers learn of it from the engine's replicated state: they first stop sending it long
//! streams, and then stop sending it any requests. Both states are monotonic counters ([`Engine::drain_seq`],
//! [`Engine::update_seq`]) that are odd while the state is set, so that delayed messages have no effect.

pub mod concurrency;
mod order;
pub mod plan;
pub mod status;

use crate::cluster_state::ClusterStateStore;
use crate::engines::client::HttpClient;
use crate::engines::registry::EngineRegistry;
use crate::leases::{LeaseManager, ROLLOUT_LEASE};
use crate::membership::load_reports::LoadReports;
use crate::process::Process;
use fleet_core::constants;
use fleet_core::fleet;
use fleet_core::load::{self, LoadByEngine};
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

/// Runs rollouts on this controller. Lock order: the plan, then the cluster state.
pub struct Rollout {
    process: Arc<Process>,
    leases: Arc<LeaseManager>,
    registry: Arc<EngineRegistry>,
    cluster_state: Arc<ClusterStateStore>,
    load_reports: Arc<LoadReports>,
    transport: Arc<dyn Transport>,
    /// Retained while another controller holds the lease.
    plan: Mutex<Plan>,
}

/// Dependencies of a [`Rollout`].
pub struct RolloutDependencies {
    /// The process that the rollout runs in.
    pub process: Arc<Process>,
    /// Provides the fencing token while this node holds [`ROLLOUT_LEASE`].
    pub leases: Arc<LeaseManager>,
    /// Replicates the update state of engines.
    pub registry: Arc<EngineRegistry>,
    /// The known engines and the target weights.
    pub cluster_state: Arc<ClusterStateStore>,
    /// Engine loads, which determine the order of updates.
    pub load_reports: Arc<LoadReports>,
    /// Connects to engines.
    pub transport: Arc<dyn Transport>,
}

impl Rollout {
    /// Starts with an empty plan.
    pub fn new(dependencies: RolloutDependencies) -> Rollout {
        Rollout {
            process: dependencies.process,
            leases: dependencies.leases,
            registry: dependencies.registry,
            cluster_state: dependencies.cluster_state,
            load_reports: dependencies.load_reports,
            transport: dependencies.transport,
            plan: Mutex::default(),
        }
    }
}

/// Target weights of one model.
#[derive(Clone)]
struct Target {
    model: String,
    /// The newest target version.
    version: u64,
    /// All target versions that engines may still lack; each has its own deadline.
    versions: TargetVersions,
}

impl Target {
    /// Whether the engine is known to serve older weights of the model.
    fn is_ahead_of(&self, engine: &Engine) -> bool {
        fleet::version_of(engine, &self.model).is_some_and(|version| version < self.version)
    }

    /// Time until routers stop sending requests to an engine with older weights, minus a margin. Counted from the time
    /// at which the first version that the engine lacks was set, even if newer versions have been set since.
    fn remaining(&self, engine: &Engine, bound: Duration, now: Instant) -> Duration {
        let margin = constants::VERSION_MARGIN + constants::ROLLOUT_MARGIN;
        bound.saturating_sub(margin).saturating_sub(self.outdated_for(engine, now))
    }

    /// Time in which the engine should load the target weights, although it may serve older ones for longer.
    fn goal(&self, engine: &Engine, now: Instant) -> Duration {
        constants::ROLLOUT_TARGET_DURATION.saturating_sub(self.outdated_for(engine, now))
    }

    /// How long the weights of the engine have been outdated.
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

/// Updates engines while this node holds the lease. While all engines are up to date, waits for a state change.
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

/// Starts the planned actions of every model. The spawned tasks terminate by themselves: each of their steps has a
/// timeout, and orders are sent only while the lease is held.
fn begin_due_actions(rollout: &Arc<Rollout>) {
    let due: Vec<(Target, Action)> = {
        let mut plan = rollout.plan.lock();
        let loads = rollout.load_reports.total();
        let targets = targets(rollout).into_iter();
        targets.flat_map(|target| due_actions(rollout, &mut plan, &loads, target)).collect()
    };
    for (target, action) in due {
        tokio::spawn(execute_action(rollout.clone(), target, action));
    }
}

fn due_actions(
    rollout: &Rollout,
    plan: &mut Plan,
    loads: &LoadByEngine,
    target: Target,
) -> Vec<(Target, Action)> {
    let now = Instant::now();
    let engines = serving_engines(rollout, &target.model);
    let outdated = outdated_engines(rollout, plan, loads, &target, &engines);
    let actions = plan.next(now, engines.len(), &outdated);
    actions.into_iter().map(|action| (target.clone(), action)).collect()
}

/// Ready engines that serve the model and send heartbeats.
fn serving_engines(rollout: &Rollout, model: &str) -> Vec<Engine> {
    let serves = |engine: &&Engine| {
        engine.state() == EngineState::Ready
            && !engine.heartbeat_missed
            && fleet::version_of(engine, model).is_some()
    };
    rollout.cluster_state.read(|state| state.engines.values().filter(serves).cloned().collect())
}

/// The engines that lack the target weights, with their loads. The plan adopts those whose streams are already being
/// drained on behalf of a former lease holder.
fn outdated_engines(
    rollout: &Rollout,
    plan: &mut Plan,
    loads: &LoadByEngine,
    target: &Target,
    engines: &[Engine],
) -> Vec<OutdatedEngine> {
    let (bound, now) = (rollout.process.settings().bounds.version, Instant::now());
    let mut outdated = Vec::new();
    for engine in engines.iter().filter(|engine| target.is_ahead_of(engine)) {
        if fleet::is_draining_streams(engine, &target.model, Some(target.version)) {
            plan.adopt(&engine.id, now);
        }
        let key = load::engine_key(&engine.id);
        let load = loads.get(&key).copied().unwrap_or_default();
        outdated.push(OutdatedEngine {
            id: engine.id.clone(),
            zone: engine.zone.clone(),
            interactive_share: rollout.load_reports.interactive_share(key),
            interactive_in_flight: load.interactive,
            in_flight: load.in_flight,
            remaining: target.remaining(engine, bound, now),
            goal: target.goal(engine, now),
        });
    }
    outdated
}

async fn execute_action(rollout: Arc<Rollout>, target: Target, action: Action) {
    match action {
        Action::DrainStreams(id) => publish_update_state(&rollout, &id, set_draining).await,
        Action::Update(id) => {
            let updated = update(&rollout, &id, &target).await;
            let mut plan = rollout.plan.lock();
            match updated {
                Ok(load) => plan.record_update_end(&id, Instant::now(), Some(load)),
                Err(error) => plan.record_update_failure(&id, Instant::now(), &error.to_string()),
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

fn clear_update_state(engine: &mut Engine) {
    engine.update_seq += engine.update_seq % 2;
    engine.drain_seq += engine.drain_seq % 2;
}

/// Updates one engine: notifies routers, sends the order, waits for its completion, and notifies routers again.
/// Returns how long the engine took to load the weights.
async fn update(rollout: &Arc<Rollout>, id: &str, target: &Target) -> Result<Duration, OrderError> {
    let engine = rollout.registry.get(id);
    let engine = &engine.ok_or(OrderError::UnknownEngine)?;
    let address = engine.address.parse().map_err(|_| OrderError::UnknownEngine)?;
    let transport = rollout.transport.clone();
    let mut client = HttpClient::with_transport(transport, rollout.process.node.ip, address)
        .with_max_response_bytes(constants::REPORT_MAX_BYTES)
        .with_response_budget(rollout.process.response_budget.clone());
    publish_update_state(rollout, &engine.id, set_updating).await;
    tokio::time::sleep(constants::UPDATE_NOTICE_DELAY).await;
    let (model, version) = (target.model.as_str(), target.version);
    let updated = {
        let pending_order = order::execute(rollout, &mut client, engine, model, version);
        with_update_state_renewed(rollout, &engine.id, pending_order).await
    };
    log_update(rollout, engine, target, &updated);
    publish_update_state(rollout, &engine.id, |engine| {
        clear_update_state(engine);
        if updated.is_ok() {
            fleet::raise_version(engine, model, version);
        }
    })
    .await;
    updated
}

/// Waits for an order to complete, renewing the engine's update state meanwhile. Routers ignore that state after a
/// timeout, since the controller that set it may have failed, and requests that the engine finishes first may take
/// longer than the timeout.
async fn with_update_state_renewed<T>(
    rollout: &Arc<Rollout>,
    id: &str,
    pending_order: impl Future<Output = T>,
) -> T {
    tokio::pin!(pending_order);
    loop {
        let renewal = tokio::time::sleep(constants::ROLLOUT_STATE_TIMEOUT / 2);
        tokio::select! {
            ended = &mut pending_order => return ended,
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

/// Changes the state of an engine locally and replicates it to a majority of the controllers.
async fn publish_update_state(rollout: &Arc<Rollout>, id: &str, change: impl FnOnce(&mut Engine)) {
    let Some(engine) = rollout.cluster_state.change_engine(id, change) else { return };
    rollout.registry.replicate_now(engine).await;
}
