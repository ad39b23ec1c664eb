//! What is believed of an engine, and how news of it merge; alike at controllers and routers.

use crate::wire::{Engine, Standing};

/// Takes the news into what is known; false if they tell nothing new but the call's number.
/// News of a later call replace what is known; of an earlier one, only what never falls counts:
/// versions, marks of the roll-out, and that it is gone.
pub fn merge(known: &mut Engine, news: &Engine) -> bool {
    let before = known.clone();
    if news.call > known.call {
        let (weights, turn, fade) = (std::mem::take(&mut known.weights), known.turn, known.fade);
        let gone = known.standing() == Standing::Gone;
        *known = news.clone();
        for w in weights {
            raise(known, &w.model, w.version);
        }
        known.turn = known.turn.max(turn);
        known.fade = known.fade.max(fade);
        if gone {
            known.set_standing(Standing::Gone);
        }
    } else {
        if news.call == known.call {
            known.silent = news.silent;
        }
        for w in &news.weights {
            raise(known, &w.model, w.version);
        }
        known.turn = known.turn.max(news.turn);
        known.fade = known.fade.max(news.fade);
        if news.standing() == Standing::Gone {
            known.set_standing(Standing::Gone);
        }
    }
    let call = known.call;
    known.call = before.call;
    let changed = *known != before;
    known.call = call;
    changed
}

/// Raises the version of a model at an instance; false if it was there already. Versions of one
/// instance only ever rise.
pub fn raise(engine: &mut Engine, model: &str, version: u64) -> bool {
    match engine.weights.iter_mut().find(|w| w.model == model) {
        Some(w) if w.version >= version => false,
        Some(w) => {
            w.version = version;
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
    engine.weights.iter().find(|w| w.model == model).map(|w| w.version)
}

/// Whether the engine is to be ordered soon, and is not yet at the named weights.
pub fn is_fading(engine: &Engine, model: &str, named: Option<u64>) -> bool {
    let is_behind = |version| named.is_some_and(|named| version < named);
    engine.fade % 2 == 1 && version_of(engine, model).is_some_and(is_behind)
}

/// Whether the engine is under order, and not yet at the named weights: whoever ordered it may have
/// died before telling the end.
pub fn is_changing(engine: &Engine, model: &str, named: Option<u64>) -> bool {
    let is_behind = |version| named.is_none_or(|named| version < named);
    engine.turn % 2 == 1 && version_of(engine, model).is_none_or(is_behind)
}

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod tests;
