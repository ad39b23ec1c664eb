//! What is known of an engine, and how updates of it merge; alike at controllers and routers.

use crate::wire::{Engine, EngineState};

/// Merges an update into what is known; false if nothing but the call's number is new.
/// News of a later call replace what is known; of an earlier one, only what never falls counts:
/// versions, states of the roll-out, and that it was deregistered.
pub fn merge(known: &mut Engine, update: &Engine) -> bool {
    let before = known.clone();
    if update.call > known.call {
        *known = update.clone();
        keep_what_never_falls(known, &before);
    } else {
        if update.call == known.call {
            known.heartbeat_missed = update.heartbeat_missed;
        }
        keep_what_never_falls(known, update);
    }
    let call = std::mem::replace(&mut known.call, before.call);
    let changed = *known != before;
    known.call = call;
    changed
}

/// Takes from `other` what never falls, whichever of the two is newer.
fn keep_what_never_falls(engine: &mut Engine, other: &Engine) {
    for weights in &other.weights {
        raise(engine, &weights.model, weights.version);
    }
    engine.update_seq = engine.update_seq.max(other.update_seq);
    engine.drain_seq = engine.drain_seq.max(other.drain_seq);
    if other.state() == EngineState::Deregistered {
        engine.set_state(EngineState::Deregistered);
    }
}

/// Raises the version of a model at an instance; false if it was there already. Versions of one
/// instance only ever rise.
pub fn raise(engine: &mut Engine, model: &str, version: u64) -> bool {
    match engine.weights.iter_mut().find(|weights| weights.model == model) {
        Some(weights) if weights.version >= version => false,
        Some(weights) => {
            weights.version = version;
            true
        }
        None => {
            engine.weights.push(crate::wire::Weights { model: model.to_owned(), version });
            true
        }
    }
}

/// Version of a model that an engine has; none if it lacks the model.
pub fn version_of(engine: &Engine, model: &str) -> Option<u64> {
    let weights = engine.weights.iter().find(|weights| weights.model == model)?;
    Some(weights.version)
}

/// Whether the engine is to be ordered soon, and is not yet at the named weights.
pub fn is_draining_streams(engine: &Engine, model: &str, target: Option<u64>) -> bool {
    let is_behind = |version| target.is_some_and(|target| version < target);
    engine.drain_seq % 2 == 1 && version_of(engine, model).is_some_and(is_behind)
}

/// Whether the engine is under order, and not yet at the named weights: whoever ordered it may have
/// died before telling the end.
pub fn is_updating(engine: &Engine, model: &str, target: Option<u64>) -> bool {
    let is_behind = |version| target.is_none_or(|target| version < target);
    engine.update_seq % 2 == 1 && version_of(engine, model).is_none_or(is_behind)
}

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod tests;
