//! The control plane: what the controller program is made of.

pub mod api;
pub mod cluster_state;
pub mod config_distribution;
pub mod consensus;
pub mod engines;
pub mod index_owner;
pub mod leases;
pub mod membership;
pub mod rollout;
pub mod runtime;
pub mod service;
pub mod storage;

pub use runtime::{Environment, RunningController, run};

use fleet_core::log::Event;
use fleet_core::wire::{Ballot, Membership};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why a controller doesn't run.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ControllerError {
    /// {0}: not in the settings, which a controller needs
    ParamMissing(&'static str),
    /// the disk can't be used: {0}
    Disk(storage::DiskError),
    /// cannot listen at {0}: {1}
    Listen(std::net::SocketAddr, std::io::ErrorKind),
    /// cannot serve control: {0}
    Control(std::io::ErrorKind),
}

/// All state of a controller. Lock order: acceptor, learned, known, then the rest one at a time.
pub struct Controller {
    /// who this process is
    pub node: fleet_core::node::Node,
    /// where its events go
    pub log: slog::Logger,
    settings: parking_lot::RwLock<Arc<fleet_core::settings::Settings>>,
    /// its vote, and what it voted for
    pub acceptor: parking_lot::Mutex<consensus::acceptor::Acceptor>,
    disk: storage::monitor::MonitoredDisk,
    /// where links, engines and stores are reached
    pub transport: Arc<dyn fleet_core::transport::Transport>,
    /// keys that it owns
    pub key_owners: consensus::key_owner::KeyOwners,
    learned: parking_lot::Mutex<BTreeMap<String, (Ballot, bytes::Bytes)>>,
    cluster_state: parking_lot::Mutex<fleet_core::journal::ChangeLog<cluster_state::ClusterState>>,
    latest_change: tokio::sync::watch::Sender<u64>,
    /// engines as they were heard of
    pub engines: engines::registry::Registry,
    /// the other controllers, and the routers
    pub peers: membership::Peers,
    /// leases granted and held
    pub leases: leases::Leases,
    contact: parking_lot::Mutex<membership::quorum_contact::Contact>,
    /// what routers are given of the configuration
    pub config_distribution: config_distribution::ConfigDistribution,
    /// when it started
    pub started: tokio::time::Instant,
    shutting_down: tokio::sync::watch::Sender<bool>,
    rng_state: AtomicU64,
}

impl Controller {
    /// The settings in force; they may be read again while the controller runs.
    pub fn settings(&self) -> Arc<fleet_core::settings::Settings> {
        self.settings.read().clone()
    }

    /// The next pseudo-random number of this process; the same after the same seed.
    pub fn random(&self) -> u64 {
        let x = self.rng_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        fleet_core::node::stable_hash(&[&x.to_le_bytes()])
    }

    /// A pseudo-random number below a bound.
    pub fn random_below(&self, below: u64) -> u64 {
        self.random() % below.max(1)
    }

    /// Whether the disk refused the last write, or one hangs: this controller can't vote then.
    pub fn disk_broken(&self) -> bool {
        self.disk.is_broken()
    }

    /// Serves without a vote: what it is told it passes on.
    pub fn disk_absent(&self) -> bool {
        self.disk.is_absent()
    }

    /// Whether this controller may own keys: not without a disk that works, nor once it leaves.
    pub fn may_own(&self) -> bool {
        !self.disk_broken() && !*self.shutting_down.borrow()
    }

    /// Turns true when this controller is told to stop.
    pub fn shutting_down(&self) -> tokio::sync::watch::Receiver<bool> {
        self.shutting_down.subscribe()
    }

    /// A step of the own vote; its answer may be told once it is on the disk.
    pub async fn vote<T>(
        &self,
        f: impl FnOnce(&mut consensus::acceptor::Acceptor) -> consensus::acceptor::Step<T>,
    ) -> Option<T> {
        let (stored, answer) = {
            let mut acceptor = self.acceptor.lock();
            let step = f(&mut acceptor);
            (self.disk.append(step.record), step.answer)
        };
        stored.await.ok()?;
        Some(answer)
    }

    async fn persist(
        &self,
        f: impl FnOnce(&mut consensus::acceptor::Acceptor) -> Option<storage::format::Record>,
    ) -> bool {
        let stored = {
            let mut acceptor = self.acceptor.lock();
            let Some(r) = f(&mut acceptor) else { return false };
            self.disk.append(r)
        };
        stored.await.is_ok()
    }

    /// Takes a later membership into force, on the disk first.
    pub async fn adopt(&self, membership: &Membership) {
        if membership.epoch <= self.acceptor.lock().membership().epoch {
            return;
        }
        if self.persist(|acceptor| acceptor.adopt(membership)).await {
            fleet_core::log_event!(self.log, Event::MembershipChanged, "epoch" => membership.epoch);
        }
        self.peers.relink(self);
        self.append(cluster_state::StateChange::Membership(membership.clone()));
    }

    /// Adds a fact to what is known, and wakes who follows it.
    pub fn append(&self, change: cluster_state::StateChange) {
        let latest_change = self.cluster_state.lock().append(change);
        self.latest_change.send_replace(latest_change);
    }

    /// Reads what is known.
    pub fn read_state<T>(&self, f: impl FnOnce(&cluster_state::ClusterState) -> T) -> T {
        f(self.cluster_state.lock().view())
    }

    /// Moves with each fact that is added.
    pub fn subscribe(&self) -> tokio::sync::watch::Receiver<u64> {
        self.latest_change.subscribe()
    }
}
