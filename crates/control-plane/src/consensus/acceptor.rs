//! The part of a register that every member holds and votes with.

use crate::storage::format::Record;
use fleet_core::constants;
use fleet_core::wire::{Accept, Ballot, BallotReport, Member, Membership, Prepare, Register, Vote};
use prost::Message;

/// Holds the membership in force; never a key of the control state itself.
const MEMBERSHIP_IN_FORCE: &str = "\u{1}membership";
/// Holds the recovery_epoch: it rises with each member that reads its lost disk back, and no vote of an earlier
/// recovery_epoch counts together with one of a later.
const RECOVERY_EPOCH: &str = "\u{1}recovery_epoch";

/// The voting side of all registers of one member, as a pure state machine.
#[derive(Debug, Clone)]
pub struct Acceptor {
    registers: std::collections::BTreeMap<String, Register>,
    membership: Membership,
    voting: bool,
    recovery_epoch: u64,
    own: u64,
}

/// What must be on the disk before the answer may go out.
pub struct Step<T> {
    /// goes to the disk first
    pub record: Record,
    /// goes out once the record is on the disk
    pub answer: T,
}

impl Acceptor {
    /// The acceptor of the node with this address, with what its disk holds.
    pub fn new(own: std::net::Ipv4Addr, state: crate::storage::format::State) -> Self {
        let mut a = Acceptor {
            registers: std::collections::BTreeMap::default(),
            membership: Membership::default(),
            voting: state.voting,
            recovery_epoch: 0,
            own: u64::from(u32::from(own)),
        };
        for r in state.registers {
            if r.key == MEMBERSHIP_IN_FORCE {
                a.membership = Membership::decode(r.value).unwrap_or_default();
            } else if r.key == RECOVERY_EPOCH {
                a.recovery_epoch = r.promised.n;
            } else {
                a.registers.insert(r.key.clone(), r);
            }
        }
        if !a.is_member() {
            a.forget();
        }
        a
    }

    /// What was held under a membership that this one has left must never be voted with again.
    fn forget(&mut self) {
        self.voting = false;
        self.registers.clear();
    }

    /// The membership that this member follows; epoch 0 where it knows none.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether this node is one of the voters.
    pub fn is_member(&self) -> bool {
        self.membership.members.iter().any(|m| self.is_own(m))
    }

    fn is_own(&self, m: &Member) -> bool {
        m.addr().is_some_and(|a| u64::from(u32::from(a)) == self.own)
    }

    /// Whether it is a member that holds its state.
    pub fn votes(&self) -> bool {
        self.voting && self.is_member()
    }

    /// A lease counts only with grants of one membership, like a vote.
    pub fn may_grant(&self, membership: u64) -> bool {
        self.votes() && membership == self.membership.epoch
    }

    /// The latest recovery epoch that it has heard of; it votes in no earlier one.
    pub fn recovery_epoch(&self) -> u64 {
        self.recovery_epoch
    }

    /// Goes to a later recovery_epoch; what it votes from now on is of that.
    pub fn advance(&mut self, recovery_epoch: u64) -> Option<Record> {
        if recovery_epoch <= self.recovery_epoch {
            return None;
        }
        self.recovery_epoch = recovery_epoch;
        Some(self.record(vec![self.recovery_epoch_register()]))
    }

    fn recovery_epoch_register(&self) -> Register {
        Register {
            key: RECOVERY_EPOCH.to_owned(),
            promised: Ballot { n: self.recovery_epoch, ..Default::default() },
            ..Default::default()
        }
    }

    /// What is held for a key.
    pub fn register(&self, key: &str) -> Option<&Register> {
        self.registers.get(key)
    }

    /// Everything that is held.
    pub fn registers(&self) -> impl Iterator<Item = &Register> {
        self.registers.values()
    }

    /// Whether a ballot of this key can have come about by elections: its epoch is not absurdly far ahead.
    /// One that is would leave no higher epochs to anybody.
    pub fn is_plausible(&self, key: &str, ballot: Ballot) -> bool {
        ballot.n <= self.highest(key).saturating_add(constants::EPOCH_LEAD_MAX)
    }

    /// Epoch that the next owner of this key must go above.
    pub fn highest(&self, key: &str) -> u64 {
        self.registers.get(key).map_or(0, |r| r.promised.n.max(r.accepted.n))
    }

    /// The node that this voter has promised the key to.
    pub fn owner(&self, key: &str) -> Option<u64> {
        let promised = self.registers.get(key)?.promised;
        (promised.node != 0).then_some(promised.node)
    }

    /// Epoch of the ballot promised for this key.
    pub fn promised(&self, key: &str) -> Ballot {
        self.registers.get(key).map(|r| r.promised).unwrap_or_default()
    }

    fn record(&self, registers: Vec<Register>) -> Record {
        Record { registers, voting: self.voting, reset: false }
    }

    /// An empty record still waits for all that went before it.
    pub fn barrier(&self) -> Record {
        self.record(Vec::new())
    }

    fn reject(&self, key: &str) -> Step<Vote> {
        let answer = Vote {
            ok: false,
            register: self
                .registers
                .get(key)
                .map(|r| Register { value: Default::default(), ..r.clone() }),
            membership: Some(self.membership.clone()),
            recovery_epoch: self.recovery_epoch,
        };
        Step { record: self.barrier(), answer }
    }

    fn may_vote(&self, membership: u64, recovery_epoch: u64) -> bool {
        self.votes() && membership == self.membership.epoch && recovery_epoch >= self.recovery_epoch
    }

