//! Recovery epochs, and how a member that lost its disk regains its vote.

use super::{Acceptor, STORED_RECOVERY_EPOCH_KEY, Step, empty_register};
use crate::storage::format::Record;
use fleet_core::wire::{Ballot, BallotReport, Register};

impl Acceptor {
    /// The latest recovery epoch known to this node. It gives no votes in an earlier one.
    pub fn recovery_epoch(&self) -> u64 {
        self.recovery_epoch
    }

    /// Moves to a later recovery epoch, to which all further votes belong. Returns `None` if it is not later.
    pub fn advance_recovery_epoch(&mut self, recovery_epoch: u64) -> Option<Record> {
        if recovery_epoch <= self.recovery_epoch {
            return None;
        }
        self.recovery_epoch = recovery_epoch;
        Some(self.record(vec![self.recovery_epoch_register()]))
    }

    /// Moves to the recovery epoch of a recovering member and reports all ballots held here. The member then fetches
    /// the values key by key.
    pub fn begin_state_transfer(&mut self, recovery_epoch: u64) -> Step<BallotReport> {
        let record = self.advance_recovery_epoch(recovery_epoch).unwrap_or_else(|| self.barrier());
        Step { record, answer: self.read_ballots(false).answer }
    }

    /// Restores the registers from the reports of a majority of the current membership, and votes from then on. Only
    /// reports given in this recovery epoch or a later one count; they carry the values fetched for their ballots.
    /// Returns `None` if this node votes already, is no member, or has too few valid reports.
    ///
    /// Registers held before are discarded: a value that was accepted but never chosen may have the higher ballot.
    pub fn recover(&mut self, recovery_epoch: u64, reports: &[BallotReport]) -> Option<Record> {
        let epoch = self.membership.epoch;
        let is_valid = |report: &&BallotReport| {
            report.votes_in(epoch) && report.recovery_epoch >= recovery_epoch
        };
        let valid_reports: Vec<&BallotReport> = reports.iter().filter(is_valid).collect();
        if self.voting || !self.is_member() || valid_reports.len() < self.membership.majority() {
            return None;
        }
        let latest = reports.iter().map(|report| report.recovery_epoch).max().unwrap_or(0);
        self.recovery_epoch = self.recovery_epoch.max(latest);
        self.registers.clear();
        for register in valid_reports.iter().flat_map(|report| &report.registers) {
            self.merge(register);
        }
        self.voting = true;
        let mut registers: Vec<Register> = self.registers.values().cloned().collect();
        registers.push(self.recovery_epoch_register());
        registers.push(self.membership_register());
        Some(Record { reset: true, ..self.record(registers) })
    }

    /// Keeps the highest promised ballot and the value with the highest accepted ballot of a key.
    fn merge(&mut self, other: &Register) {
        let merged =
            self.registers.entry(other.key.clone()).or_insert_with(|| empty_register(&other.key));
        merged.promised = merged.promised.max(other.promised);
        if other.accepted > merged.accepted {
            merged.accepted = other.accepted;
            merged.value = other.value.clone();
        }
    }

    pub(super) fn recovery_epoch_register(&self) -> Register {
        Register {
            key: STORED_RECOVERY_EPOCH_KEY.to_owned(),
            promised: Ballot { n: self.recovery_epoch, ..Default::default() },
            ..Default::default()
        }
    }
}
