//! The Paxos acceptor of every register, as a pure state machine.
//!
//! Follows "Paxos Made Simple" (Lamport, 2001) with one instance per key; successive values of a key are ordered by the
//! sequence number in the ballot. Each step returns a record and an answer, and the caller must make the record durable
//! before it sends the answer.
//!
//! Votes count only within one membership and one recovery epoch. `membership` switches memberships, and `recovery`
//! restores the state of a member that lost its disk; both determine when this node may vote.

mod membership;
mod recovery;

use crate::storage::format::{Record, State};
use bytes::Bytes;
use fleet_core::constants;
use fleet_core::node::node_id_of;
use fleet_core::wire::{Accept, Ballot, BallotReport, Membership, Prepare, Register, Vote};
use prost::Message;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Register that stores the current membership; not a key of the control state.
const STORED_MEMBERSHIP_KEY: &str = "\u{1}membership";
/// Register that stores the recovery epoch, which rises whenever a member recovers from a lost disk. Votes of different
/// recovery epochs do not count together.
const STORED_RECOVERY_EPOCH_KEY: &str = "\u{1}recovery_epoch";

/// The acceptor state of one member, for all registers.
#[derive(Debug, Clone)]
pub struct Acceptor {
    /// By key. Promised and accepted ballots never decrease, and the promised ballot is never below the accepted one.
    registers: BTreeMap<String, Register>,
    /// The latest membership known to be chosen. Its epoch never decreases.
    membership: Membership,
    /// Whether `registers` holds everything that this member ever voted for. False from the loss of the disk until the
    /// state is recovered.
    voting: bool,
    /// No vote is given in an earlier recovery epoch than this. Never decreases.
    recovery_epoch: u64,
    /// Identifies this node in ballots; derived from its IP address.
    node_id: u64,
}

/// The outcome of a request to the acceptor: an answer, and the record that must be durable before it is sent.
pub struct Step<T> {
    /// Must be durable before the answer is sent.
    pub record: Record,
    /// To be sent once the record is durable.
    pub answer: T,
}

impl Acceptor {
    /// Restores the acceptor of the node with this address from its stored state.
    pub fn new(ip: Ipv4Addr, state: State) -> Self {
        let mut acceptor = Acceptor {
            registers: BTreeMap::default(),
            membership: Membership::default(),
            voting: state.voting,
            recovery_epoch: 0,
            node_id: node_id_of(ip),
        };
        for register in state.registers {
            acceptor.load(register);
        }
        if !acceptor.is_member() {
            acceptor.discard_registers();
        }
        acceptor
    }

    /// Restores one stored register. The keys `STORED_MEMBERSHIP_KEY` and `STORED_RECOVERY_EPOCH_KEY` hold the
    /// acceptor's own state.
    fn load(&mut self, register: Register) {
        match register.key.as_str() {
            STORED_MEMBERSHIP_KEY => {
                self.membership = Membership::decode(register.value).unwrap_or_default();
            }
            STORED_RECOVERY_EPOCH_KEY => self.recovery_epoch = register.promised.n,
            _ => {
                self.registers.insert(register.key.clone(), register);
            }
        }
    }

    /// Whether this node may vote: it is a member, and its registers are complete.
    pub fn votes(&self) -> bool {
        self.voting && self.is_member()
    }

    /// The register of a key; `None` if nothing was promised or accepted for it.
    pub fn register(&self, key: &str) -> Option<&Register> {
        self.registers.get(key)
    }

    /// All registers, ordered by key.
    pub fn registers(&self) -> impl Iterator<Item = &Register> {
        self.registers.values()
    }

    /// Ballot promised for this key; the default ballot if there is none.
    pub fn promised(&self, key: &str) -> Ballot {
        self.registers.get(key).map(|register| register.promised).unwrap_or_default()
    }

    /// The node whose ballot was promised last for this key.
    pub fn promised_node(&self, key: &str) -> Option<u64> {
        let promised = self.registers.get(key)?.promised;
        (promised.node != 0).then_some(promised.node)
    }