    /// A vote of a later recovery_epoch takes its voter there.
    fn voted(&mut self, r: Register, recovery_epoch: u64) -> Record {
        let mut registers = vec![r];
        if recovery_epoch > self.recovery_epoch {
            self.recovery_epoch = recovery_epoch;
            registers.push(self.recovery_epoch_register());
        }
        self.record(registers)
    }

    /// Promises a ballot, if no higher one was promised and its scope is the own one.
    pub fn prepare(&mut self, p: &Prepare) -> Step<Vote> {
        let promised = self.registers.get(&p.key).map(|r| r.promised).unwrap_or_default();
        let is_late = p.ballot.epoch() <= promised.epoch();
        let is_absurd = !self.is_plausible(&p.key, p.ballot);
        if !self.may_vote(p.membership, p.recovery_epoch) || is_late || is_absurd {
            return self.reject(&p.key);
        }
        let r = self
            .registers
            .entry(p.key.clone())
            .or_insert_with(|| Register { key: p.key.clone(), ..Default::default() });
        r.promised = p.ballot;
        let mut reported = r.clone();
        let record = self.voted(reported.clone(), p.recovery_epoch);
        if reported.accepted <= p.own_accepted {
            reported.value = bytes::Bytes::new();
        }
        Step {
            record,
            answer: Vote {
                ok: true,
                register: Some(reported),
                membership: None,
                recovery_epoch: self.recovery_epoch,
            },
        }
    }

    /// Accepts a value under a ballot that is not below the one promised.
    pub fn accept(&mut self, a: &Accept) -> Step<Vote> {
        let (promised, accepted) =
            self.registers.get(&a.key).map(|r| (r.promised, r.accepted)).unwrap_or_default();
        let late = a.ballot.epoch() < promised.epoch() || a.ballot <= accepted;
        let lacks_value = a.same_as.is_some_and(|same| same != accepted);
        let is_absurd = !self.is_plausible(&a.key, a.ballot);
        if !self.may_vote(a.membership, a.recovery_epoch) || late || lacks_value || is_absurd {
            return self.reject(&a.key);
        }
        let value = match a.same_as {
            Some(_) => self.registers.get(&a.key).map(|r| r.value.clone()).unwrap_or_default(),
            None => a.value.clone(),
        };
        let r = Register {
            key: a.key.clone(),
            promised: Ballot { seq: 0, ..a.ballot },
            accepted: a.ballot,
            value,
        };
        self.registers.insert(a.key.clone(), r.clone());
        let record = self.voted(r, a.recovery_epoch);
        Step {
            record,
            answer: Vote {
                ok: true,
                register: None,
                membership: None,
                recovery_epoch: self.recovery_epoch,
            },
        }
    }

    /// What is held, with or without the values.
    pub fn read_ballots(&self, values: bool) -> Step<BallotReport> {
        let registers = self
            .registers
            .values()
            .map(|r| {
                if values { r.clone() } else { Register { value: Default::default(), ..r.clone() } }
            })
            .collect();
        let answer = BallotReport {
            votes: self.votes(),
            registers,
            membership: Some(self.membership.clone()),
            recovery_epoch: self.recovery_epoch,
        };
        Step { record: self.barrier(), answer }
    }

    /// All ballots that are held here, for a member that reads its state back; from now on in its
    /// recovery epoch. The values follow by key.
    pub fn begin_state_transfer(&mut self, recovery_epoch: u64) -> Step<BallotReport> {
        let record = self.advance(recovery_epoch).unwrap_or_else(|| self.barrier());
        Step { record, answer: self.read_ballots(false).answer }
    }

    /// A membership that was decided: one member at a time is exchanged. Who was not a member all the
    /// time since the one known here, though only in between, goes on as with an empty disk.
    pub fn adopt(&mut self, membership: &Membership) -> Option<Record> {
        if membership.epoch <= self.membership.epoch {
            return None;
        }
        let previous = self.membership.epoch;
        self.membership = membership.clone();
        let stayed =
            membership.members.iter().any(|m| self.is_own(m) && m.joined_epoch <= previous);
        let mut registers = vec![self.membership_register()];
        if !stayed {
            self.forget();
            registers.push(self.recovery_epoch_register());
        }
        Some(Record { reset: !stayed, ..self.record(registers) })
    }

    fn membership_register(&self) -> Register {
        Register {
            key: MEMBERSHIP_IN_FORCE.to_owned(),
            value: self.membership.encode_to_vec().into(),
            ..Default::default()
        }
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

    /// Takes up what a majority of the membership in force gave, all in the new recovery epoch and with the
    /// values that were fetched for its ballots: then it votes.
    /// Nothing that was held before counts: an accepted value that was never chosen may have the higher ballot.
    pub fn recover(&mut self, recovery_epoch: u64, from: &[BallotReport]) -> Option<Record> {
        let quorum = self.membership.members.len() / 2 + 1;
        let epoch = self.membership.epoch;
        let in_force = |p: &BallotReport| p.membership.as_ref().is_some_and(|m| m.epoch == epoch);
        let full = |p: &&BallotReport| p.votes && p.recovery_epoch >= recovery_epoch && in_force(p);
        if self.voting || !self.is_member() || from.iter().filter(full).count() < quorum {
            return None;
        }
        let latest = from.iter().map(|p| p.recovery_epoch).max().unwrap_or(0);
        self.recovery_epoch = self.recovery_epoch.max(latest);
        self.registers.clear();
        for register in from.iter().filter(full).flat_map(|p| &p.registers) {
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
        let own = self
            .registers
            .entry(other.key.clone())
            .or_insert_with(|| Register { key: other.key.clone(), ..Default::default() });
        own.promised = own.promised.max(other.promised);
        if other.accepted > own.accepted {
            own.accepted = other.accepted;
            own.value = other.value.clone();
        }
    }
}
