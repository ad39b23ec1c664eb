//! The proposing side of a register, as a pure state machine: votes go in, what to do next comes out.
//!
//! A proposer prepares a ballot with a quorum, completes the highest value that it finds accepted, and then
//! owns the key: every further value is one accept round under the same ballot, with a rising sequence
//! number. The own acceptor is always asked first, so that a value is on the owner's disk before any other
//! voter sees it (docs/control-safety.md says why that is needed). There is no I/O, clock or task in here;
//! `super::rounds` drives it in the program, the schedule tests and the exhaustive search drive it too.

use super::round::{Round, Verdict};
use fleet_core::wire::{Accept, Ballot, Prepare, Vote};

/// Where votes count together: one membership, one recovery epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scope {
    /// Epoch of the membership whose voters are asked.
    pub membership: u64,
    /// Recovery epoch of the proposer when it began.
    pub recovery_epoch: u64,
    /// Number of voters in that membership.
    pub voters: usize,
}

/// What a voter is asked.
#[derive(Debug, Clone, PartialEq)]
pub enum Request {
    /// Promise to take part in no lower ballot, and tell what was accepted.
    Prepare(Prepare),
    /// Accept a value under a promised ballot.
    Accept(Accept),
}

/// What the driver has to do next.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Give this to the own acceptor, wait until its record is on disk, and hand the vote back.
    SendToSelf(Request),
    /// Send each other voter its [`Proposer::request_for`] and hand the votes back.
    Broadcast,
    /// Nothing until the next vote.
    Wait,
    /// [`Proposer::value`] is chosen under [`Proposer::ballot`]; the key is owned.
    Chosen,
    /// The proposal is over.
    Failed(ProposalError),
}

/// Why a proposal ended without its value being known to be chosen. The value may be chosen all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ProposalError {
    /// no quorum of votes in time
    NoQuorum,
    /// a voter has promised the higher ballot {0:?}
    Preempted(Ballot),
    /// the own acceptor gives no vote
    NoOwnVote,
    /// voters still follow an owner that makes progress
    OwnerActive,
}

#[derive(Debug, Clone)]
enum Phase {
    Preparing(Round),
    Accepting(Round),
    Owning,
    Over,
}

/// One node's attempt to own one key, and its ownership from then on.
#[derive(Debug, Clone)]
pub struct Proposer {
    own: u64,
    key: String,
    scope: Scope,
    ballot: Ballot,
    value: bytes::Bytes,
    /// ballot under which `value` is already held by some voters, while it is accepted anew
    source: Option<Ballot>,
    /// what each voter is known to have accepted last
    accepted_ballots: std::collections::BTreeMap<u64, Ballot>,
    phase: Phase,
    step: u64,
    /// accepted ballot of the own acceptor: other voters leave out values that are not newer
    own_accepted: Ballot,
}

impl Proposer {
    /// Begins to prepare a ballot above `above`.
    pub fn prepare(own: u64, key: &str, scope: Scope, above: u64) -> (Proposer, Action) {
        let ballot = Ballot { n: above + 1, node: own, seq: 0 };
        let proposer = Proposer {
            own,
            key: key.to_owned(),
            scope,
            ballot,
            value: bytes::Bytes::new(),
            source: None,
            accepted_ballots: std::collections::BTreeMap::new(),
            phase: Phase::Preparing(Round::new(scope.voters)),
            step: 1,
            own_accepted: Ballot::default(),
        };
        let request = proposer.prepare_request();
        (proposer, Action::SendToSelf(Request::Prepare(request)))
    }

    fn prepare_request(&self) -> Prepare {
        Prepare {
            key: self.key.clone(),
            membership: self.scope.membership,
            ballot: self.ballot,
            recovery_epoch: self.scope.recovery_epoch,
            own_accepted: self.own_accepted,
        }
    }

    /// Where its votes count.
    pub fn scope(&self) -> Scope {
        self.scope
    }

    /// Ballot of the round under way, or of the last one.
    pub fn ballot(&self) -> Ballot {
        self.ballot
    }

    /// Value of the round under way, or the last one chosen.
    pub fn value(&self) -> &bytes::Bytes {
        &self.value
    }

    /// Number of the round under way; votes of other rounds are dropped.
    pub fn step(&self) -> u64 {
        self.step
    }

