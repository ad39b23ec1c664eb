//! Duties of one node at a time: a lease of a majority, a fence that rises on disk.

pub mod lease;
mod lease_holder;

pub use lease_holder::{grant, release_all, run_lease_holder};

use fleet_core::constants;
use lease::{FencedLease, Grantor, LeaseHolder, LeasePolicy};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Brings engines to named weights; the only duty that gives orders to engines.
pub const ROLLOUT_LEASE: &str = "roll-out";
/// Keeps the ring of invalidations and what engines are believed to hold.
pub const INDEX_OWNER_LEASE: &str = "index-keeper";

/// All that a controller knows of duties: what it granted, what it holds, and the state of each.
pub struct Leases {
    grantor: parking_lot::Mutex<Grantor>,
    holders: parking_lot::Mutex<hashbrown::HashMap<&'static str, LeaseHolder>>,
    messages: AtomicU64,
    /// the index-keeper's state, where this node is it
    pub index_owner: parking_lot::Mutex<Option<Arc<crate::index_owner::IndexOwner>>>,
    /// the roll-out's state, kept also between two leases
    pub plan: parking_lot::Mutex<crate::rollout::plan::Plan>,
}

impl Leases {
    /// Of a node that starts; its former incarnation may have granted what has not ended for so long.
    pub fn new(closed: Option<Duration>, incarnation: u64) -> Self {
        let holders = [ROLLOUT_LEASE, INDEX_OWNER_LEASE]
            .map(|lease_name| (lease_name, LeaseHolder::new(incarnation)));
        Leases {
            grantor: parking_lot::Mutex::new(Grantor::new(closed.map(|c| Instant::now() + c))),
            holders: parking_lot::Mutex::new(holders.into_iter().collect()),
            messages: AtomicU64::new(1),
            index_owner: parking_lot::Mutex::default(),
            plan: parking_lot::Mutex::default(),
        }
    }

    /// A member that has just got its vote doesn't know what the former members granted.
    pub fn close_for(&self, lease: Duration) {
        self.grantor.lock().close_until(Instant::now() + lease);
    }

    /// The right to act for a duty now.
    pub fn fenced_lease(&self, lease_name: &str) -> Option<FencedLease> {
        self.holders.lock().get(lease_name).and_then(|h| h.fenced_lease(Instant::now()))
    }

    /// The fence to act under now.
    pub fn fencing_token(&self, lease_name: &str) -> Option<u64> {
        self.fenced_lease(lease_name).map(|m| m.fencing_token)
    }

    /// Which node this member granted a duty to, and until when, if that lease runs.
    pub fn granted(&self, lease_name: &str, now: Instant) -> Option<(String, Instant)> {
        let grantor = self.grantor.lock();
        grantor.granted(lease_name, now).map(|(node, until)| (node.to_owned(), until))
    }

    fn with<T>(&self, lease_name: &'static str, f: impl FnOnce(&mut LeaseHolder) -> T) -> T {
        f(self.holders.lock().entry(lease_name).or_insert_with(|| LeaseHolder::new(0)))
    }

    fn next_message(&self) -> u64 {
        self.messages.fetch_add(1, Ordering::Relaxed)
    }
}

/// How a duty is leased: as the platform bounds orders, or short where none are given.
fn policy(bound: Duration, lease_name: &str) -> LeasePolicy {
    let commands_engines = lease_name == ROLLOUT_LEASE;
    let lease = if commands_engines { bound } else { bound.min(constants::INDEX_LEASE_DURATION) };
    LeasePolicy { lease, commands_engines }
}
