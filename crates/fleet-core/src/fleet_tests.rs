//! Tests of `fleet`.

use super::*;

fn engine(call: u64, state: EngineState) -> Engine {
    let mut e = Engine { id: "i".into(), call, ..Default::default() };
    e.set_state(state);
    e
}

#[test]
fn late_call_changes_nothing_and_gone_is_final() {
    let mut e = engine(5, EngineState::Draining);
    assert!(!merge(&mut e, &engine(4, EngineState::Ready)));
    assert_eq!(e.state(), EngineState::Draining);
    assert!(merge(&mut e, &engine(3, EngineState::Deregistered)));
    assert!(!merge(&mut e, &engine(9, EngineState::Ready)));
    assert_eq!(e.state(), EngineState::Deregistered);
    assert_eq!(e.call, 9);
}

#[test]
fn weights_and_turns_only_rise() {
    let mut e = engine(1, EngineState::Ready);
    raise(&mut e, "m", 3);
    e.update_seq = 4;
    let mut old = engine(2, EngineState::Ready);
    raise(&mut old, "m", 2);
    assert!(!merge(&mut e, &old));
    assert_eq!(version_of(&e, "m"), Some(3));
    assert_eq!(e.update_seq, 4);
    assert!(!is_updating(&e, "m", Some(4)));
}

#[test]
fn an_engine_at_the_named_weights_is_no_longer_changing() {
    let mut e = engine(1, EngineState::Ready);
    raise(&mut e, "m", 2);
    e.update_seq = 1;
    assert!(is_updating(&e, "m", Some(3)));
    let mut beat = engine(2, EngineState::Ready);
    raise(&mut beat, "m", 3);
    assert!(merge(&mut e, &beat));
    assert_eq!(e.update_seq, 1, "nobody told the end of the turn");
    assert!(!is_updating(&e, "m", Some(3)));
}