    /// Whether the key is owned and no round is under way.
    pub fn is_owner(&self) -> bool {
        matches!(self.phase, Phase::Owning)
    }

    /// Latest recovery epoch among the voters that answered in this round.
    pub fn latest_recovery_epoch(&self) -> u64 {
        match &self.phase {
            Phase::Preparing(r) | Phase::Accepting(r) => r.recovery_epoch(),
            Phase::Owning | Phase::Over => self.scope.recovery_epoch,
        }
    }

    /// Begins the round of a new value. Only while the key is owned.
    pub fn propose(&mut self, value: bytes::Bytes) -> Action {
        if !self.is_owner() {
            return Action::Failed(ProposalError::NoQuorum);
        }
        self.accept(value, None)
    }

    /// Begins a round that has the present value accepted anew, which proves that it is current.
    pub fn confirm(&mut self) -> Action {
        if !self.is_owner() {
            return Action::Failed(ProposalError::NoQuorum);
        }
        self.accept(self.value.clone(), Some(self.ballot))
    }

    fn accept(&mut self, value: bytes::Bytes, source: Option<Ballot>) -> Action {
        self.ballot.seq += 1;
        self.value = value;
        self.source = source;
        self.step += 1;
        self.phase = Phase::Accepting(Round::new(self.scope.voters));
        Action::SendToSelf(Request::Accept(self.accept_request(None)))
    }

    fn accept_request(&self, same_as: Option<Ballot>) -> Accept {
        let value = if same_as.is_some() { bytes::Bytes::new() } else { self.value.clone() };
        Accept {
            key: self.key.clone(),
            membership: self.scope.membership,
            ballot: self.ballot,
            value,
            recovery_epoch: self.scope.recovery_epoch,
            same_as,
        }
    }

    /// The request of this round for another voter: without the value where it is known to hold it.
    pub fn request_for(&self, voter: u64) -> Request {
        if let Phase::Preparing(_) = self.phase {
            return Request::Prepare(self.prepare_request());
        }
        let same_as = self.source.filter(|s| self.accepted_ballots.get(&voter) == Some(s));
        Request::Accept(self.accept_request(same_as))
    }

    /// Counts a vote of round `step`; `None` is a voter that did not answer.
    pub fn on_vote(&mut self, step: u64, from: u64, vote: Option<&Vote>) -> Action {
        if step != self.step {
            return Action::Wait;
        }
        let (Phase::Preparing(round) | Phase::Accepting(round)) = &mut self.phase else {
            return Action::Wait;
        };
        let verdict = round.vote(from, vote);
        if from == self.own && !vote.is_some_and(|v| v.ok) {
            return self.fail(ProposalError::NoOwnVote);
        }
        if let (true, Some(register)) = (from == self.own, vote.and_then(|v| v.register.as_ref())) {
            self.own_accepted = register.accepted;
        }
        match verdict {
            Verdict::Open if from == self.own => Action::Broadcast,
            Verdict::Open => Action::Wait,
            Verdict::Lost => self.fail(ProposalError::NoQuorum),
            Verdict::Won => self.won(),
        }
    }

    /// No more votes come in this round.
    pub fn on_end_of_votes(&mut self) -> Action {
        self.fail(ProposalError::NoQuorum)
    }

    fn fail(&mut self, error: ProposalError) -> Action {
        let highest = match &self.phase {
            Phase::Preparing(r) | Phase::Accepting(r) => r.highest(),
            Phase::Owning | Phase::Over => Ballot::default(),
        };
        self.phase = Phase::Over;
        if highest.epoch() > self.ballot.epoch() {
            return Action::Failed(ProposalError::Preempted(highest));
        }
        Action::Failed(error)
    }

    fn won(&mut self) -> Action {
        match std::mem::replace(&mut self.phase, Phase::Over) {
            Phase::Preparing(round) => {
                self.accepted_ballots = round.accepted();
                let best = round.into_best();
                let source = best.as_ref().map(|r| r.accepted);
                self.accept(best.map(|r| r.value).unwrap_or_default(), source)
            }
            Phase::Accepting(round) => {
                self.accepted_ballots =
                    round.voters_for().map(|voter| (voter, self.ballot)).collect();
                self.phase = Phase::Owning;
                Action::Chosen
            }
            Phase::Owning | Phase::Over => Action::Wait,
        }
    }
}

#[cfg(test)]
#[path = "proposer_tests.rs"]
mod tests;
