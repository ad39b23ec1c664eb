//! What the voters of one membership have accepted, from the reports of one query.

use fleet_core::wire::{Ballot, BallotReport, Membership};
use std::collections::BTreeMap;

/// Whether a key's newest value is known to be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyStatus {
    /// a quorum has accepted exactly this ballot
    Chosen(Ballot),
    /// this is the highest accepted ballot, without a known quorum; a round may be in progress
    Pending(Ballot),
}

/// Answers of voters to [`fleet_core::wire::ReadBallots`]. Only answers given in the queried membership count.
#[derive(Debug)]
pub struct QuorumStatus {
    membership_epoch: u64,
    voters: usize,
    accepted: BTreeMap<String, BTreeMap<u64, Ballot>>,
}

impl QuorumStatus {
    /// Starts a query of the voters of this membership.
    pub fn new(membership: &Membership) -> QuorumStatus {
        QuorumStatus {
            membership_epoch: membership.epoch,
            voters: membership.members.len(),
            accepted: BTreeMap::new(),
        }
    }

    fn quorum(&self) -> usize {
        self.voters / 2 + 1
    }

    /// Adds the report of a voter. Returns false and ignores it if its sender can't vote or has another membership.
    pub fn add_report(&mut self, voter: u64, report: &BallotReport) -> bool {
        if !report.votes_in(self.membership_epoch) {
            return false;
        }
        for register in &report.registers {
            if register.accepted != Ballot::default() {
                let ballots = self.accepted.entry(register.key.clone()).or_default();
                ballots.insert(voter, register.accepted);
            }
        }
        true
    }

    /// All keys for which a voter has accepted a value.
    pub fn keys(&self) -> impl Iterator<Item = &str> {
        self.accepted.keys().map(String::as_str)
    }

    /// Status of a key; `None` if no voter that answered has accepted a value for it.
    pub fn key_status(&self, key: &str) -> Option<KeyStatus> {
        let highest = self.accepted.get(key)?.values().max().copied()?;
        if self.count_accepted_at(key, highest) >= self.quorum() {
            return Some(KeyStatus::Chosen(highest));
        }
        Some(KeyStatus::Pending(highest))
    }

    /// Whether a quorum has accepted exactly this ballot for the key.
    pub fn has_quorum_at(&self, key: &str, ballot: Ballot) -> bool {
        self.count_accepted_at(key, ballot) >= self.quorum()
    }

    fn count_accepted_at(&self, key: &str, ballot: Ballot) -> usize {
        let Some(ballots) = self.accepted.get(key) else { return 0 };
        ballots.values().filter(|accepted| **accepted == ballot).count()
    }

    /// Whether this voter has accepted exactly this ballot for the key.
    pub fn is_accepted_by(&self, key: &str, voter: u64, ballot: Ballot) -> bool {
        self.accepted.get(key).is_some_and(|ballots| ballots.get(&voter) == Some(&ballot))
    }

    /// Whether all voters have answered, which shows in a key for which every voter has reported a ballot.
    pub fn is_complete(&self) -> bool {
        self.voters > 0 && self.accepted.values().any(|ballots| ballots.len() >= self.voters)
    }
}

#[cfg(test)]
#[path = "quorum_status_tests.rs"]
mod tests;
