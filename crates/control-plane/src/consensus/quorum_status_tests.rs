//! Tests of `status`.

use super::*;
use fleet_core::wire::{Member, Register};

const KEY: &str = "k";

fn ballot(n: u64) -> Ballot {
    Ballot { n, node: 1, seq: 0 }
}

fn membership(epoch: u64, size: usize) -> Membership {
    Membership { epoch, members: vec![Member::default(); size] }
}

fn holds(n: u64, epoch: u64) -> BallotReport {
    let register = Register { key: KEY.into(), accepted: ballot(n), ..Default::default() };
    BallotReport {
        votes: true,
        registers: vec![register],
        membership: Some(membership(epoch, 3)),
        recovery_epoch: 0,
    }
}

#[test]
fn chosen_needs_a_quorum_at_the_highest() {
    let mut status = QuorumStatus::new(&membership(1, 3));
    assert_eq!(status.key_status(KEY), None);
    assert!(status.add(1, &holds(3, 1)));
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Open(ballot(3))));
    status.add(2, &holds(2, 1));
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Open(ballot(3))));
    status.add(3, &holds(3, 1));
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Chosen(ballot(3))));
    assert!(status.is_complete() && status.is_accepted_by(KEY, 2, ballot(2)));
    assert!(!status.has_quorum_at(KEY, ballot(2)));
}

/// Formerly the size of the quorum was read before the members were, and the own answer counted whatever
/// membership it was of: two of three, when there were four by then.
#[test]
fn answers_of_another_membership_or_without_a_vote_do_not_count() {
    let mut status = QuorumStatus::new(&membership(1, 3));
    status.add(1, &holds(3, 1));
    assert!(!status.add(2, &holds(3, 2)), "has moved on");
    assert!(!status.add(3, &BallotReport { votes: false, ..holds(3, 1) }), "reads its state back");
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Open(ballot(3))));
    let mut four = QuorumStatus::new(&membership(2, 4));
    four.add(1, &holds(3, 2));
    four.add(2, &holds(3, 2));
    assert_eq!(four.key_status(KEY), Some(KeyStatus::Open(ballot(3))), "two of four are no quorum");
}

#[test]
fn a_voter_counts_once() {
    let mut status = QuorumStatus::new(&membership(1, 3));
    status.add(1, &holds(3, 1));
    status.add(1, &holds(3, 1));
    assert_eq!(status.key_status(KEY), Some(KeyStatus::Open(ballot(3))));
}
