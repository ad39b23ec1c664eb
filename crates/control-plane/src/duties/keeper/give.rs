//! What routers hear of the ring, and tell of their own sends.

use super::super::INDEX_KEEPER;
use super::Keeper;
use crate::Controller;
use fleet_core::constants;
use fleet_core::wire::{CachedPrefixes, RingRequest, RingResponse};
use invalidation::ring::Read;
use std::sync::Arc;
use tokio::time::Instant;

/// What a router's own sends leave behind; nothing where another is the keeper.
pub fn hear_found(s: &Controller, f: &CachedPrefixes) {
    if let Some(keeper) = s.duties.keeper.lock().clone() {
        keeper.index.lock().hear(&f.held);
    }
}

/// What a router asks of the ring: entries behind its cursor, or a reset with a digest.
/// An answer without a head means later.
pub fn give(s: &Arc<Controller>, ask: &RingRequest) -> Option<RingResponse> {
    let keeper = s.duties.keeper.lock().clone()?;
    s.duties.fence(INDEX_KEEPER)?;
    keeper.readers.lock().insert(ask.reader, Instant::now());
    keeper.entries(s, ask).or_else(|| keeper.refill(s, ask.reader))
}

impl Keeper {
    /// Entries and findings behind the reader's cursor, where it is known here and not overrun.
    fn entries(&self, s: &Controller, ask: &RingRequest) -> Option<RingResponse> {
        let same = ask.fence == self.fence && ask.incarnation == self.incarnation;
        if !same || ask.refill {
            return None;
        }
        let cursor = self.ring.cursor(ask.reader).filter(|c| c.next() == ask.cursor)?;
        let digest = self.index.lock().since(ask.found);
        let entries = match self.ring.read(&cursor, constants::RING_LAG as usize) {
            Read::Nothing => Vec::new(),
            Read::Entries(entries) => entries,
            Read::Reset(_) => return None,
        };
        let head = Some(self.head(s));
        Some(RingResponse { head, reset: false, cursor: cursor.next(), entries, digest })
    }

    /// A digest, or later: a new keeper hears holders first, and gives no more than the line carries.
    fn refill(&self, s: &Controller, reader: u64) -> Option<RingResponse> {
        let now = Instant::now();
        let warm = now.duration_since(self.started) >= constants::KEEPER_WARM;
        let (digest, cursor) = {
            let index = self.index.lock();
            if !warm || !self.pace.lock().give(now, index.digest_bytes()) {
                return Some(RingResponse::default());
            }
            (index.digest(), self.ring.enter(reader).1)
        };
        let head = Some(self.head(s));
        Some(RingResponse { head, reset: true, cursor, digest, entries: Vec::new() })
    }
}
