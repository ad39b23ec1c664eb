//! Tests of `proposer`.

use super::*;
use fleet_core::wire::Register;

const OWN: u64 = 1;
const KEY: &str = "k";

fn scope(voters: usize) -> Scope {
    Scope { membership: 1, recovery_epoch: 0, voters }
}

fn yes(accepted: Ballot, value: &'static [u8]) -> Vote {
    let register = Register {
        key: KEY.into(),
        promised: Ballot::default(),
        accepted,
        value: bytes::Bytes::from_static(value),
    };
    Vote { ok: true, register: Some(register), membership: None, recovery_epoch: 0 }
}

fn no(promised: Ballot) -> Vote {
    let register = Register { key: KEY.into(), promised, ..Default::default() };
    Vote { ok: false, register: Some(register), membership: None, recovery_epoch: 0 }
}

fn ballot(n: u64, node: u64, seq: u64) -> Ballot {
    Ballot { n, node, seq }
}

/// An owner among three voters, with `b"old"` accepted before at voter 2 only.
fn owner() -> Proposer {
    let (mut p, first) = Proposer::prepare(OWN, KEY, scope(3), 4);
    assert!(matches!(first, Action::SendToSelf(Request::Prepare(_))));
    assert_eq!(p.on_vote(1, OWN, Some(&yes(Ballot::default(), b""))), Action::Broadcast);
    let completes = p.on_vote(1, 2, Some(&yes(ballot(4, 2, 7), b"old")));
    let Action::SendToSelf(Request::Accept(a)) = completes else { panic!("{completes:?}") };
    assert_eq!((a.value.as_ref(), a.ballot), (&b"old"[..], ballot(5, 1, 1)));
    assert_eq!(p.on_vote(2, OWN, Some(&yes(Ballot::default(), b""))), Action::Broadcast);
    assert_eq!(p.on_vote(2, 2, Some(&yes(Ballot::default(), b""))), Action::Chosen);
    p
}

#[test]
fn completes_the_highest_accepted_value_before_it_owns_the_key() {
    let mut p = owner();
    assert!(p.is_owner());
    assert_eq!(p.value().as_ref(), b"old");
    let Action::SendToSelf(Request::Accept(a)) = p.propose(bytes::Bytes::from_static(b"new"))
    else {
        panic!("no round");
    };
    assert_eq!((a.value.as_ref(), a.ballot, a.same_as), (&b"new"[..], ballot(5, 1, 2), None));
}

#[test]
fn a_voter_that_holds_the_value_is_sent_its_ballot_only() {
    let mut p = owner();
    p.confirm();
    let Request::Accept(to_holder) = p.request_for(2) else { panic!("no accept") };
    assert_eq!(to_holder.same_as, Some(ballot(5, 1, 1)));
    assert!(to_holder.value.is_empty());
    let Request::Accept(to_other) = p.request_for(3) else { panic!("no accept") };
    assert_eq!((to_other.same_as, to_other.value.as_ref()), (None, &b"old"[..]));
}

#[test]
fn nothing_goes_to_others_without_the_own_vote() {
    let (mut p, _) = Proposer::prepare(OWN, KEY, scope(3), 0);
    assert_eq!(p.on_vote(1, OWN, None), Action::Failed(ProposalError::NoOwnVote));
    assert_eq!(p.on_vote(1, 2, Some(&yes(Ballot::default(), b""))), Action::Wait);
}

#[test]
fn refusals_tell_who_went_above() {
    let (mut p, _) = Proposer::prepare(OWN, KEY, scope(3), 0);
    p.on_vote(1, OWN, Some(&yes(Ballot::default(), b"")));
    assert_eq!(p.on_vote(1, 2, Some(&no(ballot(9, 2, 0)))), Action::Wait);
    let lost = p.on_vote(1, 3, Some(&no(ballot(8, 3, 0))));
    assert_eq!(lost, Action::Failed(ProposalError::Preempted(ballot(9, 2, 0))));
}

#[test]
fn votes_of_former_rounds_and_second_votes_do_not_count() {
    let (mut p, _) = Proposer::prepare(OWN, KEY, scope(5), 0);
    p.on_vote(1, OWN, Some(&yes(Ballot::default(), b"")));
    assert_eq!(p.on_vote(1, 2, Some(&yes(Ballot::default(), b""))), Action::Wait);
    assert_eq!(p.on_vote(1, 2, Some(&yes(Ballot::default(), b""))), Action::Wait);
    assert!(matches!(p.on_vote(1, 3, Some(&yes(Ballot::default(), b""))), Action::SendToSelf(_)));
    assert_eq!(p.on_vote(1, 4, Some(&yes(Ballot::default(), b""))), Action::Wait);
    assert!(!p.is_owner());
}
