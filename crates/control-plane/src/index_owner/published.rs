//! An index of cached prefixes together with the ring of its invalidations, as published to readers.
//!
//! The index owner fills it from the holders, a relay from the owner's ring; `feed` serves readers from it.

use super::IndexOwnershipDependencies;
use super::index::Index;
use super::throttle::SnapshotThrottle;
use crate::membership::routers::Routers;
use crate::process::Process;
use fleet_core::constants;
use fleet_core::wire::{Body, FleetUpdate, Invalidation, RingEntry, RingHead};
use invalidation::pending_change::PendingChange;
use invalidation::ring::Ring;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::time::Instant;

/// The index and its ring. Lock order: the index, then the throttle; no other lock is taken while one of the others is
/// held.
pub struct PublishedIndex {
    process: Arc<Process>,
    routers: Arc<Routers>,
    /// No snapshot is sent before this time: the contents of most holders would still be missing from it.
    pub(super) serves_from: Instant,
    /// Fencing token of the index owner, also on a relay.
    pub(super) fencing_token: u64,
    /// Identifies this ring. A relay chooses its own, since its entries are numbered independently of the owner's.
    pub(super) incarnation: u64,
    pub(super) ring: Ring<RingEntry>,
    pub(super) index: Mutex<Index>,
    /// Time of each reader's last request.
    pub(super) readers: Mutex<hashbrown::HashMap<u64, Instant>>,
    pub(super) throttle: Mutex<SnapshotThrottle>,
}

impl PublishedIndex {
    /// Creates an empty index with an empty ring.
    pub fn new(
        dependencies: &IndexOwnershipDependencies,
        fencing_token: u64,
        incarnation: u64,
        serves_from: Instant,
    ) -> PublishedIndex {
        PublishedIndex {
            process: dependencies.process.clone(),
            routers: dependencies.routers.clone(),
            serves_from,
            fencing_token,
            incarnation,
            ring: Ring::new(
                constants::RING_SLOTS,
                constants::RING_BATCH,
                constants::RING_LAG_THRESHOLD,
            ),
            index: Mutex::default(),
            readers: Mutex::default(),
            throttle: Mutex::default(),
        }
    }

    /// The current head of the ring, with this node as the address to read it from.
    pub fn head(&self) -> RingHead {
        RingHead {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            head: self.ring.head(),
            owner: self.process.node.ip.to_string(),
            finding_count: self.index.lock().findings_total(),
        }
    }

    /// Applies the entries to the index, then publishes them, and notifies the readers that lag behind.
    pub fn commit(&self, entries: impl IntoIterator<Item = Invalidation>) {
        let lagging = {
            let mut index = self.index.lock();
            let mut change = PendingChange::begin(&mut *index);
            for invalidation in entries {
                change.add(RingEntry { scope: 0, invalidation: Some(invalidation) });
            }
            change.commit(&self.ring)
        };
        for reader in lagging {
            let update = FleetUpdate { catch_up: true, ..Default::default() };
            self.routers.push(reader, Body::FleetUpdate(update));
        }
    }

    /// Pushes an update to the routers that read this ring.
    pub fn push_to_readers(&self, update: &FleetUpdate) {
        let readers: Vec<u64> = self.readers.lock().keys().copied().collect();
        self.routers.push_to_prompt_readers(&readers, &Body::FleetUpdate(update.clone()));
    }

    /// Drops the cursors of readers that have sent no request within [`constants::READER_TIMEOUT`], so that they don't
    /// hold back the ring.
    pub fn drop_inactive_readers(&self) {
        let mut inactive = Vec::new();
        self.readers.lock().retain(|reader, last_read| {
            let is_live = last_read.elapsed() <= constants::READER_TIMEOUT;
            if !is_live {
                inactive.push(*reader);
            }
            is_live
        });
        for reader in inactive {
            self.ring.remove_reader(reader);
        }
    }
}
