//! Tests each check of the checker on handwritten histories.

use super::*;
use crate::history::{
    CaughtUp, DrainObservation, LeaseObservation, LinkCall, MembershipObservation, Read, Reply,
    Version, Write,
};

fn version(number: u64) -> Version {
    Version { number, digest: number }
}

fn write(base: u64, number: u64, at: (u64, u64), reply: Reply) -> Write {
    Write {
        operator: 0,
        machine: 0,
        base,
        version: version(number),
        valid: true,
        invoked: at.0,
        completed: at.1,
        reply,
    }
}

fn read(number: u64, at: (u64, u64)) -> Read {
    Read { machine: 0, version: version(number), invoked: at.0, completed: at.1 }
}

fn violated(history: &History) -> Vec<Invariant> {
    check(history).into_iter().map(|violation| violation.invariant).collect()
}

fn acknowledged(writes: &[(u64, u64)]) -> History {
    let writes = writes
        .iter()
        .enumerate()
        .map(|(i, (base, number))| {
            let begin = 100 * i as u64;
            write(*base, *number, (begin, begin + 50), Reply::Acknowledged)
        })
        .collect();
    History { writes, ..History::default() }
}

#[test]
fn a_chain_with_current_reads_has_no_violations() {
    let mut history = acknowledged(&[(0, 1), (1, 4), (4, 5)]);
    history.reads = vec![read(1, (60, 70)), read(4, (120, 130)), read(5, (260, 270))];
    history.last_reads = vec![read(5, (900, 910))];
    history.writes.push(write(1, 9, (300, 310), Reply::Refused));
    assert_eq!(violated(&history), []);
}

#[test]
fn two_changes_on_one_base_violate_chain() {
    let mut history = acknowledged(&[(0, 1)]);
    history.writes.push(write(1, 2, (60, 90), Reply::Acknowledged));
    history.writes.push(write(1, 3, (70, 95), Reply::Acknowledged));
    assert_eq!(violated(&history), [Invariant::Chain]);
}

#[test]
fn a_change_that_a_later_one_does_not_build_on_is_lost() {
    assert_eq!(violated(&acknowledged(&[(0, 1), (1, 2), (1, 3)])), [Invariant::Durability]);
}

#[test]
fn two_changes_with_one_number_violate_chain() {
    let mut history = acknowledged(&[(0, 1)]);
    let mut second = write(0, 1, (0, 60), Reply::Acknowledged);
    second.version.digest = 77;
    history.writes.push(second);
    assert_eq!(violated(&history), [Invariant::Chain]);
}

#[test]
fn a_change_in_effect_before_its_base_was_sent_violates_chain() {
    let mut history = acknowledged(&[(0, 1)]);
    history.writes.push(write(2, 3, (60, 70), Reply::Acknowledged));
    history.writes.push(write(1, 2, (200, 210), Reply::Acknowledged));
    assert_eq!(violated(&history), [Invariant::Chain]);
}

#[test]
fn an_invalid_change_in_effect_violates_chain() {
    let mut history = acknowledged(&[(0, 1)]);
    history.writes[0].valid = false;
    assert_eq!(violated(&history), [Invariant::Chain]);
}

#[test]
fn reading_a_version_that_was_never_sent_violates_chain() {
    let mut history = acknowledged(&[(0, 1)]);
    history.reads = vec![read(8, (60, 70))];
    assert_eq!(violated(&history), [Invariant::Chain]);
}

#[test]
fn refusing_a_resent_committed_update_violates_answers() {
    let mut history = acknowledged(&[(0, 1), (1, 2)]);
    history.writes.push(write(0, 1, (300, 310), Reply::Refused));
    assert_eq!(violated(&history), [Invariant::Answers]);
}

#[test]
fn a_refusal_with_the_base_current_violates_fresh() {
    let mut history = acknowledged(&[(0, 1)]);
    history.writes.push(write(1, 2, (60, 70), Reply::Refused));
    assert_eq!(violated(&history), [Invariant::Fresh]);
}

#[test]
fn a_refusal_with_a_competing_change_of_unknown_outcome_is_correct() {
    let mut history = acknowledged(&[(0, 1)]);
    history.writes.push(write(1, 3, (60, 70), Reply::Unknown));
    history.writes.push(write(1, 2, (65, 75), Reply::Refused));
    assert_eq!(violated(&history), []);
}

#[test]
fn a_read_older_than_an_acknowledged_change_is_stale() {
    let mut history = acknowledged(&[(0, 1), (1, 2)]);
    history.reads = vec![read(1, (160, 170))];
    assert_eq!(violated(&history), [Invariant::Fresh]);
}

#[test]
fn a_read_older_than_an_earlier_read_is_stale() {
    let mut history = acknowledged(&[(0, 1)]);
    history.writes.push(write(1, 2, (60, 500), Reply::Unknown));
    history.reads = vec![read(2, (70, 80)), read(1, (90, 95))];
    assert_eq!(violated(&history), [Invariant::Fresh]);
}

