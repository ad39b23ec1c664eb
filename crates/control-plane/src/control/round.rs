//! Counting the votes of one phase.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use fleet_core::wire::{Ballot, Register, Vote};

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum Verdict {
    Open,
    Won,
    /// somebody has gone above
    Lost,
}

pub struct Round {
    quorum: usize,
    members: usize,
    yes: hashbrown::HashSet<u64>,
    no: hashbrown::HashSet<u64>,
    /// accepted highest among those who promised
    pub best: Option<Register>,
    /// epoch to go above next time
    pub highest: u64,
    /// latest recovery_epoch that a voter is in
    pub recovery_epoch: u64,
}

impl Round {
    pub fn new(members: usize) -> Self {
        Round {
            quorum: members / 2 + 1,
            members,
            yes: hashbrown::HashSet::new(),
            no: hashbrown::HashSet::new(),
            best: None,
            highest: 0,
            recovery_epoch: 0,
        }
    }

    pub fn vote(&mut self, from: u64, vote: Option<&Vote>) -> Verdict {
        self.recovery_epoch = self.recovery_epoch.max(vote.map_or(0, |v| v.recovery_epoch));
        let Some(v) = vote.filter(|v| v.ok) else {
            if let Some(r) = vote.and_then(|v| v.register.as_ref()) {
                self.highest = self.highest.max(r.promised.n);
            }
            self.no.insert(from);
            return self.verdict();
        };
        self.yes.insert(from);
        if let Some(r) = &v.register {
            let better = self.best.as_ref().is_none_or(|b| r.accepted > b.accepted);
            if r.accepted != Ballot::default() && better {
                self.best = Some(r.clone());
            }
        }
        self.verdict()
    }

    pub fn verdict(&self) -> Verdict {
        if self.yes.len() >= self.quorum {
            return Verdict::Won;
        }
        if self.members - self.no.len() < self.quorum {
            return Verdict::Lost;
        }
        Verdict::Open
    }

    pub fn any_refused(&self) -> bool {
        !self.no.is_empty()
    }
}
