//! Tests of `look`.

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
    let mut look = Look::new(&membership(1, 3));
    assert_eq!(look.standing(KEY), None);
    assert!(look.add(1, &holds(3, 1)));
    assert_eq!(look.standing(KEY), Some(Standing::Open(ballot(3))));
    look.add(2, &holds(2, 1));
    assert_eq!(look.standing(KEY), Some(Standing::Open(ballot(3))));
    look.add(3, &holds(3, 1));
    assert_eq!(look.standing(KEY), Some(Standing::Chosen(ballot(3))));
    assert!(look.is_complete() && look.is_held_by(KEY, 2, ballot(2)));
    assert!(!look.has_quorum_at(KEY, ballot(2)));
}

/// Formerly the size of the quorum was read before the members were, and the own answer counted whatever
/// membership it was of: two of three, when there were four by then.
#[test]
fn answers_of_another_membership_or_without_a_vote_do_not_count() {
    let mut look = Look::new(&membership(1, 3));
    look.add(1, &holds(3, 1));
    assert!(!look.add(2, &holds(3, 2)), "has moved on");
    assert!(!look.add(3, &BallotReport { votes: false, ..holds(3, 1) }), "reads its state back");
    assert_eq!(look.standing(KEY), Some(Standing::Open(ballot(3))));
    let mut four = Look::new(&membership(2, 4));
    four.add(1, &holds(3, 2));
    four.add(2, &holds(3, 2));
    assert_eq!(four.standing(KEY), Some(Standing::Open(ballot(3))), "two of four are no quorum");
}

#[test]
fn a_voter_counts_once() {
    let mut look = Look::new(&membership(1, 3));
    look.add(1, &holds(3, 1));
    look.add(1, &holds(3, 1));
    assert_eq!(look.standing(KEY), Some(Standing::Open(ballot(3))));
}