    /// The highest epoch promised or accepted for this key, which a new owner must exceed.
    pub fn highest_epoch(&self, key: &str) -> u64 {
        self.registers.get(key).map_or(0, |register| register.promised.n.max(register.accepted.n))
    }

    /// Whether the epoch of a ballot is at most [`constants::MAX_EPOCH_ADVANCE`] above the highest one known for
    /// this key. Elections don't produce larger gaps, and accepting a corrupt epoch near the maximum would leave no
    /// higher epochs for later owners.
    pub fn is_plausible(&self, key: &str, ballot: Ballot) -> bool {
        ballot.n <= self.highest_epoch(key).saturating_add(constants::MAX_EPOCH_ADVANCE)
    }

    /// Phase 1: promises a ballot unless an equal or higher epoch was promised, or the request belongs to another
    /// membership or an earlier recovery epoch.
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
        // The candidate already has this value or a later one.
        if reported.accepted <= request.proposer_accepted {
            reported.value = Bytes::new();
        }
        self.grant(record, Some(reported))
    }

    /// Phase 2: accepts a value unless a higher epoch was promised or an equal or higher ballot was accepted. A request
    /// with `same_value_as` carries no value: it refers to the one accepted here under that ballot.
    pub fn accept(&mut self, request: &Accept) -> Step<Vote> {
        let key = &request.key;
        let held = self.registers.get(key);
        let promised = held.map(|register| register.promised).unwrap_or_default();
        let accepted = held.map(|register| register.accepted).unwrap_or_default();
        let is_outdated = request.ballot.epoch() < promised.epoch();
        let is_repeated = request.ballot <= accepted;
        let lacks_value = request.same_value_as.is_some_and(|ballot| ballot != accepted);
        let may_vote = self.may_vote(request.membership, request.recovery_epoch);
        let is_valid = !is_outdated && !is_repeated && !lacks_value;
        if !may_vote || !is_valid || !self.is_plausible(key, request.ballot) {
            return self.reject(key);
        }
        let value = match request.same_value_as {
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
        self.grant(record, None)
    }

    /// Reports all registers, with or without their values.
    pub fn read_ballots(&self, include_values: bool) -> Step<BallotReport> {
        let reported = |register: &Register| {
            if include_values { register.clone() } else { without_value(register) }
        };
        let answer = BallotReport {
            votes: self.votes(),
            registers: self.registers.values().map(reported).collect(),
            membership: Some(self.membership.clone()),
            recovery_epoch: self.recovery_epoch,
        };
        Step { record: self.barrier(), answer }
    }

    /// An empty record. It becomes durable only after all records queued before it.
    pub fn barrier(&self) -> Record {
        self.record(Vec::new())
    }

    fn may_vote(&self, membership_epoch: u64, recovery_epoch: u64) -> bool {
        self.votes()
            && membership_epoch == self.membership.epoch
            && recovery_epoch >= self.recovery_epoch
    }

    fn grant(&self, record: Record, register: Option<Register>) -> Step<Vote> {
        let recovery_epoch = self.recovery_epoch;
        Step { record, answer: Vote { granted: true, register, membership: None, recovery_epoch } }
    }

    fn reject(&self, key: &str) -> Step<Vote> {
        let answer = Vote {
            granted: false,
            register: self.registers.get(key).map(without_value),
            membership: Some(self.membership.clone()),
            recovery_epoch: self.recovery_epoch,
        };
        Step { record: self.barrier(), answer }
    }

    /// The record of a vote. A vote given in a later recovery epoch also moves this node to that epoch.
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

/// The register of a key for which nothing was promised or accepted.
fn empty_register(key: &str) -> Register {
    Register { key: key.to_owned(), ..Default::default() }
}

fn without_value(register: &Register) -> Register {
    Register { value: Bytes::new(), ..register.clone() }
}
