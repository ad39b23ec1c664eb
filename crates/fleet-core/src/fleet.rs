//! What is believed of an engine, and how news of it merge; alike at controllers and routers.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::wire::{Engine, Standing};

/// Takes the news into what is known; false if they tell nothing new.
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

/// Weights of one instance only ever rise.
pub fn raise(e: &mut Engine, model: &str, version: u64) -> bool {
    match e.weights.iter_mut().find(|w| w.model == model) {
        Some(w) if w.version >= version => false,
        Some(w) => {
            w.version = version;
            true
        }
        None => {
            e.weights.push(crate::wire::Weights { model: model.to_owned(), version });
            true
        }
    }
}

pub fn version_of(e: &Engine, model: &str) -> Option<u64> {
    e.weights.iter().find(|w| w.model == model).map(|w| w.version)
}

/// To be ordered soon, and not yet at the named weights.
pub fn is_fading(e: &Engine, model: &str, named: Option<u64>) -> bool {
    e.fade % 2 == 1 && version_of(e, model).is_some_and(|s| named.is_some_and(|n| s < n))
}

/// Under order, and not yet at the named weights: who ordered it may have died before telling the end.
pub fn is_changing(e: &Engine, model: &str, named: Option<u64>) -> bool {
    e.turn % 2 == 1 && version_of(e, model).is_none_or(|s| named.is_none_or(|n| s < n))
}

#[cfg(test)]
#[path = "fleet_tests.rs"]
mod tests;
