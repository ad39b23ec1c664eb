//! Tests of `proposer`: which votes count in a round, and what is sent to the voters.

use super::*;
use fleet_core::wire::Register;

const NODE_ID: u64 = 1;
const KEY: &str = "k";

fn scope(voters: usize) -> Scope {
    Scope { membership_epoch: 1, recovery_epoch: 0, voters }
}

fn grant(accepted: Ballot, value: &'static [u8]) -> Vote {
    let register = Register {
        key: KEY.into(),
        promised: Ballot::default(),
        accepted,
        value: bytes::Bytes::from_static(value),
    };
    Vote { granted: true, register: Some(register), membership: None, recovery_epoch: 0 }
}

fn refuse(promised: Ballot) -> Vote {
    let register = Register { key: KEY.into(), promised, ..Default::default() };
    Vote { granted: false, register: Some(register), membership: None, recovery_epoch: 0 }
}

fn ballot(n: u64, node: u64, seq: u64) -> Ballot {
    Ballot { n, node, seq }
}

/// An owner among three voters that completed `b"old"`, which only voter 2 had accepted before.
fn owner() -> Proposer {
    let (mut proposer, first) = Proposer::prepare(NODE_ID, KEY, scope(3), 4);
    assert!(matches!(first, Action::SendToSelf(Request::Prepare(_))));
    assert_eq!(
        proposer.on_vote(1, NODE_ID, Some(&grant(Ballot::default(), b""))),
        Action::Broadcast
    );
    let completion = proposer.on_vote(1, 2, Some(&grant(ballot(4, 2, 7), b"old")));
    let Action::SendToSelf(Request::Accept(accept)) = completion else { panic!("{completion:?}") };
    assert_eq!((accept.value.as_ref(), accept.ballot), (&b"old"[..], ballot(5, 1, 1)));
    assert_eq!(
        proposer.on_vote(2, NODE_ID, Some(&grant(Ballot::default(), b""))),
        Action::Broadcast
    );
    assert_eq!(proposer.on_vote(2, 2, Some(&grant(Ballot::default(), b""))), Action::Chosen);
    proposer
}

#[test]
fn highest_accepted_value_is_completed_before_the_key_is_owned() {
    let mut proposer = owner();
    assert!(proposer.is_owner());
    assert_eq!(proposer.value().as_ref(), b"old");
    let Action::SendToSelf(Request::Accept(accept)) =
        proposer.propose(bytes::Bytes::from_static(b"new"))
    else {
        panic!("no accept request");
    };
    assert_eq!(
        (accept.value.as_ref(), accept.ballot, accept.same_value_as),
        (&b"new"[..], ballot(5, 1, 2), None)
    );
}

#[test]
fn voter_that_holds_the_value_is_sent_only_its_ballot() {
    let mut proposer = owner();
    proposer.confirm();
    let Request::Accept(to_holder) = proposer.request_for(2) else { panic!("no accept request") };
    assert_eq!(to_holder.same_value_as, Some(ballot(5, 1, 1)));
    assert!(to_holder.value.is_empty());
    let Request::Accept(to_other) = proposer.request_for(3) else { panic!("no accept request") };
    assert_eq!((to_other.same_value_as, to_other.value.as_ref()), (None, &b"old"[..]));
}

#[test]
fn nothing_is_broadcast_without_the_local_vote() {
    let (mut proposer, _) = Proposer::prepare(NODE_ID, KEY, scope(3), 0);
    assert_eq!(proposer.on_vote(1, NODE_ID, None), Action::Failed(ProposalError::NoLocalVote));
    assert_eq!(proposer.on_vote(1, 2, Some(&grant(Ballot::default(), b""))), Action::Wait);
}

#[test]
fn refusals_report_the_highest_promised_ballot() {
    let (mut proposer, _) = Proposer::prepare(NODE_ID, KEY, scope(3), 0);
    proposer.on_vote(1, NODE_ID, Some(&grant(Ballot::default(), b"")));
    assert_eq!(proposer.on_vote(1, 2, Some(&refuse(ballot(9, 2, 0)))), Action::Wait);
    let lost = proposer.on_vote(1, 3, Some(&refuse(ballot(8, 3, 0))));
    assert_eq!(lost, Action::Failed(ProposalError::Preempted(ballot(9, 2, 0))));
}

#[test]
fn duplicate_votes_and_votes_of_other_rounds_do_not_count() {
    let (mut proposer, _) = Proposer::prepare(NODE_ID, KEY, scope(5), 0);
    proposer.on_vote(1, NODE_ID, Some(&grant(Ballot::default(), b"")));
    assert_eq!(proposer.on_vote(1, 2, Some(&grant(Ballot::default(), b""))), Action::Wait);
    assert_eq!(proposer.on_vote(1, 2, Some(&grant(Ballot::default(), b""))), Action::Wait);
    assert!(matches!(
        proposer.on_vote(1, 3, Some(&grant(Ballot::default(), b""))),
        Action::SendToSelf(_)
    ));
    assert_eq!(proposer.on_vote(1, 4, Some(&grant(Ballot::default(), b""))), Action::Wait);
    assert!(!proposer.is_owner());
}
