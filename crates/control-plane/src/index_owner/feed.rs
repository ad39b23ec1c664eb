//! What the index owner answers routers that read the ring.

use super::IndexOwner;
use fleet_core::constants;
use fleet_core::wire::{RingRequest, RingResponse};
use invalidation::ring::Read;
use tokio::time::Instant;

impl IndexOwner {
    /// Entries behind the reader's cursor, or a reset with a snapshot. An answer without a head means later.
    pub fn answer(&self, request: &RingRequest) -> Option<RingResponse> {
        self.readers.lock().insert(request.reader, Instant::now());
        self.entries(request).or_else(|| self.refill(request.reader))
    }

    /// Entries and findings behind the reader's cursor, where it is known here and not overrun.
    fn entries(&self, request: &RingRequest) -> Option<RingResponse> {
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
        let head = Some(self.head());
        Some(RingResponse { head, reset: false, cursor: cursor.next(), entries, snapshot })
    }

    /// A snapshot, or later: a new owner learns from the holders first, and sends no more than its line carries.
    fn refill(&self, reader: u64) -> Option<RingResponse> {
        let now = Instant::now();
        let warm = now.duration_since(self.started) >= constants::INDEX_WARM_UP;
        let (snapshot, cursor) = {
            let index = self.index.lock();
            if !warm || !self.throttle.lock().try_acquire(now, index.snapshot_bytes()) {
                return Some(RingResponse::default());
            }
            (index.snapshot(), self.ring.enter(reader).1)
        };
        let head = Some(self.head());
        Some(RingResponse { head, reset: true, cursor, snapshot, entries: Vec::new() })
    }
}
