//! Duties of one node at a time: a lease of a majority, a fence that rises on disk.

mod holding;
pub mod keeper;
pub mod lease;
pub mod rollout;

pub use holding::{grant, holding, leave_all};

use fleet_core::constants;
use lease::{Grantor, Holder, Mandate, Terms};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Brings engines to named weights; the only duty that gives orders to engines.
pub const ROLL_OUT: &str = "roll-out";
/// Keeps the ring of invalidations and what engines are believed to hold.
pub const INDEX_KEEPER: &str = "index-keeper";

/// All that a controller knows of duties: what it granted, what it holds, and the state of each.
pub struct Duties {
    grantor: parking_lot::Mutex<Grantor>,
    holders: parking_lot::Mutex<hashbrown::HashMap<&'static str, Holder>>,
    messages: AtomicU64,
    /// the index-keeper's state, where this node is it
    pub keeper: parking_lot::Mutex<Option<Arc<keeper::Keeper>>>,
    /// the roll-out's state, kept also between two leases
    pub plan: parking_lot::Mutex<rollout::plan::Plan>,
}

impl Duties {
    /// Of a node that starts; its former incarnation may have granted what has not ended for so long.
    pub fn new(closed: Option<Duration>, incarnation: u64) -> Self {
        let holders = [ROLL_OUT, INDEX_KEEPER].map(|duty| (duty, Holder::new(incarnation)));
        Duties {
            grantor: parking_lot::Mutex::new(Grantor::new(closed.map(|c| Instant::now() + c))),
            holders: parking_lot::Mutex::new(holders.into_iter().collect()),
            messages: AtomicU64::new(1),
            keeper: parking_lot::Mutex::default(),
            plan: parking_lot::Mutex::default(),
        }
    }

    /// A member that has just got its vote doesn't know what the former members granted.
    pub fn close_for(&self, lease: Duration) {
        self.grantor.lock().close_until(Instant::now() + lease);
    }

    /// The right to act for a duty now.
    pub fn mandate(&self, duty: &str) -> Option<Mandate> {
        self.holders.lock().get(duty).and_then(|h| h.mandate(Instant::now()))
    }

    /// The fence to act under now.
    pub fn fence(&self, duty: &str) -> Option<u64> {
        self.mandate(duty).map(|m| m.fence)
    }

    /// Which node this member granted a duty to, and until when, if that lease runs.
    pub fn granted(&self, duty: &str, now: Instant) -> Option<(String, Instant)> {
        let grantor = self.grantor.lock();
        grantor.granted(duty, now).map(|(node, until)| (node.to_owned(), until))
    }

    fn with<T>(&self, duty: &'static str, f: impl FnOnce(&mut Holder) -> T) -> T {
        f(self.holders.lock().entry(duty).or_insert_with(|| Holder::new(0)))
    }

    fn next_message(&self) -> u64 {
        self.messages.fetch_add(1, Ordering::Relaxed)
    }
}

/// How a duty is leased: as the platform bounds orders, or short where none are given.
fn terms(bound: Duration, duty: &str) -> Terms {
    let orders = duty == ROLL_OUT;
    let lease = if orders { bound } else { bound.min(constants::KEEPER_LEASE) };
    Terms { lease, orders }
}
