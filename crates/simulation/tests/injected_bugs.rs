//! Each injected bug violates its invariant at some seed at which the invariant holds without the bug.

use simulation::fault::Plan;
use simulation::injected_bug::InjectedBug;

/// Number of seeds to try, starting at one that was observed to expose the bug.
const SEEDS: u64 = 4;

fn assert_detected(injected_bug: InjectedBug, first: u64) {
    let exposes = |seed: &u64| {
        let plan = Plan::random(*seed, injected_bug.exposing_mix());
        simulation::exposes(&plan, injected_bug).expect("runtime starts")
    };
    let found = (first..first + SEEDS).find(exposes);
    assert!(found.is_some(), "{injected_bug:?} not detected within {SEEDS} seeds from {first}");
}

#[test]
fn a_lying_disk_violates_i1() {
    assert_detected(InjectedBug::LyingDisk, 8);
}

#[test]
fn an_early_acknowledgement_violates_i2() {
    assert_detected(InjectedBug::EarlyAcknowledgement, 1);
}

#[test]
fn a_hasty_refusal_violates_i3() {
    assert_detected(InjectedBug::HastyRefusal, 1);
}

#[test]
fn a_stale_read_violates_i4() {
    assert_detected(InjectedBug::StaleRead, 1);
}

#[test]
fn a_long_lease_violates_i5() {
    assert_detected(InjectedBug::LongLease, 5);
}

#[test]
fn a_second_founding_violates_i6() {
    assert_detected(InjectedBug::SecondFounding, 3);
}

#[test]
fn a_stuck_member_violates_i7() {
    assert_detected(InjectedBug::StuckMember, 3);
}

#[test]
fn a_repeated_call_violates_i8() {
    assert_detected(InjectedBug::RepeatedCall, 1);
}
