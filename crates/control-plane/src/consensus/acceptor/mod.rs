//! The part of a register that every member holds and votes with, as a pure state machine.
//!
//! After "Paxos Made Simple" (Lamport, 2001), one instance for each key, continued by the sequence numbers of a
//! ballot. A step gives a record and an answer; the caller puts the record on disk before the answer goes out.
//!
//! Votes count within one membership and one recovery epoch. `membership` takes memberships in, `recovery`
//! reads a lost state back; both decide when the voter is one.

mod membership;
mod recovery;

use crate::storage::format::{Record, State};
use bytes::Bytes;
use fleet_core::constants;
use fleet_core::node::id_of;
use fleet_core::wire::{Accept, Ballot, BallotReport, Membership, Prepare, Register, Vote};
use prost::Message;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Stores the membership in force; never a key of the control state itself.
const MEMBERSHIP_IN_FORCE: &str = "\u{1}membership";
/// Stores the recovery epoch: it rises with each member that reads its lost disk back, and no vote of an earlier
/// recovery epoch counts together with one of a later.
const RECOVERY_EPOCH: &str = "\u{1}recovery_epoch";

/// The voting side of all registers of one member.
#[derive(Debug, Clone)]
pub struct Acceptor {
    /// By key. A promise never falls, and neither does an accepted ballot; the promise is not below it.
    registers: BTreeMap<String, Register>,
    /// The latest membership that this node knows to be chosen. Its epoch never falls.
    membership: Membership,
    /// Whether the registers are all that this member ever voted for: not from a lost disk until it is read back.
    voting: bool,
    /// Votes of an earlier recovery epoch than this are not given. Never falls.
    recovery_epoch: u64,
    /// This node's number in ballots: its address.
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
    pub fn new(own: Ipv4Addr, state: State) -> Self {
        let mut acceptor = Acceptor {
            registers: BTreeMap::default(),
            membership: Membership::default(),
            voting: state.voting,
            recovery_epoch: 0,
            own: id_of(own),
        };
        for register in state.registers {
            acceptor.load(register);
        }
        if !acceptor.is_member() {
            acceptor.forget();
        }
        acceptor
    }

    /// Takes a register in as it was read from the disk.
    fn load(&mut self, register: Register) {
        match register.key.as_str() {
            MEMBERSHIP_IN_FORCE => {
                self.membership = Membership::decode(register.value).unwrap_or_default();
            }
            RECOVERY_EPOCH => self.recovery_epoch = register.promised.n,
            _ => {
                self.registers.insert(register.key.clone(), register);
            }
        }
    }

    /// Whether it is a member that holds its state.
    pub fn votes(&self) -> bool {
        self.voting && self.is_member()
    }

    /// What is held for a key.
    pub fn register(&self, key: &str) -> Option<&Register> {
        self.registers.get(key)
    }

    /// Everything that is held.
    pub fn registers(&self) -> impl Iterator<Item = &Register> {
        self.registers.values()
    }

    /// Ballot promised for this key.
    pub fn promised(&self, key: &str) -> Ballot {
        self.registers.get(key).map(|register| register.promised).unwrap_or_default()
    }

    /// The node that this voter has promised the key to.
    pub fn owner(&self, key: &str) -> Option<u64> {
        let promised = self.registers.get(key)?.promised;
        (promised.node != 0).then_some(promised.node)
    }

    /// Epoch that the next owner of this key must go above.
    pub fn highest(&self, key: &str) -> u64 {
        self.registers.get(key).map_or(0, |register| register.promised.n.max(register.accepted.n))
    }

    /// Whether a ballot of this key can have come about by elections: its epoch is not absurdly far ahead.
    /// One that is would leave no higher epochs to anybody.
    pub fn is_plausible(&self, key: &str, ballot: Ballot) -> bool {
        ballot.n <= self.highest(key).saturating_add(constants::EPOCH_LEAD_MAX)
    }

