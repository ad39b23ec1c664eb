//! Tests of `fleet`: merging the state of an engine from delayed or reordered calls.

use super::*;

fn engine(call_seq: u64, state: EngineState) -> Engine {
    let mut state_after_call = Engine { id: "i".into(), call_seq, ..Default::default() };
    state_after_call.set_state(state);
    state_after_call
}

#[test]
fn delayed_call_is_ignored_and_deregistration_is_final() {
    let mut known = engine(5, EngineState::Draining);
    assert!(!merge(&mut known, &engine(4, EngineState::Ready)));
    assert_eq!(known.state(), EngineState::Draining);
    assert!(merge(&mut known, &engine(3, EngineState::Deregistered)));
    assert!(!merge(&mut known, &engine(9, EngineState::Ready)));
    assert_eq!(known.state(), EngineState::Deregistered);
    assert_eq!(known.call_seq, 9);
}

#[test]
fn weights_and_update_seq_never_decrease() {
    let mut known = engine(1, EngineState::Ready);
    raise_version(&mut known, "m", 3);
    known.update_seq = 4;
    let mut update = engine(2, EngineState::Ready);
    raise_version(&mut update, "m", 2);
    assert!(!merge(&mut known, &update));
    assert_eq!(version_of(&known, "m"), Some(3));
    assert_eq!(known.update_seq, 4);
    assert!(!is_updating(&known, "m", Some(4)));
}

#[test]
fn engine_at_target_version_is_not_updating() {
    let mut known = engine(1, EngineState::Ready);
    raise_version(&mut known, "m", 2);
    known.update_seq = 1;
    assert!(is_updating(&known, "m", Some(3)));
    let mut heartbeat = engine(2, EngineState::Ready);
    raise_version(&mut heartbeat, "m", 3);
    assert!(merge(&mut known, &heartbeat));
    assert_eq!(known.update_seq, 1, "the end of the update was not reported");
    assert!(!is_updating(&known, "m", Some(3)));
}
