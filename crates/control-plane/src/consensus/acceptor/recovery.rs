//! Recovery epochs, and how a member that lost its disk becomes a voter again.

use super::{Acceptor, RECOVERY_EPOCH, Step, empty_register};
use crate::storage::format::Record;
use fleet_core::wire::{Ballot, BallotReport, Register};

impl Acceptor {
    /// The latest recovery epoch that this node knows of; it votes in no earlier one.
    pub fn recovery_epoch(&self) -> u64 {
        self.recovery_epoch
    }

    /// Goes to a later recovery epoch; what it votes from now on is of that.
    pub fn advance(&mut self, recovery_epoch: u64) -> Option<Record> {
        if recovery_epoch <= self.recovery_epoch {
            return None;
        }
        self.recovery_epoch = recovery_epoch;
        Some(self.record(vec![self.recovery_epoch_register()]))
    }

    /// All ballots that are held here, for a member that reads its state back; from now on in its
    /// recovery epoch. The values follow by key.
    pub fn begin_state_transfer(&mut self, recovery_epoch: u64) -> Step<BallotReport> {
        let record = self.advance(recovery_epoch).unwrap_or_else(|| self.barrier());
        Step { record, answer: self.read_ballots(false).answer }
    }

    /// Takes in what a majority of the membership in force gave, all in the new recovery epoch and with the
    /// values that were fetched for its ballots: then it votes.
    ///
    /// Nothing that was held before counts: an accepted value that was never chosen may have the higher ballot.
    pub fn recover(&mut self, recovery_epoch: u64, reports: &[BallotReport]) -> Option<Record> {
        let epoch = self.membership.epoch;
        let counts = |report: &&BallotReport| {
            report.votes_in(epoch) && report.recovery_epoch >= recovery_epoch
        };
        let counted: Vec<&BallotReport> = reports.iter().filter(counts).collect();
        if self.voting || !self.is_member() || counted.len() < self.membership.majority() {
            return None;
        }
        let latest = reports.iter().map(|report| report.recovery_epoch).max().unwrap_or(0);
        self.recovery_epoch = self.recovery_epoch.max(latest);
        self.registers.clear();
        for register in counted.iter().flat_map(|report| &report.registers) {
            self.merge(register);
        }
        self.voting = true;
        let mut all: Vec<Register> = self.registers.values().cloned().collect();
        all.push(self.recovery_epoch_register());
        all.push(self.membership_register());
        Some(Record { reset: true, ..self.record(all) })
    }

    /// Keeps the highest promise and the highest accepted value of a key.
    fn merge(&mut self, other: &Register) {
        let own =
            self.registers.entry(other.key.clone()).or_insert_with(|| empty_register(&other.key));
        own.promised = own.promised.max(other.promised);
        if other.accepted > own.accepted {
            own.accepted = other.accepted;
            own.value = other.value.clone();
        }
    }

    pub(super) fn recovery_epoch_register(&self) -> Register {
        Register {
            key: RECOVERY_EPOCH.to_owned(),
            promised: Ballot { n: self.recovery_epoch, ..Default::default() },
            ..Default::default()
        }
    }
}
