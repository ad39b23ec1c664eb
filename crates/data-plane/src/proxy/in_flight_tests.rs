//! Tests of `in_flight`.

use super::*;

#[test]
fn requests_count_until_their_guards_are_dropped() {
    let counts = Arc::new(InFlight::default());
    let (early, late) = (counts.enter(false), counts.enter(true));
    assert_eq!((counts.all(), counts.accepted_late()), (2, 1));
    drop(late);
    assert_eq!((counts.all(), counts.accepted_late()), (1, 0));
    drop(early);
    assert_eq!((counts.all(), counts.accepted_late()), (0, 0));
}
