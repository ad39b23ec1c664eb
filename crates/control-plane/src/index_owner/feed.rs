//! What the index owner, or a relay, answers those who read the ring.

use super::published::PublishedIndex;
use fleet_core::constants;
use fleet_core::wire::{RingRequest, RingResponse};
use invalidation::ring::Read;
use tokio::time::Instant;

/// Who reads the ring.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reader {
    /// A router, one of hundreds.
    Router,
    /// A controller that passes the ring on to routers: the sooner it has a snapshot, the sooner all of them do.
    Relay,
}

impl PublishedIndex {
    /// Entries behind the reader's cursor, or a reset with a snapshot. An answer without a head means later.
    pub fn answer(&self, request: &RingRequest, reader: Reader) -> RingResponse {
        self.readers.lock().insert(request.reader, Instant::now());
        self.entries(request).unwrap_or_else(|| self.refill(request.reader, reader))
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
    fn refill(&self, number: u64, reader: Reader) -> RingResponse {
        let now = Instant::now();
        let (snapshot, cursor) = {
            let index = self.index.lock();
            let is_granted = self.throttle.lock().try_acquire(now, index.snapshot_bytes());
            if now < self.serves_from || !(is_granted || reader == Reader::Relay) {
                return RingResponse::default();
            }
            (index.snapshot(), self.ring.enter(number).1)
        };
        let head = Some(self.head());
        RingResponse { head, reset: true, cursor, snapshot, entries: Vec::new() }
    }
}
