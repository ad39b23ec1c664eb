//! The Paxos proposer of a register, as a pure state machine: it takes votes and returns the next action.
//!
//! A proposer prepares a ballot with a quorum, completes the accepted value with the highest ballot, and then owns the
//! key: each further value takes one accept round under the same epoch, with the next sequence number. The local
//! acceptor is always asked first, so that a value is on the owner's disk before any other voter sees it
//! (docs/control-safety.md explains why). The proposer uses no I/O, clock or task: `super::round_driver` drives it in
//! the program, and the schedule tests and the exhaustive search drive it as well.

use super::round::{Round, RoundStatus};
use fleet_core::wire::{Accept, Ballot, Prepare, Vote};

/// The membership and recovery epoch that the votes of a proposer must belong to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// Epoch of the membership whose voters are asked.
    pub membership_epoch: u64,
    /// Recovery epoch of the proposer's node when it prepared.
    pub recovery_epoch: u64,
    /// Number of voters in that membership.
    pub voters: usize,
}

/// A request to a voter.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Promise to accept nothing under a lower epoch, and report the accepted value.
    Prepare(Prepare),
    /// Accept a value under a promised ballot.
    Accept(Accept),
}

/// What the driver of a proposer must do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Pass this request to the local acceptor, wait until its record is durable, and report the vote.
    SendToSelf(Request),
    /// Send each other voter its [`Proposer::request_for`] and report the votes.
    Broadcast,
    /// Wait for the next vote.
    Wait,
    /// [`Proposer::value`] is chosen under [`Proposer::ballot`], and the proposer owns the key.
    Chosen,
    /// The proposer has failed and does nothing more.
    Failed(ProposalError),
}

/// Why a proposal ended before its value was known to be chosen. The value may have been chosen nevertheless.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ProposalError {
    /// no quorum voted for the proposal in time
    NoQuorum,
    /// preempted by a voter that has promised the higher ballot {0:?}
    Preempted(Ballot),
    /// the local acceptor did not vote for the proposal
    NoLocalVote,
    /// the current owner of the key has not timed out
    OwnerActive,
}

#[derive(Debug, Clone)]
enum Phase {
    Preparing(Round),
    Accepting(Round),
    Owning,
    Ended,
}

/// One node's attempt to own one key, and its ownership from then on.
#[derive(Debug, Clone)]
pub struct Proposer {
    node_id: u64,
    key: String,
    scope: Scope,
    ballot: Ballot,
    value: bytes::Bytes,
    /// Set while `value` is accepted again: the ballot under which some voters already hold it.
    source_ballot: Option<Ballot>,
    /// The last ballot that each voter is known to have accepted.
    accepted_ballots: std::collections::BTreeMap<u64, Ballot>,
    phase: Phase,
    round_number: u64,
    /// Accepted ballot of the local acceptor: other voters omit values that are not newer.
    proposer_accepted: Ballot,
}

impl Proposer {
    /// Starts to prepare a ballot with the epoch that follows `highest_epoch`.
    pub fn prepare(
        node_id: u64,
        key: &str,
        scope: Scope,
        highest_epoch: u64,
    ) -> (Proposer, Action) {
        let ballot = Ballot { n: highest_epoch + 1, node: node_id, seq: 0 };
        let proposer = Proposer {
            node_id,
            key: key.to_owned(),
            scope,
            ballot,
            value: bytes::Bytes::new(),
            source_ballot: None,
            accepted_ballots: std::collections::BTreeMap::new(),
            phase: Phase::Preparing(Round::new(scope.voters)),
            round_number: 1,
            proposer_accepted: Ballot::default(),
        };
        let request = proposer.prepare_request();
        (proposer, Action::SendToSelf(Request::Prepare(request)))
    }

    fn prepare_request(&self) -> Prepare {
        Prepare {
            key: self.key.clone(),
            membership: self.scope.membership_epoch,
            ballot: self.ballot,
            recovery_epoch: self.scope.recovery_epoch,
            proposer_accepted: self.proposer_accepted,
        }
    }

    /// The membership and recovery epoch in which its votes count.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// Ballot of the current round, or of the last one.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Value of the current round, or the last one chosen; empty while the proposer prepares.
    pub fn value(&self) -> &bytes::Bytes {
        &self.value
    }

    /// Number of the current round. Votes of other rounds are ignored.
    pub fn round_number(&self) -> u64 {
        self.round_number
    }

    /// Whether the key is owned and no round is in progress.
    pub fn is_owner(&self) -> bool {
        matches!(self.phase, Phase::Owning)
    }

