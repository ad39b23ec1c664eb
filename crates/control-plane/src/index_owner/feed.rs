//! What routers hear of the ring, and tell of their own sends.

use super::IndexOwner;
use crate::Controller;
use crate::leases::INDEX_OWNER_LEASE;
use fleet_core::constants;
use fleet_core::wire::{CachedPrefixes, RingRequest, RingResponse};
use invalidation::ring::Read;
use std::sync::Arc;
use tokio::time::Instant;

/// What a router's own sends leave behind; nothing where another is the keeper.
pub fn record_found(controller: &Controller, f: &CachedPrefixes) {
    if let Some(index_owner) = controller.leases.index_owner.lock().clone() {
        index_owner.index.lock().record_found(&f.entries);
    }
}

/// What a router asks of the ring: entries behind its cursor, or a reset with a digest.
/// An answer without a head means later.
pub fn answer_reader(controller: &Arc<Controller>, request: &RingRequest) -> Option<RingResponse> {
    let index_owner = controller.leases.index_owner.lock().clone()?;
    controller.leases.fencing_token(INDEX_OWNER_LEASE)?;
    index_owner.readers.lock().insert(request.reader, Instant::now());
    index_owner
        .entries(controller, request)
        .or_else(|| index_owner.refill(controller, request.reader))
}

impl IndexOwner {
    /// Entries and findings behind the reader's cursor, where it is known here and not overrun.
    fn entries(&self, controller: &Controller, request: &RingRequest) -> Option<RingResponse> {
        let same =
            request.fencing_token == self.fencing_token && request.incarnation == self.incarnation;
        if !same || request.refill {
            return None;
        }
        let cursor = self.ring.cursor(request.reader).filter(|c| c.next() == request.cursor)?;
        let snapshot = self.index.lock().since(request.found);
        let entries = match self.ring.read(&cursor, constants::RING_LAG as usize) {
            Read::Nothing => Vec::new(),
            Read::Entries(entries) => entries,
            Read::Reset(_) => return None,
        };
        let head = Some(self.head(controller));
        Some(RingResponse { head, reset: false, cursor: cursor.next(), entries, snapshot })
    }

    /// A digest, or later: a new keeper hears holders first, and gives no more than the line carries.
    fn refill(&self, controller: &Controller, reader: u64) -> Option<RingResponse> {
        let now = Instant::now();
        let warm = now.duration_since(self.started) >= constants::INDEX_WARM_UP;
        let (snapshot, cursor) = {
            let index = self.index.lock();
            if !warm || !self.throttle.lock().try_acquire(now, index.snapshot_bytes()) {
                return Some(RingResponse::default());
            }
            (index.snapshot(), self.ring.enter(reader).1)
        };
        let head = Some(self.head(controller));
        Some(RingResponse { head, reset: true, cursor, snapshot, entries: Vec::new() })
    }
}
