//! Responses of the index owner, or of a relay, to readers of the ring.

use super::published::PublishedIndex;
use fleet_core::constants;
use fleet_core::wire::{RingRequest, RingResponse};
use invalidation::ring::ReadResult;
use tokio::time::Instant;

/// Kind of a ring reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reader {
    /// A router; there may be hundreds.
    Router,
    /// A controller that relays the ring to routers. Its snapshots are not throttled: the sooner it has one, the sooner
    /// all of its routers do.
    Relay,
}

impl PublishedIndex {
    /// Returns the entries after the reader's cursor, or a reset with a snapshot. A response without a head asks the
    /// reader to retry later.
    pub fn answer(&self, request: &RingRequest, reader: Reader) -> RingResponse {
        self.readers.lock().insert(request.reader, Instant::now());
        self.entries(request).unwrap_or_else(|| self.snapshot_response(request.reader, reader))
    }

    /// Entries and findings after the reader's cursor; `None` if the cursor is unknown here or was overrun.
    fn entries(&self, request: &RingRequest) -> Option<RingResponse> {
        let is_same_ring =
            request.fencing_token == self.fencing_token && request.incarnation == self.incarnation;
        if !is_same_ring || request.request_snapshot {
            return None;
        }
        let cursor =
            self.ring.cursor(request.reader).filter(|cursor| cursor.next() == request.cursor)?;
        let snapshot = self.index.lock().findings_since(request.finding_count);
        let entries = match self.ring.read(&cursor, constants::RING_LAG_THRESHOLD as usize) {
            ReadResult::UpToDate => Vec::new(),
            ReadResult::Entries(entries) => entries,
            ReadResult::Reset(_) => return None,
        };
        let head = Some(self.head());
        Some(RingResponse { head, reset: false, cursor: cursor.next(), entries, snapshot })
    }

    /// A snapshot, or a response without a head while a new owner is still learning from the holders, or while the
    /// snapshots in flight already use up the bandwidth.
    fn snapshot_response(&self, reader_id: u64, reader: Reader) -> RingResponse {
        let now = Instant::now();
        let (snapshot, cursor) = {
            let index = self.index.lock();
            let is_granted = self.throttle.lock().try_acquire(now, index.snapshot_bytes());
            if now < self.serves_from || !(is_granted || reader == Reader::Relay) {
                return RingResponse::default();
            }
            (index.snapshot(), self.ring.register_reader(reader_id).1)
        };
        let head = Some(self.head());
        RingResponse { head, reset: true, cursor, snapshot, entries: Vec::new() }
    }
}
