//! Which membership a voter follows.

use super::{Acceptor, MEMBERSHIP_IN_FORCE};
use crate::storage::format::Record;
use fleet_core::wire::{Member, Membership, Register};
use prost::Message;

impl Acceptor {
    /// The membership that this member follows; epoch 0 where it knows none.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether this node is one of the voters.
    pub fn is_member(&self) -> bool {
        self.membership.members.iter().any(|member| self.is_own(member))
    }

    fn is_own(&self, member: &Member) -> bool {
        member.id() == Some(self.own)
    }

    /// A lease counts only with grants of one membership, like a vote.
    pub fn may_grant(&self, membership: u64) -> bool {
        self.votes() && membership == self.membership.epoch
    }

    /// Takes in a membership that was chosen: it differs from the one before in one member at the most. A node that
    /// was not a member all the time since the one known here, though only in between, goes on as with an empty disk.
    pub fn adopt(&mut self, membership: &Membership) -> Option<Record> {
        if membership.epoch <= self.membership.epoch {
            return None;
        }
        let previous = self.membership.epoch;
        self.membership = membership.clone();
        let has_stayed = |member: &Member| self.is_own(member) && member.joined_epoch <= previous;
        let stayed = membership.members.iter().any(has_stayed);
        let mut registers = vec![self.membership_register()];
        if !stayed {
            self.forget();
            registers.push(self.recovery_epoch_register());
        }
        Some(Record { reset: !stayed, ..self.record(registers) })
    }

    /// The first start of all, on empty disks.
    pub fn bootstrap(&mut self, membership: &Membership) -> Option<Record> {
        if self.membership.epoch != 0 || !self.registers.is_empty() {
            return None;
        }
        let record = self.adopt(membership)?;
        self.voting = true;
        Some(Record { voting: true, ..record })
    }

    /// What was held under a membership that this one has left must never be voted with again.
    pub(super) fn forget(&mut self) {
        self.voting = false;
        self.registers.clear();
    }

    pub(super) fn membership_register(&self) -> Register {
        Register {
            key: MEMBERSHIP_IN_FORCE.to_owned(),
            value: self.membership.encode_to_vec().into(),
            ..Default::default()
        }
    }
}
