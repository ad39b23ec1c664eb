//! Counting the votes of one round.

use fleet_core::wire::{Ballot, Register, Vote};

/// How a round stands.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum Verdict {
    /// votes that could decide it are still out
    Open,
    /// a quorum said yes
    Won,
    /// no quorum can say yes any more
    Lost,
}

/// The votes of one prepare or accept round.
#[derive(Debug, Clone)]
pub struct Round {
    voters: usize,
    yes: std::collections::BTreeMap<u64, Ballot>,
    no: std::collections::BTreeSet<u64>,
    best: Option<Register>,
    highest: Ballot,
    recovery_epoch: u64,
}

impl Round {
    /// A round among this many voters.
    pub fn new(voters: usize) -> Self {
        Round {
            voters,
            yes: std::collections::BTreeMap::new(),
            no: std::collections::BTreeSet::new(),
            best: None,
            highest: Ballot::default(),
            recovery_epoch: 0,
        }
    }

    fn quorum(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Counts a vote once; `None` is a voter that did not answer.
    pub fn vote(&mut self, from: u64, vote: Option<&Vote>) -> Verdict {
        self.recovery_epoch = self.recovery_epoch.max(vote.map_or(0, |v| v.recovery_epoch));
        match vote {
            Some(v) if v.ok => self.count_yes(from, v),
            _ => self.count_no(from, vote),
        }
        self.verdict()
    }

    fn count_yes(&mut self, from: u64, vote: &Vote) {
        let accepted = vote.register.as_ref().map(|r| r.accepted).unwrap_or_default();
        self.yes.insert(from, accepted);
        let Some(register) = &vote.register else { return };
        let better = self.best.as_ref().is_none_or(|b| accepted > b.accepted);
        if accepted != Ballot::default() && better {
            self.best = Some(register.clone());
        }
    }

    fn count_no(&mut self, from: u64, vote: Option<&Vote>) {
        if let Some(register) = vote.and_then(|v| v.register.as_ref()) {
            self.highest = self.highest.max(register.promised);
        }
        self.no.insert(from);
    }

    /// How the round stands now.
    pub fn verdict(&self) -> Verdict {
        if self.yes.len() >= self.quorum() {
            return Verdict::Won;
        }
        if self.voters.saturating_sub(self.no.len()) < self.quorum() {
            return Verdict::Lost;
        }
        Verdict::Open
    }

    /// Highest ballot promised by those who refused.
    pub fn highest(&self) -> Ballot {
        self.highest
    }

    /// Latest recovery epoch that a voter is in.
    pub fn recovery_epoch(&self) -> u64 {
        self.recovery_epoch
    }

    /// Last accepted ballot of each voter that said yes to a prepare.
    pub fn accepted(&self) -> std::collections::BTreeMap<u64, Ballot> {
        self.yes.clone()
    }

    /// Those who said yes.
    pub fn voters_for(&self) -> impl Iterator<Item = u64> {
        self.yes.keys().copied()
    }

    /// The register that was accepted under the highest ballot among those who promised.
    pub fn into_best(self) -> Option<Register> {
        self.best
    }
}
