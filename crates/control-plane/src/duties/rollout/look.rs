//! The roll-out as this controller sees it; made only when asked for, and changes nothing.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::plan::{Plan, Step};
use crate::Controller;
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
    Fading,
    /// gets nothing until it shows the named weights
    Turning,
    /// tells nothing
    Silent,
}

pub fn state_of(e: &Engine, model: &str, named: u64) -> State {
    if e.silent {
        return State::Silent;
    }
    if fleet_core::fleet::version_of(e, model).is_some_and(|v| v >= named) {
        return State::Ready;
    }
    if fleet_core::fleet::is_changing(e, model, Some(named)) {
        return State::Turning;
    }
    if fleet_core::fleet::is_fading(e, model, Some(named)) { State::Fading } else { State::Waiting }
}

/// Why an engine is no further, where something is wrong with it.
pub fn stuck(state: State, step: Option<(Step, Instant)>, error: Option<&str>) -> Option<String> {
    match (state, step) {
        (State::Ready, _) => None,
        (State::Silent, _) => Some("sends no heartbeats".to_owned()),
        (_, Some((Step::Turning(since), now)))
            if now.duration_since(since) > constants::TURN_SLOW =>
        {
            Some(format!("turns since {} ms", now.duration_since(since).as_millis()))
        }
        (_, Some((Step::Turning(_), _))) => None,
        _ => error.map(|p| format!("last turn failed: {p}")),
    }
}

fn row(e: &Engine, model: &str, named: u64, plan: &Plan, now: Instant) -> serde_json::Value {
    let state = state_of(e, model, named);
    let step = plan.step(&e.id).map(|s| (s, now));
    serde_json::json!({
        "id": e.id, "zone": e.zone, "state": state,
        "revision": fleet_core::fleet::version_of(e, model),
        "stuck": stuck(state, step, plan.error(&e.id)),
    })
}

pub fn look(s: &Controller) -> serde_json::Value {
    let now = Instant::now();
    let bound = s.settings().bounds.version;
    let plan = s.duties.plan.lock();
    let holds = s.duties.fence(super::ROLL_OUT).is_some();
    let models = s.look(|n| {
        let mut all: Vec<_> = n.weights.iter().collect();
        all.sort_by_key(|(m, _)| m.as_str());
        let one = |(model, (named, at)): &(&String, &(u64, Option<Instant>))| {
            let mut engines: Vec<&Engine> = n
                .engines
                .values()
                .filter(|e| e.state() == EngineState::Ready)
                .filter(|e| fleet_core::fleet::version_of(e, model).is_some())
                .collect();
            engines.sort_by(|a, b| a.id.cmp(&b.id));
            let age = at.map_or(Duration::ZERO, |t| now.duration_since(t));
            let rows: Vec<_> = engines.iter().map(|e| row(e, model, *named, &plan, now)).collect();
            serde_json::json!({
                "model": model, "revision": named, "ageMs": age.as_millis() as u64,
                "leftMs": bound.saturating_sub(age).as_millis() as u64, "engines": rows,
            })
        };
        all.iter().map(one).collect::<Vec<_>>()
    });
    serde_json::json!({"holds": holds, "width": plan.width(), "models": models})
}
