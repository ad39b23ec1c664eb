//! A reader of the ring: where it stands, and what an answer of the index owner or of a relay does to it.
//!
//! Routers read the ring, and so do the controllers that relay it ([`ring`](crate::ring) is the writer's side).

use crate::cache::{self, Cache};
use fleet_core::wire::{CachedParts, RingEntry, RingRequest, RingResponse};

/// What one fetch brought.
pub struct ViewUpdate {
    /// The whole view gives way.
    pub reset: bool,
    /// What holders were found to keep; on a reset, all of it.
    pub snapshot: Vec<CachedParts>,
    /// Invalidations, to be applied after the findings.
    pub entries: Vec<RingEntry>,
}

impl ViewUpdate {
    /// Applies all of it to a cache.
    pub fn apply(&self, cache: &mut impl Cache) {
        if self.reset {
            cache.reset();
        }
        cache::refill(cache, &self.snapshot);
        for entry in &self.entries {
            cache::apply(cache, entry, |_| true);
        }
    }
}

/// Where this reader stands, and in which incarnation of the ring.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
pub struct RingPosition {
    fencing_token: u64,
    incarnation: u64,
    cursor: u64,
    found: u64,
}

impl RingPosition {
    /// A place in a ring.
    pub fn new(fencing_token: u64, incarnation: u64, cursor: u64, found: u64) -> RingPosition {
        RingPosition { fencing_token, incarnation, cursor, found }
    }

    /// The index owner's fencing token.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// The incarnation of the ring.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Position of the first entry that the reader lacks.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// What this reader asks for next.
    pub fn request(&self, reader: u64) -> RingRequest {
        RingRequest {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            cursor: self.cursor,
            reader,
            refill: *self == RingPosition::default(),
            found: self.found,
        }
    }
}

/// What an answer of the index owner does to the reader: its next place, and what to apply. None if the
/// answer cannot be used: it is of an older index owner, of another ring without a reset, or without a head.
pub fn step(
    position: RingPosition,
    answer: RingResponse,
) -> Option<(RingPosition, Option<ViewUpdate>)> {
    let head = answer.head?;
    if head.fencing_token < position.fencing_token {
        return None;
    }
    if !answer.reset
        && (head.fencing_token, head.incarnation) != (position.fencing_token, position.incarnation)
    {
        return None;
    }
    let next = RingPosition {
        fencing_token: head.fencing_token,
        incarnation: head.incarnation,
        cursor: answer.cursor,
        found: head.found,
    };
    let RingResponse { reset, snapshot, entries, .. } = answer;
    let has_changes = reset || !entries.is_empty() || !snapshot.is_empty();
    Some((next, has_changes.then_some(ViewUpdate { reset, snapshot, entries })))
}
