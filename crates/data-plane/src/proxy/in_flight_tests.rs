use super::*;

#[test]
fn requests_are_counted_until_their_guards_are_dropped() {
    let counts = Arc::new(InFlight::default());
    let (before_shutdown, during_shutdown) = (counts.enter(false), counts.enter(true));
    assert_eq!((counts.total(), counts.accepted_during_shutdown()), (2, 1));
    drop(during_shutdown);
    assert_eq!((counts.total(), counts.accepted_during_shutdown()), (1, 0));
    drop(before_shutdown);
    assert_eq!((counts.total(), counts.accepted_during_shutdown()), (0, 0));
}
