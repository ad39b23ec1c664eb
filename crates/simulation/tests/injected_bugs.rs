//! Each deliberate defect is found, by the invariant that it breaks, at a seed that keeps the
//! invariant without the defect.

use simulation::fault::Plan;
use simulation::injected_bug::InjectedBug;

/// How many seeds are tried, from the one that was seen to show the defect.
const SEEDS: u64 = 4;

fn assert_found(injected_bug: InjectedBug, first: u64) {
    let shows = |seed: &u64| {
        let plan = Plan::random(*seed, injected_bug.shown_by());
        simulation::shows(&plan, injected_bug).expect("a runtime")
    };
    let found = (first..first + SEEDS).find(shows);
    assert!(found.is_some(), "{injected_bug:?} not found within {SEEDS} seeds from {first}");
}

#[test]
fn a_lying_disk_breaks_i1() {
    assert_found(InjectedBug::LyingDisk, 8);
}

#[test]
fn an_early_acknowledgement_breaks_i2() {
    assert_found(InjectedBug::EarlyAcknowledgement, 1);
}

#[test]
fn a_hasty_refusal_breaks_i3() {
    assert_found(InjectedBug::HastyRefusal, 1);
}

#[test]
fn a_stale_read_breaks_i4() {
    assert_found(InjectedBug::StaleRead, 1);
}

#[test]
fn a_long_lease_breaks_i5() {
    assert_found(InjectedBug::LongLease, 5);
}

#[test]
fn a_second_founding_breaks_i6() {
    assert_found(InjectedBug::SecondFounding, 3);
}

#[test]
fn a_stuck_member_breaks_i7() {
    assert_found(InjectedBug::StuckMember, 3);
}

#[test]
fn a_repeated_call_breaks_i8() {
    assert_found(InjectedBug::RepeatedCall, 1);
}
