//! A seed gives the same run again, to the last answer.

use simulation::fault::{Plan, Point};

#[test]
fn a_seed_gives_the_same_history_again() {
    for point in [Point::All, Point::SecondLoss] {
        let plan = Plan::random(41, point);
        let first = simulation::run(&plan, None).expect("a runtime");
        let again = simulation::run(&plan, None).expect("a runtime");
        assert!(first.history.writes.len() > 20, "{} orders", first.history.writes.len());
        assert_eq!(first.history.fingerprint(), again.history.fingerprint());
    }
}

#[test]
fn another_seed_gives_another_history() {
    let fingerprint = |seed| {
        let plan = Plan::random(seed, Point::Isolation);
        simulation::run(&plan, None).expect("a runtime").history.fingerprint()
    };
    assert_ne!(fingerprint(1), fingerprint(2));
}
