//! The reader side of the ring: a reader's position, and how a response of the index owner or a relay advances it.
//!
//! Routers read the ring, and so do the controllers that relay it. [`ring`](crate::ring) is the writer side.

use crate::cache::{self, Cache};
use fleet_core::wire::{CachedParts, RingEntry, RingRequest, RingResponse};

/// Changes to apply to a cache, taken from one response.
pub struct ViewUpdate {
    /// Whether to clear the cache first.
    pub reset: bool,
    /// Parts newly found at holders; on a reset, all cached parts.
    pub snapshot: Vec<CachedParts>,
    /// Invalidations, to be applied after the snapshot.
    pub entries: Vec<RingEntry>,
}

impl ViewUpdate {
    /// Applies the reset, the snapshot and the entries to a cache, in this order.
    pub fn apply(&self, cache: &mut impl Cache) {
        if self.reset {
            cache.reset();
        }
        cache::apply_snapshot(cache, &self.snapshot);
        for entry in &self.entries {
            cache::apply(cache, entry, |_| true);
        }
    }
}

/// A reader's position, and the ring incarnation that it belongs to. The default value belongs to no ring.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
pub struct RingPosition {
    fencing_token: u64,
    incarnation: u64,
    cursor: u64,
    finding_count: u64,
}

impl RingPosition {
    /// A position in the ring with this fencing token and incarnation; `finding_count` is the number of findings seen.
    pub fn new(
        fencing_token: u64,
        incarnation: u64,
        cursor: u64,
        finding_count: u64,
    ) -> RingPosition {
        RingPosition { fencing_token, incarnation, cursor, finding_count }
    }

    /// The fencing token of the index owner whose ring this is; 0 before the first response.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// The random number that identifies the ring; 0 before the first response.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Position of the first entry that the reader has not received.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// The next request of the reader `reader`; it asks for a snapshot if no position is known yet.
    pub fn request(&self, reader: u64) -> RingRequest {
        RingRequest {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            cursor: self.cursor,
            reader,
            request_snapshot: *self == RingPosition::default(),
            finding_count: self.finding_count,
        }
    }
}

/// Advances a reader by one response: returns its next position and the update to apply, if there is one.
/// Returns `None` if the response is unusable: it comes from an older index owner, belongs to another ring without
/// being a reset, or has no head.
pub fn apply_response(
    position: RingPosition,
    response: RingResponse,
) -> Option<(RingPosition, Option<ViewUpdate>)> {
    let head = response.head?;
    if head.fencing_token < position.fencing_token {
        return None;
    }
    if !response.reset
        && (head.fencing_token, head.incarnation) != (position.fencing_token, position.incarnation)
    {
        return None;
    }
    let next = RingPosition {
        fencing_token: head.fencing_token,
        incarnation: head.incarnation,
        cursor: response.cursor,
        finding_count: head.finding_count,
    };
    let RingResponse { reset, snapshot, entries, .. } = response;
    let has_changes = reset || !entries.is_empty() || !snapshot.is_empty();
    Some((next, has_changes.then_some(ViewUpdate { reset, snapshot, entries })))
}
