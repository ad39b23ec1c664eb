//! Tests of `fleet`.

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
    assert_eq!(version_of(&e, "m"), Some(3));
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
