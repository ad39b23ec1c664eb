//! The roll-out: brings the engines of a model to its target weights, a few at a time.
//!
//! The target is a key of the control state (`weights/MODEL`). The controller that holds
//! [`ROLLOUT_LEASE`] orders engines to load it; each order bears the lease's fencing token, so that an engine
//! refuses one of a former holder. [`plan`] decides which engine is next, [`order`] carries one order out,
//! [`status`] shows both to the operator.
//!
//! Routers are told beforehand, with the engine's own state, that an engine is about to be updated: they send
//! it no more long streams first, and then nothing at all. These two marks are counters that only rise
//! ([`Engine::drain_seq`], [`Engine::update_seq`]) and are odd while they are set, so that late messages
//! change nothing.

pub mod concurrency;
mod order;
pub mod plan;
pub mod status;

use crate::Controller;
use crate::cluster_state::StateChange;
use crate::engines::{client::EngineClient, registry};
use crate::leases::ROLLOUT_LEASE;
use fleet_core::constants;
use fleet_core::fleet;
use fleet_core::load::{self, ByEngine};
use fleet_core::log::Event;
use fleet_core::wire::{Engine, EngineState};
use order::OrderError;
use plan::{Action, OutdatedEngine, Plan};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The weights that the engines of one model are to have.
#[derive(Clone)]
struct Target {
    model: String,
    version: u64,
    /// When this controller learned of it; none if that was before its start.
    since: Option<Instant>,
}

impl Target {
    /// Whether an engine is known to have older weights of the model.
    fn is_ahead_of(&self, engine: &Engine) -> bool {
        fleet::version_of(engine, &self.model).is_some_and(|version| version < self.version)
    }

    /// Time until routers stop sending requests to older weights, less a margin.
    fn remaining(&self, controller: &Controller, now: Instant) -> Duration {
        let margin = constants::VERSION_MARGIN + constants::ROLLOUT_MARGIN;
        let bound = controller.settings().bounds.version.saturating_sub(margin);
        self.since.map_or(bound, |since| bound.saturating_sub(now.duration_since(since)))
    }
}

fn targets(controller: &Controller) -> Vec<Target> {
    controller.read_state(|state| {
        let target = |(model, (version, since)): (&String, &(u64, Option<Instant>))| Target {
            model: model.clone(),
            version: *version,
            since: *since,
        };
        state.weights.iter().map(target).collect()
    })
}

/// Updates engines while this node holds the lease; waits for a change while all are up to date.
pub async fn run_rollout(controller: Arc<Controller>) {
    let mut changes = controller.subscribe();
    loop {
        changes.borrow_and_update();
        if !has_outdated_engines(&controller) {
            controller.leases.plan.lock().reset();
            if changes.changed().await.is_err() {
                return;
            }
            continue;
        }
        if controller.leases.fencing_token(ROLLOUT_LEASE).is_some() {
            begin_due_actions(&controller);
        }
        tokio::time::sleep(constants::ROLLOUT_INTERVAL).await;
    }
}

fn has_outdated_engines(controller: &Controller) -> bool {
    let targets = targets(controller);
    let is_outdated = |engine: &Engine| {
        engine.state() != EngineState::Deregistered
            && targets.iter().any(|target| target.is_ahead_of(engine))
    };
    controller.read_state(|state| state.engines.values().any(is_outdated))
}

/// Begins what the plan says for each model. The tasks end by themselves: each step of theirs has a time-out,
/// and an order is given only while the lease is held.
fn begin_due_actions(controller: &Arc<Controller>) {
    let due: Vec<(Target, Action)> = {
        let mut plan = controller.leases.plan.lock();
        let loads = controller.peers.load_reports.total();
        let targets = targets(controller).into_iter();
        targets.flat_map(|target| due_actions(controller, &mut plan, &loads, target)).collect()
    };
    for (target, action) in due {
        tokio::spawn(carry_out(controller.clone(), target, action));
    }
}

