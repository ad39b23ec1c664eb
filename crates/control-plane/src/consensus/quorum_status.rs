//! What the voters of one membership hold, as they answered one round of questions.

use fleet_core::wire::{Ballot, BallotReport, Membership};
use std::collections::BTreeMap;

/// Whether a key's newest value is known to be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStatus {
    /// a quorum has accepted under just this ballot
    Chosen(Ballot),
    /// the highest ballot that a voter has accepted under; a round may be under way
    Open(Ballot),
}

/// Answers of voters to [`fleet_core::wire::ReadBallots`]. They count only within the membership that was asked.
#[derive(Debug)]
pub struct QuorumStatus {
    membership: u64,
    voters: usize,
    accepted: BTreeMap<String, BTreeMap<u64, Ballot>>,
}

impl QuorumStatus {
    /// A round of questions to the voters of this membership.
    pub fn new(membership: &Membership) -> QuorumStatus {
        QuorumStatus {
            membership: membership.epoch,
            voters: membership.members.len(),
            accepted: BTreeMap::new(),
        }
    }

    fn quorum(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Counts an answer; false if it doesn't count: its sender has no vote, or has another membership.
    pub fn add(&mut self, voter: u64, answer: &BallotReport) -> bool {
        if !answer.votes_in(self.membership) {
            return false;
        }
        for register in &answer.registers {
            if register.accepted != Ballot::default() {
                let ballots = self.accepted.entry(register.key.clone()).or_default();
                ballots.insert(voter, register.accepted);
            }
        }
        true
    }

    /// Every key that a voter holds.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.accepted.keys().map(String::as_str)
    }

    /// How a key stands; none if no voter that answered holds it.
    pub fn key_status(&self, key: &str) -> Option<KeyStatus> {
        let top = self.accepted.get(key)?.values().max().copied()?;
        if self.count_at(key, top) >= self.quorum() {
            return Some(KeyStatus::Chosen(top));
        }
        Some(KeyStatus::Open(top))
    }

    /// Whether a quorum has accepted the key under just this ballot.
    pub fn has_quorum_at(&self, key: &str, ballot: Ballot) -> bool {
        self.count_at(key, ballot) >= self.quorum()
    }

    fn count_at(&self, key: &str, ballot: Ballot) -> usize {
        let Some(ballots) = self.accepted.get(key) else { return 0 };
        ballots.values().filter(|b| **b == ballot).count()
    }

    /// Whether this voter has accepted the key under just this ballot.
    pub fn is_accepted_by(&self, key: &str, voter: u64, ballot: Ballot) -> bool {
        self.accepted.get(key).is_some_and(|ballots| ballots.get(&voter) == Some(&ballot))
    }

    /// Whether every voter's ballot is known for some key, so that nothing more can come.
    pub fn is_complete(&self) -> bool {
        self.voters > 0 && self.accepted.values().any(|ballots| ballots.len() >= self.voters)
    }
}

#[cfg(test)]
#[path = "quorum_status_tests.rs"]
mod tests;
