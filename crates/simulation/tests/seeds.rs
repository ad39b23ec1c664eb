//! A fixed set of seeds and a drawn one keep every invariant.

use simulation::fault::{Plan, Point};
use std::hash::{BuildHasher, Hasher};

fn assert_clean(point: Point, seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        let plan = Plan::random(seed, point);
        let outcome = simulation::run(&plan, None).expect("a runtime");
        assert!(!outcome.history.writes.is_empty());
        let broken = &outcome.violations;
        assert!(broken.is_empty(), "seed {seed} of {}: {broken:#?}", point.name());
    }
}

#[test]
fn machines_isolated() {
    assert_clean(Point::Isolation, [200, 201, 202]);
}

#[test]
fn operators_in_a_race() {
    assert_clean(Point::Race, [200, 201]);
}

#[test]
fn a_second_loss_after_a_repair() {
    assert_clean(Point::SecondLoss, [200, 201, 202, 203]);
}

/// Guards against DRAIN: an acknowledged drain or deregistration was forgotten when all controllers were killed or lost
/// power, and a heartbeat from before it made the engine ready again.
#[test]
fn acknowledged_departures_outlive_the_loss_of_all_controllers() {
    assert_clean(Point::SecondLoss, [1, 3, 6, 14]);
    assert_clean(Point::Hundreds, [7, 9]);
}

#[test]
fn hundreds_of_changes() {
    assert_clean(Point::Hundreds, [200]);
}

#[test]
fn connections_reset_under_calls() {
    assert_clean(Point::Calls, [200, 201]);
}

#[test]
fn everything_at_once() {
    assert_clean(Point::All, [200, 201, 202, 203]);
}

#[test]
fn a_drawn_seed() {
    let seed = std::hash::RandomState::new().build_hasher().finish() >> 32;
    println!("drawn seed {seed}");
    assert_clean(Point::All, [seed]);
}
