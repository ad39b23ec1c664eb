//! The membership that an acceptor votes in, and how it changes.

use super::{Acceptor, STORED_MEMBERSHIP_KEY};
use crate::storage::format::Record;
use fleet_core::wire::{Member, Membership, Register};
use prost::Message;

impl Acceptor {
    /// The latest membership known to be chosen; epoch 0 if none is known.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether this node is a voter of the current membership. It may still lack the state to vote with: see
    /// [`Acceptor::votes`].
    pub fn is_member(&self) -> bool {
        self.membership.members.iter().any(|member| self.is_this_node(member))
    }

    fn is_this_node(&self, member: &Member) -> bool {
        member.id() == Some(self.node_id)
    }

    /// Whether this node may grant a lease in the membership with this epoch. Like votes, grants count only within
    /// one membership.
    pub fn may_grant_lease(&self, membership_epoch: u64) -> bool {
        self.votes() && membership_epoch == self.membership.epoch
    }

    /// Switches to a later chosen membership; successive memberships differ in at most one member. A node that has not
    /// been a member continuously since the membership known here discards its registers, as if its disk were empty.
    /// Returns `None` if the membership is not later than the current one.
    pub fn adopt(&mut self, membership: &Membership) -> Option<Record> {
        if membership.epoch <= self.membership.epoch {
            return None;
        }
        let previous = self.membership.epoch;
        self.membership = membership.clone();
        let stayed_member =
            |member: &Member| self.is_this_node(member) && member.joined_epoch <= previous;
        let was_continuous_member = membership.members.iter().any(stayed_member);
        let mut registers = vec![self.membership_register()];
        if !was_continuous_member {
            self.discard_registers();
            registers.push(self.recovery_epoch_register());
        }
        Some(Record { reset: !was_continuous_member, ..self.record(registers) })
    }

    /// Forms the initial cluster: adopts the first membership and votes at once. Returns `None` unless the disk is
    /// empty.
    pub fn bootstrap(&mut self, membership: &Membership) -> Option<Record> {
        if self.membership.epoch != 0 || !self.registers.is_empty() {
            return None;
        }
        let record = self.adopt(membership)?;
        self.voting = true;
        Some(Record { voting: true, ..record })
    }

    /// Discards all registers: a node must never vote again with what it held under a membership that it has since
    /// left.
    pub(super) fn discard_registers(&mut self) {
        self.voting = false;
        self.registers.clear();
    }

    pub(super) fn membership_register(&self) -> Register {
        Register {
            key: STORED_MEMBERSHIP_KEY.to_owned(),
            value: self.membership.encode_to_vec().into(),
            ..Default::default()
        }
    }
}
