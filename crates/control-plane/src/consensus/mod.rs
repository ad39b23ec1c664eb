//! Consensus on the control state: each key is a separate Paxos register with one owner (leader) at a time.
//!
//! [`Consensus`] is this node's participant. It holds the acceptor and its disk ([`acceptor`], [`crate::storage`]), the
//! keys that this node owns ([`key_owner`]), the newest values known to be chosen, and the time of each voter's last
//! answer ([`quorum_contact`]).
//!
//! | module | responsibility | pure |
//! |---|---|---|
//! | [`acceptor`] | promised and accepted ballots, and what must be durable before an answer is sent | yes |
//! | [`round`], [`proposer`] | counting votes; preparing a ballot, completing an accepted value, proposing | yes |
//! | [`election`] | whether a key's owner has timed out | yes |
//! | [`state_machine`], [`config_history`], [`departure_records`] | the keys' values and how changes apply | yes |
//! | [`quorum_status`] | what the voters of a membership have accepted, from their reports | yes |
//! | [`key_owner`] | the keys that this node owns, and changes to them | |
//! | `campaign` | elections: taking over a key whose owner has timed out | |
//! | `round_driver`, `voter_calls` | execute a proposer's actions; calls to all voters in parallel | |
//! | [`forward`] | forwards a change to the owner of its key | |
//! | [`reads`] | linearizable reads, confirmed by a majority | |
//! | [`anti_entropy`] | learns chosen values even if commit notices are lost | |
//! | [`resignation`] | releases owned keys before shutdown | |
//! | [`quorum_contact`] | whether a majority answered recently | |
//!
//! Lock order: the slot of a key (async, held for a whole round), the acceptor, the learned values, the cluster state.
//! The remaining locks are leaves: no lock is taken while one of them is held. Only a key's slot is held across an
//! await.

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
mod round_driver;
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
use quorum_contact::QuorumContact;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Is notified of each configuration that this node learns was chosen.
pub trait ConfigObserver: Send + Sync + 'static {
    /// Called with a chosen configuration; a later one may have been chosen in the meantime.
    fn config_committed(&self, value: &ConfigValue);
}

/// A value that was chosen, and the ballot under which it was accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChosenValue {
    /// Orders the values of one key.
    pub ballot: Ballot,
    /// The value, in the encoding of its key.
    pub value: Bytes,
}

/// The dependencies and the stored state of a [`Consensus`].
pub struct ConsensusDependencies {
    /// Identity, settings, log and shutdown state of this node.
    pub process: Arc<Process>,
    /// Links to the other voters.
    pub links: Arc<PeerLinks>,
    /// Receives what is learned from chosen values.
    pub cluster_state: Arc<ClusterStateStore>,
    /// Notified of chosen configurations.
    pub config_observer: Arc<dyn ConfigObserver>,
    /// Stores the acceptor's records.
    pub disk: MonitoredDisk,
    /// The state read from that disk at startup.
    pub state: State,
}

/// This node's participant in the consensus: acceptor, proposer and learner for all keys.
pub struct Consensus {
    process: Arc<Process>,
    links: Arc<PeerLinks>,
    cluster_state: Arc<ClusterStateStore>,
    config_observer: Arc<dyn ConfigObserver>,
    disk: MonitoredDisk,
    acceptor: Mutex<Acceptor>,
    /// Newest value of each key known to be chosen.
    learned: Mutex<BTreeMap<String, ChosenValue>>,
    key_owners: KeyOwners,
    contact: Mutex<QuorumContact>,
}

impl Consensus {
    /// Restores the participant from its stored state.
    pub fn new(dependencies: ConsensusDependencies) -> Consensus {
        Consensus {
            acceptor: Mutex::new(Acceptor::new(dependencies.process.node.ip, dependencies.state)),
            process: dependencies.process,
            links: dependencies.links,
            cluster_state: dependencies.cluster_state,
            config_observer: dependencies.config_observer,
            disk: dependencies.disk,
            learned: Mutex::default(),
            key_owners: KeyOwners::default(),
            contact: Mutex::default(),
        }
    }

    /// Identity, settings, log and shutdown state of this node.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Calls `read` with the acceptor while its lock is held.
    pub fn with_acceptor<T>(&self, read: impl FnOnce(&Acceptor) -> T) -> T {
        read(&self.acceptor.lock())
    }

    /// The latest membership known to this node; epoch 0 if it knows none.
    pub fn membership(&self) -> Membership {
        self.acceptor.lock().membership().clone()
    }

    /// Epoch of the latest membership known to this node; 0 if it knows none.
    pub fn membership_epoch(&self) -> u64 {
        self.acceptor.lock().membership().epoch
    }

    /// Whether this node may vote: it is a member, and its registers are complete.
    pub fn votes(&self) -> bool {
        self.acceptor.lock().votes()
    }

    /// Links to the other voters of the current membership.
    pub fn links_to_voters(&self) -> Vec<MemberLink> {
        self.links.links_to(&self.membership().members)
    }

    /// Links to these members, except this node.
    pub fn links_to(&self, members: &[Member]) -> Vec<MemberLink> {
        self.links.links_to(members)
    }

    /// Whether the last disk write failed or a write is overdue. This node can't vote in that state.
    pub fn is_disk_broken(&self) -> bool {
        self.disk.is_broken()
    }

    /// Whether this node has no disk. It then never votes, and forwards the changes sent to it.
    pub fn is_disk_absent(&self) -> bool {
        self.disk.is_absent()
    }

    /// Whether this node may own keys: it has a working disk and is not shutting down.
    pub fn may_own(&self) -> bool {
        !self.is_disk_broken() && !self.process.is_shutting_down()
    }

    /// Runs a step of this node's acceptor. Returns its answer once the record is durable, and `None` if the record
    /// can't be stored.
    ///
    /// # Cancel safety
    /// The step runs and its record is queued before the first await, so dropping the future only discards the answer.
    pub async fn vote<T>(&self, step: impl FnOnce(&mut Acceptor) -> Step<T>) -> Option<T> {
        let (stored, answer) = {
            let mut acceptor = self.acceptor.lock();
            let step = step(&mut acceptor);
            (self.disk.append(step.record), step.answer)
        };
        stored.await.ok()?;
        Some(answer)
    }

    /// Changes the acceptor and stores the resulting record. Returns whether there was a record and it is durable.
    pub async fn persist(&self, change: impl FnOnce(&mut Acceptor) -> Option<Record>) -> bool {
        let stored = {
            let mut acceptor = self.acceptor.lock();
            let Some(record) = change(&mut acceptor) else { return false };
            self.disk.append(record)
        };
        stored.await.is_ok()
    }

    /// Switches to a later membership, which is stored before links and the cluster state follow. Does nothing if it
    /// is not later than the current one.
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

    /// Opens and closes links to match the current membership.
    pub fn relink(&self) {
        let (membership, votes) =
            self.with_acceptor(|acceptor| (acceptor.membership().clone(), acceptor.votes()));
        self.links.relink(&membership, votes);
    }

    /// Newest value of a key that this node knows was chosen.
    pub fn learned(&self, key: &str) -> Option<ChosenValue> {
        self.learned.lock().get(key).cloned()
    }

    /// Records that this node voted for another node's request, which shows that the owner of the key is making
    /// progress.
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