#[test]
fn an_acknowledged_change_missing_from_a_final_read_is_lost() {
    let mut history = acknowledged(&[(0, 1), (1, 2)]);
    history.last_reads = vec![read(1, (900, 910))];
    assert_eq!(violated(&history), [Invariant::Durability]);
}

#[test]
fn an_acknowledged_change_without_any_final_read_is_lost() {
    let mut history = acknowledged(&[(0, 1)]);
    history.finished = true;
    assert_eq!(violated(&history), [Invariant::Durability]);
}

#[test]
fn a_change_with_unknown_outcome_may_be_in_effect_at_the_end() {
    let mut history = acknowledged(&[(0, 1)]);
    history.writes.push(write(1, 2, (60, 70), Reply::Unknown));
    history.last_reads = vec![read(2, (900, 910))];
    assert_eq!(violated(&history), []);
}

fn holder(machine: usize, fencing_token: u64, at: u64) -> LeaseObservation {
    LeaseObservation { lease_name: "roll-out", machine, start: 0, fencing_token, at }
}

#[test]
fn leases_have_one_holder_and_increasing_fencing_tokens() {
    let violated_by = |holders| violated(&History { holders, ..History::default() });
    assert_eq!(violated_by(vec![holder(0, 1, 10), holder(0, 1, 20), holder(1, 2, 30)]), []);
    assert_eq!(violated_by(vec![holder(0, 1, 10), holder(1, 2, 10)]), [Invariant::Holder]);
    assert_eq!(violated_by(vec![holder(0, 1, 10), holder(1, 1, 20)]), [Invariant::Holder]);
    assert_eq!(violated_by(vec![holder(0, 2, 10), holder(1, 1, 20)]), [Invariant::Holder]);
}

fn membership(epoch: u64, members: &[&str]) -> MembershipObservation {
    let members = members.iter().map(|ip| (*ip).to_owned()).collect();
    MembershipObservation { machine: 0, epoch, members, at: 0 }
}

#[test]
fn memberships_change_by_one_member() {
    let violated_by = |memberships| violated(&History { memberships, ..History::default() });
    let founded = membership(1, &["a", "b", "c"]);
    assert_eq!(violated_by(vec![founded.clone(), membership(2, &["a", "b", "d"])]), []);
    assert_eq!(
        violated_by(vec![founded.clone(), membership(1, &["a", "b", "d"])]),
        [Invariant::Members]
    );
    assert_eq!(violated_by(vec![founded, membership(2, &["a", "d", "e"])]), [Invariant::Members]);
}

#[test]
fn unreachable_members_must_catch_up() {
    let mut history = acknowledged(&[(0, 1)]);
    history.calm_from = 500;
    history.caught_up = vec![CaughtUp { machine: Some(2), votes: true, version: 1 }];
    assert_eq!(violated(&history), []);
    history.caught_up = vec![CaughtUp { machine: Some(2), votes: true, version: 0 }];
    assert_eq!(violated(&history), [Invariant::CatchUp]);
}

#[test]
fn an_acknowledged_drain_is_not_lost() {
    let violated_by = |ready| {
        let engine = "engine".to_owned();
        let observation =
            DrainObservation { engine, acknowledged_by: 0, acknowledged: 10, machine: 1, ready };
        violated(&History { drains: vec![observation], ..History::default() })
    };
    assert_eq!(violated_by(false), []);
    assert_eq!(violated_by(true), [Invariant::Durability]);
}

#[test]
fn calls_get_their_own_response_and_are_handled_once() {
    let call = |answered: Option<&str>, handled| {
        let answered = answered.map(str::to_owned);
        let call = LinkCall { question: "x".to_owned(), answered, handled };
        violated(&History { calls: vec![call], ..History::default() })
    };
    assert_eq!(call(Some("x"), 1), []);
    assert_eq!(call(None, 0), []);
    assert_eq!(call(Some("y"), 1), [Invariant::Calls]);
    assert_eq!(call(Some("x"), 0), [Invariant::Calls]);
    assert_eq!(call(None, 2), [Invariant::Calls]);
}

#[test]
fn a_change_must_be_acknowledged_after_the_faults() {
    let mut history = acknowledged(&[(0, 1)]);
    history.calm_from = 1000;
    history.finished = true;
    history.last_reads = vec![read(1, (20_000, 20_010))];
    assert_eq!(violated(&history), [Invariant::Progress]);
    history.writes.push(write(1, 2, (1100, 1200), Reply::Acknowledged));
    history.last_reads = vec![read(2, (20_000, 20_010))];
    assert_eq!(violated(&history), []);
}

#[test]
fn equal_panics_are_reported_once() {
    let panics = vec!["a.rs:1".to_owned(), "a.rs:1".to_owned(), "b.rs:2".to_owned()];
    let history = History { panics, ..History::default() };
    assert_eq!(violated(&history), [Invariant::NoPanic, Invariant::NoPanic]);
}
