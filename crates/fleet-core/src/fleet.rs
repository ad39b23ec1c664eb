//! What is believed of an engine, and how news of it merge; alike at controllers and routers.

use crate::wire::{Engine, Standing};

/// Takes the news into what is known; false if they tell nothing new.
pub fn merge(known: &mut Engine, news: &Engine) -> bool {
    let before = known.clone();
    if news.call > known.call {
        let (weights, turn, fade) = (std::mem::take(&mut known.weights), known.turn, known.fade);
        let gone = known.standing() == Standing::Gone;
        *known = news.clone();
        for w in weights {
            raise(known, &w.model, w.stamp);
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
            raise(known, &w.model, w.stamp);
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
pub fn raise(e: &mut Engine, model: &str, stamp: u64) -> bool {
    match e.weights.iter_mut().find(|w| w.model == model) {
        Some(w) if w.stamp >= stamp => false,
        Some(w) => {
            w.stamp = stamp;
            true
        }
        None => {
            e.weights.push(crate::wire::Weights { model: model.to_owned(), stamp });
            true
        }
    }
}

pub fn stamp_of(e: &Engine, model: &str) -> Option<u64> {
    e.weights.iter().find(|w| w.model == model).map(|w| w.stamp)
}

/// To be ordered soon, and not yet at the named weights.
pub fn is_fading(e: &Engine, model: &str, named: Option<u64>) -> bool {
    e.fade % 2 == 1 && stamp_of(e, model).is_some_and(|s| named.is_some_and(|n| s < n))
}

/// Under order, and not yet at the named weights: who ordered it may have died before telling the end.
pub fn is_changing(e: &Engine, model: &str, named: Option<u64>) -> bool {
    e.turn % 2 == 1 && stamp_of(e, model).is_none_or(|s| named.is_none_or(|n| s < n))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn engine(call: u64, standing: Standing) -> Engine {
        let mut e = Engine { id: "i".into(), call, ..Default::default() };
        e.set_standing(standing);
        e
    }

    #[test]
    fn late_call_changes_nothing_and_gone_is_final() {
        let mut e = engine(5, Standing::Draining);
        assert!(!merge(&mut e, &engine(4, Standing::Ready)));
        assert_eq!(e.standing(), Standing::Draining);
        assert!(merge(&mut e, &engine(3, Standing::Gone)));
        assert!(!merge(&mut e, &engine(9, Standing::Ready)));
        assert_eq!(e.standing(), Standing::Gone);
        assert_eq!(e.call, 9);
    }

    #[test]
    fn weights_and_turns_only_rise() {
        let mut e = engine(1, Standing::Ready);
        raise(&mut e, "m", 3);
        e.turn = 4;
        let mut old = engine(2, Standing::Ready);
        raise(&mut old, "m", 2);
        assert!(!merge(&mut e, &old));
        assert_eq!(stamp_of(&e, "m"), Some(3));
        assert_eq!(e.turn, 4);
        assert!(!is_changing(&e, "m", Some(4)));
    }

    #[test]
    fn an_engine_at_the_named_weights_is_no_longer_changing() {
        let mut e = engine(1, Standing::Ready);
        raise(&mut e, "m", 2);
        e.turn = 1;
        assert!(is_changing(&e, "m", Some(3)));
        let mut beat = engine(2, Standing::Ready);
        raise(&mut beat, "m", 3);
        assert!(merge(&mut e, &beat));
        assert_eq!(e.turn, 1, "nobody told the end of the turn");
        assert!(!is_changing(&e, "m", Some(3)));
    }
}
