//! The control plane: what the controller program is made of.

pub mod api;
pub mod contact;
pub mod control;
pub mod disk;
pub mod distribution;
pub mod duties;
pub mod engines;
pub mod facts;
pub mod learner;
pub mod members;
pub mod running;
pub mod service;

pub use running::{Environment, Running, run};

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
    Disk(disk::DiskError),
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
    pub acceptor: parking_lot::Mutex<control::acceptor::Acceptor>,
    disk: disk::monitor::MonitoredDisk,
    /// where links, engines and stores are reached
    pub transport: Arc<dyn fleet_core::transport::Transport>,
    /// keys that it owns
    pub owners: control::owner::Owners,
    learned: parking_lot::Mutex<BTreeMap<String, (Ballot, bytes::Bytes)>>,
    known: parking_lot::Mutex<fleet_core::journal::ChangeLog<facts::Known>>,
    head: tokio::sync::watch::Sender<u64>,
    /// engines as they were heard of
    pub engines: engines::registry::Registry,
    /// the other controllers, and the routers
    pub members: members::Members,
    /// leases granted and held
    pub duties: duties::Duties,
    contact: parking_lot::Mutex<contact::Contact>,
    /// what routers are given of the configuration
    pub distribution: distribution::Distribution,
    /// when it started
    pub started: tokio::time::Instant,
    leaving: tokio::sync::watch::Sender<bool>,
    rng_state: AtomicU64,
}

impl Controller {
    /// The settings in force; they may be read again while the controller runs.
    pub fn settings(&self) -> Arc<fleet_core::settings::Settings> {
        self.settings.read().clone()
    }

    /// The next pseudo-random number of this process; the same after the same seed.
    pub fn draw(&self) -> u64 {
        let x = self.rng_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        fleet_core::node::stable_hash(&[&x.to_le_bytes()])
    }

    /// A pseudo-random number below a bound.
    pub fn chance(&self, below: u64) -> u64 {
        self.draw() % below.max(1)
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
        !self.disk_broken() && !*self.leaving.borrow()
    }

    /// Turns true when this controller is told to stop.
    pub fn leaving(&self) -> tokio::sync::watch::Receiver<bool> {
        self.leaving.subscribe()
    }

    /// A step of the own vote; its answer may be told once it is on the disk.
    pub async fn vote<T>(
        &self,
        f: impl FnOnce(&mut control::acceptor::Acceptor) -> control::acceptor::Step<T>,
    ) -> Option<T> {
        let (kept, answer) = {
            let mut a = self.acceptor.lock();
            let step = f(&mut a);
            (self.disk.keep(step.record), step.answer)
        };
        kept.await.ok()?;
        Some(answer)
    }

    async fn persist(
        &self,
        f: impl FnOnce(&mut control::acceptor::Acceptor) -> Option<disk::format::Record>,
    ) -> bool {
        let kept = {
            let mut a = self.acceptor.lock();
            let Some(r) = f(&mut a) else { return false };
            self.disk.keep(r)
        };
        kept.await.is_ok()
    }

    /// Takes a later membership into force, on the disk first.
    pub async fn adopt(&self, membership: &Membership) {
        if membership.epoch <= self.acceptor.lock().membership().epoch {
            return;
        }
        if self.persist(|a| a.adopt(membership)).await {
            fleet_core::log_event!(self.log, Event::MembershipMoved, "epoch" => membership.epoch);
        }
        self.members.relink(self);
        self.append(facts::Fact::Membership(membership.clone()));
    }

    /// Adds a fact to what is known, and wakes who follows it.
    pub fn append(&self, fact: facts::Fact) {
        let head = self.known.lock().append(fact);
        self.head.send_replace(head);
    }

    /// Reads what is known.
    pub fn look<T>(&self, f: impl FnOnce(&facts::Known) -> T) -> T {
        f(self.known.lock().view())
    }

    /// Moves with each fact that is added.
    pub fn news(&self) -> tokio::sync::watch::Receiver<u64> {
        self.head.subscribe()
    }
}
