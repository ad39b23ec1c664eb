use super::*;
use fleet_core::wire::{Member, Register};

const KEY: &str = "k";

fn ballot(n: u64) -> Ballot {
    Ballot { n, node: 1, seq: 0 }
}

fn membership(epoch: u64, size: usize) -> Membership {
    Membership { epoch, members: vec![Member::default(); size] }
}

/// The report of a voter that accepted the ballot `n` and is in the membership `epoch`.
fn report(n: u64, epoch: u64) -> BallotReport {
    let register = Register { key: KEY.into(), accepted: ballot(n), ..Default::default() };
    BallotReport {
        votes: true,
        registers: vec![register],
        membership: Some(membership(epoch, 3)),
        recovery_epoch: 0,
    }
}

#[test]
fn value_is_chosen_only_with_a_quorum_at_the_highest_ballot() {
    let mut status = QuorumStatus::new(&membership(1, 3));
    assert_eq!(status.key_status(KEY), None);
    assert!(status.add_report(1, &report(3, 1)));
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Pending(ballot(3))));
    status.add_report(2, &report(2, 1));
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Pending(ballot(3))));
    status.add_report(3, &report(3, 1));
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Chosen(ballot(3))));
    assert!(status.is_complete() && status.is_accepted_by(KEY, 2, ballot(2)));
    assert!(!status.has_quorum_at(KEY, ballot(2)));
}

/// Regression test: the quorum size was read before the members, and the local answer counted in any membership. Two
/// answers then passed for a majority of three, although there were already four members.
#[test]
fn answers_of_another_membership_or_without_a_vote_do_not_count() {
    let mut status = QuorumStatus::new(&membership(1, 3));
    status.add_report(1, &report(3, 1));
    assert!(!status.add_report(2, &report(3, 2)), "later membership");
    assert!(
        !status.add_report(3, &BallotReport { votes: false, ..report(3, 1) }),
        "still recovering"
    );
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Pending(ballot(3))));
    let mut four = QuorumStatus::new(&membership(2, 4));
    four.add_report(1, &report(3, 2));
    four.add_report(2, &report(3, 2));
    assert_eq!(
        four.key_status(KEY),
        Some(KeyStatus::Pending(ballot(3))),
        "two of four is no quorum"
    );
}

#[test]
fn voter_counts_once() {
    let mut status = QuorumStatus::new(&membership(1, 3));
    status.add_report(1, &report(3, 1));
    status.add_report(1, &report(3, 1));
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Pending(ballot(3))));
}