fn due_actions(
    controller: &Controller,
    plan: &mut Plan,
    loads: &ByEngine,
    target: Target,
) -> Vec<(Target, Action)> {
    let now = Instant::now();
    let engines = serving_engines(controller, &target.model);
    let outdated = outdated_engines(controller, plan, loads, &target, &engines);
    let remaining = target.remaining(controller, now);
    let actions = plan.next(now, engines.len(), &outdated, remaining);
    actions.into_iter().map(|action| (target.clone(), action)).collect()
}

/// Engines of a model that are ready, and heard of.
fn serving_engines(controller: &Controller, model: &str) -> Vec<Engine> {
    let serves = |engine: &&Engine| {
        engine.state() == EngineState::Ready
            && !engine.heartbeat_missed
            && fleet::version_of(engine, model).is_some()
    };
    controller.read_state(|state| state.engines.values().filter(serves).cloned().collect())
}

/// Those of the engines that lack the target weights, with their loads. The plan takes over the ones whose
/// streams a former holder of the lease has drained.
fn outdated_engines(
    controller: &Controller,
    plan: &mut Plan,
    loads: &ByEngine,
    target: &Target,
    engines: &[Engine],
) -> Vec<OutdatedEngine> {
    let mut outdated = Vec::new();
    for engine in engines.iter().filter(|engine| target.is_ahead_of(engine)) {
        if fleet::is_draining_streams(engine, &target.model, Some(target.version)) {
            plan.adopt(&engine.id, Instant::now());
        }
        let key = load::key_of(&engine.id);
        let load = loads.get(&key).copied().unwrap_or_default();
        outdated.push(OutdatedEngine {
            id: engine.id.clone(),
            zone: engine.zone.clone(),
            interactive_share: controller.peers.load_reports.interactive_share(key),
            interactive_runs: load.interactive,
            runs: load.runs,
        });
    }
    outdated
}

async fn carry_out(controller: Arc<Controller>, target: Target, action: Action) {
    match action {
        Action::DrainStreams(id) => mark(&controller, &id, set_draining).await,
        Action::Update(id) => {
            let updated = update(&controller, &id, &target).await;
            let mut plan = controller.leases.plan.lock();
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

/// Updates one engine: routers are told, the order is given, its end is waited for and routers are told
/// that too. Returns how long the engine took to load the weights.
async fn update(
    controller: &Arc<Controller>,
    id: &str,
    target: &Target,
) -> Result<Duration, OrderError> {
    let engine = controller.read_state(|state| state.engines.get(id).cloned());
    let engine = &engine.ok_or(OrderError::Unknown)?;
    let address = engine.address.parse().map_err(|_| OrderError::Unknown)?;
    let transport = controller.transport.clone();
    let mut client = EngineClient::over(transport, controller.node.ip, address);
    mark(controller, &engine.id, set_updating).await;
    tokio::time::sleep(constants::ROLLOUT_NOTICE).await;
    let (model, version) = (target.model.as_str(), target.version);
    let updated = order::order(controller, &mut client, engine, model, version).await;
    log_update(controller, engine, target, &updated);
    mark(controller, &engine.id, |engine| {
        clear_marks(engine);
        if updated.is_ok() {
            fleet::raise(engine, model, version);
        }
    })
    .await;
    updated
}

fn log_update(
    controller: &Controller,
    engine: &Engine,
    target: &Target,
    updated: &Result<Duration, OrderError>,
) {
    match updated {
        Ok(load) => {
            fleet_core::log_event!(controller.log, Event::WeightUpdateCompleted,
                "ms" => load.as_millis() as u64, "id" => &engine.id, "version" => target.version);
        }
        Err(error) => {
            fleet_core::log_event!(controller.log, Event::WeightUpdateFailed,
                "id" => &engine.id, "why" => error.to_string());
        }
    }
}

/// Changes what is known of an engine, here and at a majority of the controllers.
async fn mark(controller: &Arc<Controller>, id: &str, change: impl FnOnce(&mut Engine)) {
    let engine = controller.read_state(|state| state.engines.get(id).cloned());
    let Some(mut engine) = engine else { return };
    change(&mut engine);
    controller.append(StateChange::Engine(engine.clone()));
    registry::replicate_now(controller, engine).await;
}
