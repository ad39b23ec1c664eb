//! Merging of updates about engines, with the same rules on controllers and routers.

use crate::wire::{Engine, EngineState};

/// Merges an update into the known state; returns false if nothing but the call number changed. An update from a
/// later call replaces the known state. From an earlier call, only monotonic fields are merged: versions, states of
/// the rollout, and deregistration.
pub fn merge(known: &mut Engine, update: &Engine) -> bool {
    let before = known.clone();
    if update.call_seq > known.call_seq {
        *known = update.clone();
        merge_monotonic_fields(known, &before);
    } else {
        if update.call_seq == known.call_seq {
            known.heartbeat_missed = update.heartbeat_missed;
        }
        merge_monotonic_fields(known, update);
    }
    let call_seq = std::mem::replace(&mut known.call_seq, before.call_seq);
    let changed = *known != before;
    known.call_seq = call_seq;
    changed
}

/// Merges the monotonic fields of `other`, whichever of the two is newer.
fn merge_monotonic_fields(engine: &mut Engine, other: &Engine) {
    for weights in &other.weights {
        raise_version(engine, &weights.model, weights.version);
    }
    engine.update_seq = engine.update_seq.max(other.update_seq);
    engine.drain_seq = engine.drain_seq.max(other.drain_seq);
    if other.state() == EngineState::Deregistered {
        engine.set_state(EngineState::Deregistered);
    }
}

/// Raises the version of a model on an engine instance; returns false if it has that version or a later one. Versions
/// of one instance never decrease.
pub fn raise_version(engine: &mut Engine, model: &str, version: u64) -> bool {
    match engine.weights.iter_mut().find(|weights| weights.model == model) {
        Some(weights) if weights.version >= version => false,
        Some(weights) => {
            weights.version = version;
            true
        }
        None => {
            engine.weights.push(crate::wire::WeightsVersion { model: model.to_owned(), version });
            true
        }
    }
}

/// Version of a model on an engine; `None` if it does not have the model.
pub fn version_of(engine: &Engine, model: &str) -> Option<u64> {
    let weights = engine.weights.iter().find(|weights| weights.model == model)?;
    Some(weights.version)
}

/// Whether the engine will be ordered to update soon and does not have the target version yet.
pub fn is_draining_streams(engine: &Engine, model: &str, target: Option<u64>) -> bool {
    let is_behind = |version| target.is_some_and(|target| version < target);
    engine.drain_seq % 2 == 1 && version_of(engine, model).is_some_and(is_behind)
}

/// Whether the engine has been ordered to update and does not have the target version yet. The version is compared as
/// well because the controller that issued the order may have failed before it reported completion.
pub fn is_updating(engine: &Engine, model: &str, target: Option<u64>) -> bool {
    let is_behind = |version| target.is_none_or(|target| version < target);
    engine.update_seq % 2 == 1 && version_of(engine, model).is_none_or(is_behind)
}

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod tests;
