//! The last bodies that were in force, packed, and the deltas between them.

use fleet_core::digest::BodyDigest;
use fleet_core::{constants, delta, packing};
use prost::Message;
use std::collections::VecDeque;

/// Bodies by their digests, bounded in number and in bytes; the oldest gives way.
#[derive(Default)]
pub struct Bodies {
    retained: VecDeque<(BodyDigest, bytes::Bytes)>,
    bytes: usize,
    deltas: VecDeque<RetainedDelta>,
}

/// A packed delta, for the next router that has the same body.
struct RetainedDelta {
    former: BodyDigest,
    new: BodyDigest,
    packed: bytes::Bytes,
}

impl Bodies {
    /// Keeps a packed body.
    pub fn remember(&mut self, digest: BodyDigest, packed: bytes::Bytes) {
        if self.packed(digest).is_some() {
            return;
        }
        self.bytes += packed.len();
        self.retained.push_back((digest, packed));
        while self.retained.len() > constants::BODIES_CAPACITY
            || self.bytes > constants::BODIES_CAPACITY_BYTES
        {
            let Some((_, oldest)) = self.retained.pop_front() else { return };
            self.bytes -= oldest.len();
        }
    }

    fn packed(&self, digest: BodyDigest) -> Option<&bytes::Bytes> {
        self.retained.iter().find(|(retained, _)| *retained == digest).map(|(_, packed)| packed)
    }

    fn body(&self, digest: BodyDigest) -> Option<bytes::Bytes> {
        packing::unpack(self.packed(digest)?, constants::CONFIG_BYTES).ok()
    }

    /// The packed delta between two bodies, if both are still kept; reckoned once for all routers.
    pub fn delta(&mut self, former: BodyDigest, new: BodyDigest) -> Option<bytes::Bytes> {
        let retained = self.deltas.iter().find(|delta| delta.former == former && delta.new == new);
        if let Some(retained) = retained {
            return Some(retained.packed.clone());
        }
        let delta = delta::between(&self.body(former)?, &self.body(new)?);
        let packed = packing::pack(&delta.encode_to_vec());
        self.deltas.push_back(RetainedDelta { former, new, packed: packed.clone() });
        if self.deltas.len() > constants::DELTAS_CAPACITY {
            self.deltas.pop_front();
        }
        Some(packed)
    }
}

#[cfg(test)]
#[path = "bodies_tests.rs"]
mod tests;
