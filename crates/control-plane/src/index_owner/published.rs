//! An index of cached prefixes with the ring of what becomes void in it, as readers get them.
//!
//! The index owner fills it from the holders, a relay from the owner's ring; `feed` answers readers from it.

use super::IndexOwnershipParts;
use super::index::Index;
use super::throttle::SnapshotThrottle;
use crate::membership::routers::Routers;
use crate::process::Process;
use fleet_core::constants;
use fleet_core::wire::{Body, FleetUpdate, Invalidation, RingEntry, RingHead};
use invalidation::draft::Draft;
use invalidation::ring::Ring;
use parking_lot::Mutex;
use std::sync::Arc;
use tokio::time::Instant;

/// The index and its ring. Order of locks: the index, then the throttle; the others are leaves.
pub struct PublishedIndex {
    process: Arc<Process>,
    routers: Arc<Routers>,
    /// No snapshot is given before: it would lack what most holders have.
    pub(super) serves_from: Instant,
    /// The index owner's fencing token, also at a relay.
    pub(super) fencing_token: u64,
    /// Of this ring, which a relay numbers itself.
    pub(super) incarnation: u64,
    pub(super) ring: Ring<RingEntry>,
    pub(super) index: Mutex<Index>,
    /// When each reader of the ring came last.
    pub(super) readers: Mutex<hashbrown::HashMap<u64, Instant>>,
    pub(super) throttle: Mutex<SnapshotThrottle>,
}

impl PublishedIndex {
    /// An empty index with an empty ring.
    pub fn new(
        parts: &IndexOwnershipParts,
        fencing_token: u64,
        incarnation: u64,
        serves_from: Instant,
    ) -> PublishedIndex {
        PublishedIndex {
            process: parts.process.clone(),
            routers: parts.routers.clone(),
            serves_from,
            fencing_token,
            incarnation,
            ring: Ring::new(constants::RING_SLOTS, constants::RING_BATCH, constants::RING_LAG),
            index: Mutex::default(),
            readers: Mutex::default(),
            throttle: Mutex::default(),
        }
    }

    /// Where the ring stands, and that it is read here.
    pub fn head(&self) -> RingHead {
        RingHead {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            head: self.ring.head(),
            owner: self.process.node.ip.to_string(),
            found: self.index.lock().found_so_far(),
        }
    }

    /// One change: applied to the index at once, published when it is complete.
    pub fn commit(&self, entries: impl IntoIterator<Item = Invalidation>) {
        let lagging = {
            let mut index = self.index.lock();
            let mut draft = Draft::open(&mut *index);
            for what in entries {
                draft.add(RingEntry { scope: 0, what: Some(what) });
            }
            draft.commit(&self.ring)
        };
        for reader in lagging {
            let nudge = FleetUpdate { nudge: true, ..Default::default() };
            self.routers.push(reader, Body::FleetUpdate(nudge));
        }
    }

    /// Pushes an update to the routers that read the ring here.
    pub fn push_to_readers(&self, update: &FleetUpdate) {
        let readers: Vec<u64> = self.readers.lock().keys().copied().collect();
        self.routers.push_to_prompt_readers(&readers, &Body::FleetUpdate(update.clone()));
    }

    /// Readers that have not come for long lose their cursors, so that they don't hold the ring up.
    pub fn drop_stuck_readers(&self) {
        let mut stuck = Vec::new();
        self.readers.lock().retain(|reader, last_read| {
            let is_live = last_read.elapsed() <= constants::READER_TIMEOUT;
            if !is_live {
                stuck.push(*reader);
            }
            is_live
        });
        for reader in stuck {
            self.ring.drop_reader(reader);
        }
    }
}
