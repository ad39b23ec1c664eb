//! Agreement on the control state: each key is a Paxos register of its own, with one owner at a time.
//!
//! [`Consensus`] is this node's part in it. It owns the node's vote with its disk ([`acceptor`],
//! [`crate::storage`]), the keys that this node owns ([`key_owner`]), the newest values that it knows to be
//! chosen, and when each voter answered last ([`quorum_contact`]).
//!
//! | file | what it is | pure |
//! |---|---|---|
//! | [`acceptor`] | the vote: what was promised and accepted, and what has to be on disk before an answer | yes |
//! | [`round`], [`proposer`] | counting votes; preparing a ballot, completing what was open, proposing | yes |
//! | [`election`] | when a key may be taken from its owner | yes |
//! | [`state_machine`], [`config_history`], [`departure_records`] | what a value is and what a change makes of it | yes |
//! | [`quorum_status`] | what the voters of a membership hold, from their answers | yes |
//! | [`key_owner`] | the keys that this node owns, and changes to them | |
//! | `campaign` | taking a key from an owner that has timed out | |
//! | `rounds`, `voter_calls` | carry out what a proposer asks for; calls to all voters at once | |
//! | [`forward`] | brings a change to the owner of its key | |
//! | [`reads`] | reads that a majority confirms | |
//! | [`anti_entropy`] | learns what was chosen, also where notices were lost | |
//! | [`resignation`] | gives owned keys up before the process ends | |
//! | [`quorum_contact`] | whether a majority answered lately | |
//!
//! Order of locks: the slot of a key (async, held over a round), then the acceptor, then the learned values,
//! then the cluster state; the others are leaves. No lock but a key's slot is held over an await.

pub mod acceptor;
pub mod anti_entropy;
mod campaign;
pub mod config_history;
pub mod departure_records;
pub mod election;
pub mod forward;
pub mod key_owner;
pub mod proposer;
pub mod quorum_contact;
pub mod quorum_status;
pub mod reads;
pub mod resignation;
pub mod round;
mod rounds;
pub mod state_machine;
mod voter_calls;

use crate::cluster_state::{ClusterStateStore, StateChange};
use crate::membership::peer_links::{MemberLink, PeerLinks};
use crate::process::Process;
use crate::storage::format::{Record, State};
use crate::storage::monitor::MonitoredDisk;
use acceptor::{Acceptor, Step};
use bytes::Bytes;
use fleet_core::log::Event;
use fleet_core::wire::{Ballot, ConfigValue, Member, Membership};
use key_owner::KeyOwners;
use parking_lot::Mutex;
use quorum_contact::Contact;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Is notified of each configuration that this node learns to be chosen.
pub trait ConfigObserver: Send + Sync + 'static {
    /// A configuration was chosen; a later one may have been chosen since.
    fn config_committed(&self, value: &ConfigValue);
}

/// A value that was chosen, and the ballot under which it was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenValue {
    /// Orders the values of one key.
    pub ballot: Ballot,
    /// The value, encoded as the key demands.
    pub value: Bytes,
}

/// What a node's part in the agreement is built with.
pub struct ConsensusParts {
    /// The process that it runs in.
    pub process: Arc<Process>,
    /// Links to the other voters.
    pub links: Arc<PeerLinks>,
    /// Where this node keeps what it learns.
    pub cluster_state: Arc<ClusterStateStore>,
    /// Who is notified of chosen configurations.
    pub config_observer: Arc<dyn ConfigObserver>,
    /// Where votes are kept.
    pub disk: MonitoredDisk,
    /// What was on that disk at the start.
    pub state: State,
}

/// This node's part in the agreement.
pub struct Consensus {
    process: Arc<Process>,
    links: Arc<PeerLinks>,
    cluster_state: Arc<ClusterStateStore>,
    config_observer: Arc<dyn ConfigObserver>,
    disk: MonitoredDisk,
    acceptor: Mutex<Acceptor>,
    /// Newest value of each key that is known to be chosen.
    learned: Mutex<BTreeMap<String, ChosenValue>>,
    key_owners: KeyOwners,
    contact: Mutex<Contact>,
}

