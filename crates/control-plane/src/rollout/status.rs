//! Status of the rollouts, as this node sees them. Computed on request, without side effects.

use super::Rollout;
use super::plan::{Plan, Step};
use crate::cluster_state::ClusterState;
use crate::leases::ROLLOUT_LEASE;
use fleet_core::constants;
use fleet_core::fleet::{is_draining_streams, is_updating, version_of};
use fleet_core::target_versions::TargetVersions;
use fleet_core::wire::{Engine, EngineState};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Rollouts of all models. The views declare their fields in alphabetical order, which is the order in which clients
/// have always received them.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RolloutView {
    /// Whether this node holds the lease and so runs the rollouts.
    pub holds: bool,
    /// All models with target weights, sorted by name.
    pub models: Vec<ModelView>,
    /// Number of engines that may be updated at the same time; 0 before a rollout has started.
    pub width: usize,
}

/// Rollout of one model's weights.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "camelCase")]
pub struct ModelView {
    /// Milliseconds since this node learned of the target.
    pub age_ms: u64,
    /// Ready engines that serve the model, sorted by id.
    pub engines: Vec<EngineView>,
    /// Milliseconds until all requests must be served with the target weights.
    pub left_ms: u64,
    /// Name of the model.
    pub model: String,
    /// Target version of its weights.
    pub revision: u64,
}

/// One engine's progress towards the target weights.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineView {
    /// Instance id.
    pub id: String,
    /// Version of the weights that it serves; `None` if it doesn't report one.
    pub revision: Option<u64>,
    /// Its step in the rollout.
    pub state: State,
    /// Why it makes no progress; `None` if nothing is wrong with it.
    pub stuck: Option<String>,
    /// Zone that it runs in.
    pub zone: String,
}

/// An engine's step in the rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Serves with the target weights.
    Ready,
    /// Serves with older weights.
    Waiting,
    /// Is sent no new long streams.
    #[serde(rename = "fading")]
    DrainingStreams,
    /// Is sent no requests until it reports the target weights.
    #[serde(rename = "turning")]
    Updating,
    /// Sends no heartbeats.
    #[serde(rename = "silent")]
    HeartbeatMissed,
}

impl State {
    /// The state's name in views and metrics.
    pub fn name(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Waiting => "waiting",
            State::DrainingStreams => "fading",
            State::Updating => "turning",
            State::HeartbeatMissed => "silent",
        }
    }
}

/// Determines an engine's step towards the target version of a model.
pub fn state_of(engine: &Engine, model: &str, target: u64) -> State {
    if engine.heartbeat_missed {
        State::HeartbeatMissed
    } else if version_of(engine, model).is_some_and(|version| version >= target) {
        State::Ready
    } else if is_updating(engine, model, Some(target)) {
        State::Updating
    } else if is_draining_streams(engine, model, Some(target)) {
        State::DrainingStreams
    } else {
        State::Waiting
    }
}

/// Explains why an engine makes no progress; `None` if nothing is wrong with it.
pub fn stall_reason(
    state: State,
    step: Option<(Step, Instant)>,
    error: Option<&str>,
) -> Option<String> {
    match (state, step) {
        (State::Ready, _) => None,
        (State::HeartbeatMissed, _) => Some("sends no heartbeats".to_owned()),
        (_, Some((Step::Updating(since), now))) => {
            let age = now.duration_since(since);
            (age > constants::UPDATE_STUCK_THRESHOLD)
                .then(|| format!("turns since {} ms", age.as_millis()))
        }
        _ => error.map(|error| format!("last turn failed: {error}")),
    }
}

/// The current status of all rollouts.
pub fn view(rollout: &Rollout) -> RolloutView {
    let now = Instant::now();
    let bound = rollout.process.settings().bounds.version;
    let plan = rollout.plan.lock();
    let models = rollout.cluster_state.read(|state| {
        let mut targets: Vec<_> = state.weights.iter().collect();
        targets.sort_by_key(|(model, _)| model.as_str());
        let view = |(model, versions): (&String, &TargetVersions)| {
            let target = versions.newest()?;
            let age = now.duration_since(target.since);
            Some(ModelView {
                age_ms: age.as_millis() as u64,
                engines: engine_views(state, &plan, model, target.version, now),
                left_ms: bound.saturating_sub(age).as_millis() as u64,
                model: model.clone(),
                revision: target.version,
            })
        };
        targets.into_iter().filter_map(view).collect()
    });
    let holds = rollout.leases.fencing_token(ROLLOUT_LEASE).is_some();
    RolloutView { holds, models, width: plan.concurrency() }
}

fn engine_views(
    state: &ClusterState,
    plan: &Plan,
    model: &str,
    target: u64,
    now: Instant,
) -> Vec<EngineView> {
    let serves = |engine: &&Engine| {
        engine.state() == EngineState::Ready && version_of(engine, model).is_some()
    };
    let mut engines: Vec<&Engine> = state.engines.values().filter(serves).collect();
    engines.sort_by(|a, b| a.id.cmp(&b.id));
    let view = |engine: &Engine| engine_view(engine, plan, model, target, now);
    engines.into_iter().map(view).collect()
}

fn engine_view(engine: &Engine, plan: &Plan, model: &str, target: u64, now: Instant) -> EngineView {
    let state = state_of(engine, model, target);
    let step = plan.step(&engine.id).map(|step| (step, now));
    EngineView {
        id: engine.id.clone(),
        revision: version_of(engine, model),
        state,
        stuck: stall_reason(state, step, plan.error(&engine.id)),
        zone: engine.zone.clone(),
    }
}
