//! Every invariant holds for a fixed set of seeds and one random seed.

use simulation::fault::{FaultMix, Plan};
use std::hash::{BuildHasher, Hasher};

fn assert_clean(mix: FaultMix, seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        let plan = Plan::random(seed, mix);
        let outcome = simulation::run(&plan, None).expect("runtime starts");
        assert!(!outcome.history.writes.is_empty());
        let broken = &outcome.violations;
        assert!(broken.is_empty(), "seed {seed} of {}: {broken:#?}", mix.name());
    }
}

#[test]
fn isolated_machines() {
    assert_clean(FaultMix::Isolation, [200, 201, 202]);
}

#[test]
fn competing_operators() {
    assert_clean(FaultMix::Race, [200, 201]);
}

#[test]
fn a_second_loss_after_a_repair() {
    assert_clean(FaultMix::SecondLoss, [200, 201, 202, 203]);
}

/// Guards against a loss of acknowledged departures: when all controllers were killed or lost power, they forgot an
/// acknowledged drain or deregistration, and a delayed heartbeat sent before it made the engine ready again.
#[test]
fn acknowledged_departures_survive_the_loss_of_all_controllers() {
    assert_clean(FaultMix::SecondLoss, [1, 3, 6, 14]);
    assert_clean(FaultMix::Hundreds, [7, 9]);
}

#[test]
fn hundreds_of_changes() {
    assert_clean(FaultMix::Hundreds, [200]);
}

#[test]
fn connections_reset_during_calls() {
    assert_clean(FaultMix::Calls, [200, 201]);
}

#[test]
fn all_kinds_of_faults() {
    assert_clean(FaultMix::All, [200, 201, 202, 203]);
}

#[test]
fn a_random_seed() {
    let seed = std::hash::RandomState::new().build_hasher().finish() >> 32;
    println!("random seed {seed}");
    assert_clean(FaultMix::All, [seed]);
}
