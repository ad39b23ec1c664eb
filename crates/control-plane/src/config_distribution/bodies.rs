//! Compressed bodies of the most recent configurations, and the deltas between them.

use fleet_core::digest::BodyDigest;
use fleet_core::{compression, constants, delta};
use prost::Message;
use std::collections::VecDeque;

/// Compressed bodies by digest. Bounded in number and in bytes; the oldest is evicted first.
#[derive(Default)]
pub struct Bodies {
    retained: VecDeque<(BodyDigest, bytes::Bytes)>,
    bytes: usize,
    deltas: VecDeque<RetainedDelta>,
}

/// A compressed delta, kept for other routers that have the same base.
struct RetainedDelta {
    base: BodyDigest,
    target: BodyDigest,
    compressed: bytes::Bytes,
}

impl Bodies {
    /// Stores a compressed body, unless it is stored already.
    pub fn retain(&mut self, digest: BodyDigest, compressed: bytes::Bytes) {
        if self.compressed(digest).is_some() {
            return;
        }
        self.bytes += compressed.len();
        self.retained.push_back((digest, compressed));
        while self.retained.len() > constants::PREVIOUS_CONFIGS_CAPACITY
            || self.bytes > constants::PREVIOUS_CONFIGS_CAPACITY_BYTES
        {
            let Some((_, oldest)) = self.retained.pop_front() else { return };
            self.bytes -= oldest.len();
        }
    }

    fn compressed(&self, digest: BodyDigest) -> Option<&bytes::Bytes> {
        self.retained
            .iter()
            .find(|(retained, _)| *retained == digest)
            .map(|(_, compressed)| compressed)
    }

    fn body(&self, digest: BodyDigest) -> Option<bytes::Bytes> {
        compression::decompress(self.compressed(digest)?, constants::CONFIG_MAX_BYTES).ok()
    }

    /// The compressed delta from one body to another; `None` unless both are still retained. Computed once for all
    /// routers.
    pub fn delta(&mut self, base: BodyDigest, target: BodyDigest) -> Option<bytes::Bytes> {
        let retained =
            self.deltas.iter().find(|delta| delta.base == base && delta.target == target);
        if let Some(retained) = retained {
            return Some(retained.compressed.clone());
        }
        let delta = delta::between(&self.body(base)?, &self.body(target)?);
        let compressed = compression::compress(&delta.encode_to_vec());
        self.deltas.push_back(RetainedDelta { base, target, compressed: compressed.clone() });
        if self.deltas.len() > constants::DELTA_CACHE_CAPACITY {
            self.deltas.pop_front();
        }
        Some(compressed)
    }
}

#[cfg(test)]
#[path = "bodies_tests.rs"]
mod tests;
