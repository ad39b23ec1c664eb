//! The roll-out as this rollout sees it; made only when asked for, and changes nothing.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::Rollout;
use super::plan::{Plan, Step};
use crate::leases::ROLLOUT_LEASE;
use fleet_core::constants;
use fleet_core::wire::{Engine, EngineState};
use std::time::Duration;
use tokio::time::Instant;

#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// at the named weights
    Ready,
    /// at older weights, and serving
    Waiting,
    /// gets no more long streams
    #[serde(rename = "fading")]
    DrainingStreams,
    /// gets nothing until it shows the named weights
    #[serde(rename = "turning")]
    Updating,
    /// tells nothing
    #[serde(rename = "silent")]
    HeartbeatMissed,
}

pub fn state_of(e: &Engine, model: &str, target: u64) -> State {
    if e.heartbeat_missed {
        return State::HeartbeatMissed;
    }
    if fleet_core::fleet::version_of(e, model).is_some_and(|v| v >= target) {
        return State::Ready;
    }
    if fleet_core::fleet::is_updating(e, model, Some(target)) {
        return State::Updating;
    }
    if fleet_core::fleet::is_draining_streams(e, model, Some(target)) {
        State::DrainingStreams
    } else {
        State::Waiting
    }
}

/// Why an engine is no further, where something is wrong with it.
pub fn stuck(state: State, step: Option<(Step, Instant)>, error: Option<&str>) -> Option<String> {
    match (state, step) {
        (State::Ready, _) => None,
        (State::HeartbeatMissed, _) => Some("sends no heartbeats".to_owned()),
        (_, Some((Step::Updating(since), now)))
            if now.duration_since(since) > constants::UPDATE_SLOW =>
        {
            Some(format!("turns since {} ms", now.duration_since(since).as_millis()))
        }
        (_, Some((Step::Updating(_), _))) => None,
        _ => error.map(|p| format!("last turn failed: {p}")),
    }
}

fn engine_json(
    e: &Engine,
    model: &str,
    target: u64,
    plan: &Plan,
    now: Instant,
) -> serde_json::Value {
    let state = state_of(e, model, target);
    let step = plan.step(&e.id).map(|step| (step, now));
    serde_json::json!({
        "id": e.id, "zone": e.zone, "state": state,
        "revision": fleet_core::fleet::version_of(e, model),
        "stuck": stuck(state, step, plan.error(&e.id)),
    })
}

pub fn view(rollout: &Rollout) -> serde_json::Value {
    let now = Instant::now();
    let bound = rollout.process.settings().bounds.version;
    let plan = rollout.plan.lock();
    let is_held = rollout.leases.fencing_token(ROLLOUT_LEASE).is_some();
    let models = rollout.cluster_state.read(|n| {
        let mut all: Vec<_> = n.weights.iter().collect();
        all.sort_by_key(|(m, _)| m.as_str());
        let one = |(model, (target, at)): &(&String, &(u64, Option<Instant>))| {
            let mut engines: Vec<&Engine> = n
                .engines
                .values()
                .filter(|e| e.state() == EngineState::Ready)
                .filter(|e| fleet_core::fleet::version_of(e, model).is_some())
                .collect();
            engines.sort_by(|a, b| a.id.cmp(&b.id));
            let age = at.map_or(Duration::ZERO, |t| now.duration_since(t));
            let engines_json: Vec<_> =
                engines.iter().map(|e| engine_json(e, model, *target, &plan, now)).collect();
            serde_json::json!({
                "model": model, "revision": target, "ageMs": age.as_millis() as u64,
                "leftMs": bound.saturating_sub(age).as_millis() as u64, "engines": engines_json,
            })
        };
        all.iter().map(one).collect::<Vec<_>>()
    });
    serde_json::json!({"holds": is_held, "width": plan.concurrency(), "models": models})
}
