//! Counts the votes of one Paxos round.

use fleet_core::wire::{Ballot, Register, Vote};

/// Whether a round has a quorum.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum RoundStatus {
    /// neither a quorum of votes nor too many refusals yet
    Pending,
    /// a quorum voted for the request
    Won,
    /// too many voters refused or did not answer for a quorum to be possible
    Lost,
}

/// The votes of one prepare or accept round.
#[derive(Debug, Clone)]
pub struct Round {
    voters: usize,
    granted: std::collections::BTreeMap<u64, Ballot>,
    refused: std::collections::BTreeSet<u64>,
    highest_accepted: Option<Register>,
    highest_promised: Ballot,
    recovery_epoch: u64,
}

impl Round {
    /// Starts a round with this number of voters.
    pub fn new(voters: usize) -> Self {
        Round {
            voters,
            granted: std::collections::BTreeMap::new(),
            refused: std::collections::BTreeSet::new(),
            highest_accepted: None,
            highest_promised: Ballot::default(),
            recovery_epoch: 0,
        }
    }

    fn quorum(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Counts the vote of a voter, which counts once however often it arrives. `None` stands for a voter that did not
    /// answer.
    pub fn vote(&mut self, from: u64, vote: Option<&Vote>) -> RoundStatus {
        self.recovery_epoch = self.recovery_epoch.max(vote.map_or(0, |v| v.recovery_epoch));
        match vote {
            Some(v) if v.granted => self.count_grant(from, v),
            _ => self.count_refusal(from, vote),
        }
        self.status()
    }

    fn count_grant(&mut self, from: u64, vote: &Vote) {
        let accepted = vote.register.as_ref().map(|r| r.accepted).unwrap_or_default();
        self.granted.insert(from, accepted);
        let Some(register) = &vote.register else { return };
        let is_higher =
            self.highest_accepted.as_ref().is_none_or(|known| accepted > known.accepted);
        if accepted != Ballot::default() && is_higher {
            self.highest_accepted = Some(register.clone());
        }
    }

    fn count_refusal(&mut self, from: u64, vote: Option<&Vote>) {
        if let Some(register) = vote.and_then(|v| v.register.as_ref()) {
            self.highest_promised = self.highest_promised.max(register.promised);
        }
        self.refused.insert(from);
    }

    /// Status of the round after the votes counted so far.
    pub fn status(&self) -> RoundStatus {
        if self.granted.len() >= self.quorum() {
            return RoundStatus::Won;
        }
        if self.voters.saturating_sub(self.refused.len()) < self.quorum() {
            return RoundStatus::Lost;
        }
        RoundStatus::Pending
    }

    /// Highest ballot that a refusing voter has promised to another proposer; the default ballot if none is known.
    pub fn highest_promised(&self) -> Ballot {
        self.highest_promised
    }

    /// Latest recovery epoch among the voters that answered.
    pub fn recovery_epoch(&self) -> u64 {
        self.recovery_epoch
    }

    /// Last accepted ballot of each voter that granted a prepare request.
    pub fn accepted_ballots(&self) -> std::collections::BTreeMap<u64, Ballot> {
        self.granted.clone()
    }

    /// The voters that granted the request.
    pub fn granting_voters(&self) -> impl Iterator<Item = u64> {
        self.granted.keys().copied()
    }

    /// The register with the highest accepted ballot among the voters that promised; `None` if none of them has
    /// accepted anything.
    pub fn into_highest_accepted(self) -> Option<Register> {
        self.highest_accepted
    }
}