    /// Latest recovery epoch among the voters that answered in the current round.
    pub fn latest_recovery_epoch(&self) -> u64 {
        match &self.phase {
            Phase::Preparing(r) | Phase::Accepting(r) => r.recovery_epoch(),
            Phase::Owning | Phase::Ended => self.scope.recovery_epoch,
        }
    }

    /// Starts a round for a new value. Fails unless the key is owned and no round is in progress.
    pub fn propose(&mut self, value: bytes::Bytes) -> Action {
        if !self.is_owner() {
            return Action::Failed(ProposalError::NoQuorum);
        }
        self.accept(value, None)
    }

    /// Starts a round in which the voters accept the current value again, which proves that it is still current. Fails
    /// unless the key is owned and no round is in progress.
    pub fn confirm(&mut self) -> Action {
        if !self.is_owner() {
            return Action::Failed(ProposalError::NoQuorum);
        }
        self.accept(self.value.clone(), Some(self.ballot))
    }

    fn accept(&mut self, value: bytes::Bytes, source_ballot: Option<Ballot>) -> Action {
        self.ballot.seq += 1;
        self.value = value;
        self.source_ballot = source_ballot;
        self.round_number += 1;
        self.phase = Phase::Accepting(Round::new(self.scope.voters));
        Action::SendToSelf(Request::Accept(self.accept_request(None)))
    }

    fn accept_request(&self, same_value_as: Option<Ballot>) -> Accept {
        let value = if same_value_as.is_some() { bytes::Bytes::new() } else { self.value.clone() };
        Accept {
            key: self.key.clone(),
            membership: self.scope.membership_epoch,
            ballot: self.ballot,
            value,
            recovery_epoch: self.scope.recovery_epoch,
            same_value_as,
        }
    }

    /// The request of the current round for another voter; without the value if that voter is known to hold it.
    pub fn request_for(&self, voter: u64) -> Request {
        if let Phase::Preparing(_) = self.phase {
            return Request::Prepare(self.prepare_request());
        }
        let same_value_as =
            self.source_ballot.filter(|ballot| self.accepted_ballots.get(&voter) == Some(ballot));
        Request::Accept(self.accept_request(same_value_as))
    }

    /// Counts a vote of round `round_number`; `None` stands for a voter that did not answer.
    pub fn on_vote(&mut self, round_number: u64, from: u64, vote: Option<&Vote>) -> Action {
        if round_number != self.round_number {
            return Action::Wait;
        }
        let (Phase::Preparing(round) | Phase::Accepting(round)) = &mut self.phase else {
            return Action::Wait;
        };
        let status = round.vote(from, vote);
        if from == self.node_id && !vote.is_some_and(|v| v.granted) {
            return self.fail(ProposalError::NoLocalVote);
        }
        if let (true, Some(register)) =
            (from == self.node_id, vote.and_then(|v| v.register.as_ref()))
        {
            self.proposer_accepted = register.accepted;
        }
        match status {
            RoundStatus::Pending if from == self.node_id => Action::Broadcast,
            RoundStatus::Pending => Action::Wait,
            RoundStatus::Lost => self.fail(ProposalError::NoQuorum),
            RoundStatus::Won => self.on_round_won(),
        }
    }

    /// Ends the current round without a quorum: no more votes will arrive.
    pub fn on_end_of_votes(&mut self) -> Action {
        self.fail(ProposalError::NoQuorum)
    }

    fn fail(&mut self, error: ProposalError) -> Action {
        let highest_promised = match &self.phase {
            Phase::Preparing(r) | Phase::Accepting(r) => r.highest_promised(),
            Phase::Owning | Phase::Ended => Ballot::default(),
        };
        self.phase = Phase::Ended;
        if highest_promised.epoch() > self.ballot.epoch() {
            return Action::Failed(ProposalError::Preempted(highest_promised));
        }
        Action::Failed(error)
    }

    fn on_round_won(&mut self) -> Action {
        match std::mem::replace(&mut self.phase, Phase::Ended) {
            Phase::Preparing(round) => {
                self.accepted_ballots = round.accepted_ballots();
                let highest_accepted = round.into_highest_accepted();
                let source_ballot = highest_accepted.as_ref().map(|r| r.accepted);
                self.accept(highest_accepted.map(|r| r.value).unwrap_or_default(), source_ballot)
            }
            Phase::Accepting(round) => {
                self.accepted_ballots =
                    round.granting_voters().map(|voter| (voter, self.ballot)).collect();
                self.phase = Phase::Owning;
                Action::Chosen
            }
            Phase::Owning | Phase::Ended => Action::Wait,
        }
    }
}

#[cfg(test)]
#[path = "proposer_tests.rs"]
mod tests;