impl Consensus {
    /// The part of a node whose disk held this state.
    pub fn new(parts: ConsensusParts) -> Consensus {
        Consensus {
            acceptor: Mutex::new(Acceptor::new(parts.process.node.ip, parts.state)),
            process: parts.process,
            links: parts.links,
            cluster_state: parts.cluster_state,
            config_observer: parts.config_observer,
            disk: parts.disk,
            learned: Mutex::default(),
            key_owners: KeyOwners::default(),
            contact: Mutex::default(),
        }
    }

    /// The process that this node is.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Reads the node's vote.
    pub fn with_acceptor<T>(&self, read: impl FnOnce(&Acceptor) -> T) -> T {
        read(&self.acceptor.lock())
    }

    /// The membership in force, as far as this node knows; epoch 0 where it knows none.
    pub fn membership(&self) -> Membership {
        self.acceptor.lock().membership().clone()
    }

    /// Epoch of the membership in force, as far as this node knows.
    pub fn membership_epoch(&self) -> u64 {
        self.acceptor.lock().membership().epoch
    }

    /// Whether this node is a voter that holds its state.
    pub fn votes(&self) -> bool {
        self.acceptor.lock().votes()
    }

    /// Links to the other voters of the membership in force.
    pub fn links_to_voters(&self) -> Vec<MemberLink> {
        self.links.to(&self.membership().members)
    }

    /// Links to these members but this node.
    pub fn links_to(&self, members: &[Member]) -> Vec<MemberLink> {
        self.links.to(members)
    }

    /// Whether the disk failed the last write, or a write hangs: this node can't vote then.
    pub fn is_disk_broken(&self) -> bool {
        self.disk.is_broken()
    }

    /// Whether there is no disk: this node never votes, and forwards what it is sent.
    pub fn is_disk_absent(&self) -> bool {
        self.disk.is_absent()
    }

    /// Whether this node may own keys: not without a disk that works, nor once it shuts down.
    pub fn may_own(&self) -> bool {
        !self.is_disk_broken() && !self.process.is_shutting_down()
    }

    /// A step of this node's vote; the answer is handed out once its record is on disk, and none if it can't
    /// be stored.
    ///
    /// # Cancel safety
    /// The step is taken and its record is queued before the first await: dropping the future only drops the
    /// answer.
    pub async fn vote<T>(&self, step: impl FnOnce(&mut Acceptor) -> Step<T>) -> Option<T> {
        let (stored, answer) = {
            let mut acceptor = self.acceptor.lock();
            let step = step(&mut acceptor);
            (self.disk.append(step.record), step.answer)
        };
        stored.await.ok()?;
        Some(answer)
    }

    /// Stores what a change of the vote's state gives, if it gives anything; whether that is on disk now.
    pub async fn persist(&self, change: impl FnOnce(&mut Acceptor) -> Option<Record>) -> bool {
        let stored = {
            let mut acceptor = self.acceptor.lock();
            let Some(record) = change(&mut acceptor) else { return false };
            self.disk.append(record)
        };
        stored.await.is_ok()
    }

    /// Puts a later membership in force, on disk first.
    pub async fn adopt(&self, membership: &Membership) {
        if membership.epoch <= self.membership_epoch() {
            return;
        }
        if self.persist(|acceptor| acceptor.adopt(membership)).await {
            let epoch = membership.epoch;
            fleet_core::log_event!(self.process.log, Event::MembershipChanged, "epoch" => epoch);
        }
        self.relink();
        self.cluster_state.append(StateChange::Membership(membership.clone()));
    }

    /// Keeps the links that this node needs in the membership in force.
    pub fn relink(&self) {
        let (membership, votes) =
            self.with_acceptor(|acceptor| (acceptor.membership().clone(), acceptor.votes()));
        self.links.relink(&membership, votes);
    }

    /// Newest value of a key that this node knows to be chosen.
    pub fn learned(&self, key: &str) -> Option<ChosenValue> {
        self.learned.lock().get(key).cloned()
    }

    /// The own vote was given to another node's request for a key: its owner makes progress.
    pub fn record_progress(&self, key: &str) {
        self.key_owners.record_progress(key);
    }
}

#[cfg(test)]
#[path = "schedules_tests.rs"]
mod schedules;

#[cfg(test)]
#[path = "membership_change_tests.rs"]
mod membership_changes;