    /// Phase 1: promises a ballot, if no higher one was promised and its scope is the own one.
    pub fn prepare(&mut self, request: &Prepare) -> Step<Vote> {
        let key = &request.key;
        let is_outdated = request.ballot.epoch() <= self.promised(key).epoch();
        let may_vote = self.may_vote(request.membership, request.recovery_epoch);
        if !may_vote || is_outdated || !self.is_plausible(key, request.ballot) {
            return self.reject(key);
        }
        let register = self.registers.entry(key.clone()).or_insert_with(|| empty_register(key));
        register.promised = request.ballot;
        let mut reported = register.clone();
        let record = self.record_vote(reported.clone(), request.recovery_epoch);
        // The candidate has this value, or a later one.
        if reported.accepted <= request.own_accepted {
            reported.value = Bytes::new();
        }
        self.agree(record, Some(reported))
    }

    /// Phase 2: accepts a value under a ballot that is not below the one promised.
    pub fn accept(&mut self, request: &Accept) -> Step<Vote> {
        let key = &request.key;
        let held = self.registers.get(key);
        let promised = held.map(|register| register.promised).unwrap_or_default();
        let accepted = held.map(|register| register.accepted).unwrap_or_default();
        let is_outdated = request.ballot.epoch() < promised.epoch();
        let is_repeated = request.ballot <= accepted;
        let lacks_value = request.same_as.is_some_and(|same| same != accepted);
        let may_vote = self.may_vote(request.membership, request.recovery_epoch);
        let is_valid = !is_outdated && !is_repeated && !lacks_value;
        if !may_vote || !is_valid || !self.is_plausible(key, request.ballot) {
            return self.reject(key);
        }
        let value = match request.same_as {
            Some(_) => held.map(|register| register.value.clone()).unwrap_or_default(),
            None => request.value.clone(),
        };
        let register = Register {
            key: key.clone(),
            promised: Ballot { seq: 0, ..request.ballot },
            accepted: request.ballot,
            value,
        };
        self.registers.insert(key.clone(), register.clone());
        let record = self.record_vote(register, request.recovery_epoch);
        self.agree(record, None)
    }

    /// What is held, with or without the values.
    pub fn read_ballots(&self, values: bool) -> Step<BallotReport> {
        let reported = |register: &Register| {
            if values { register.clone() } else { without_value(register) }
        };
        let answer = BallotReport {
            votes: self.votes(),
            registers: self.registers.values().map(reported).collect(),
            membership: Some(self.membership.clone()),
            recovery_epoch: self.recovery_epoch,
        };
        Step { record: self.barrier(), answer }
    }

    /// An empty record: it still waits for all that went before it.
    pub fn barrier(&self) -> Record {
        self.record(Vec::new())
    }

    fn may_vote(&self, membership: u64, recovery_epoch: u64) -> bool {
        self.votes() && membership == self.membership.epoch && recovery_epoch >= self.recovery_epoch
    }

    fn agree(&self, record: Record, register: Option<Register>) -> Step<Vote> {
        let recovery_epoch = self.recovery_epoch;
        Step { record, answer: Vote { ok: true, register, membership: None, recovery_epoch } }
    }

    fn reject(&self, key: &str) -> Step<Vote> {
        let answer = Vote {
            ok: false,
            register: self.registers.get(key).map(without_value),
            membership: Some(self.membership.clone()),
            recovery_epoch: self.recovery_epoch,
        };
        Step { record: self.barrier(), answer }
    }

    /// A vote of a later recovery epoch takes its voter there.
    fn record_vote(&mut self, register: Register, recovery_epoch: u64) -> Record {
        let mut registers = vec![register];
        if recovery_epoch > self.recovery_epoch {
            self.recovery_epoch = recovery_epoch;
            registers.push(self.recovery_epoch_register());
        }
        self.record(registers)
    }

    fn record(&self, registers: Vec<Register>) -> Record {
        Record { registers, voting: self.voting, reset: false }
    }
}

/// A key that nothing was promised or accepted for.
fn empty_register(key: &str) -> Register {
    Register { key: key.to_owned(), ..Default::default() }
}

fn without_value(register: &Register) -> Register {
    Register { value: Bytes::new(), ..register.clone() }
}
