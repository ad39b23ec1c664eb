//! Which configurations were committed, in their order: tells a repeated change from a new one.

use bytes::{Buf, BufMut};
use fleet_core::constants;
use fleet_core::digest::BodyDigest;
use prost::encoding::{decode_varint, encode_varint};
use std::collections::VecDeque;

/// One configuration of the chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommittedConfig {
    /// its number
    pub version: u64,
    /// the digest of its body
    pub digest: BodyDigest,
}

/// What the history can say about a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// it is in the chain
    Committed,
    /// it is not in the chain: all numbers from its own upwards are known
    NotCommitted,
    /// its number lies before what the history still covers
    BeforeHistory,
}

/// The newest part of the chain of configurations, without a gap up to the one in force.
///
/// Numbers rise along the chain, so a number above `floor` that is not listed was never taken.
/// It is kept as one block of bytes: the floor, then for each entry the step from the number
/// before it (a varint) and the digest, 17 to 26 bytes in all.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommittedHistory {
    floor: u64,
    entries: VecDeque<CommittedConfig>,
}

impl CommittedHistory {
    /// Reads a block; one that is missing or damaged covers nothing up to `current`.
    pub fn decode(block: &[u8], current: u64) -> CommittedHistory {
        let complete = Self::read(block).filter(|history| history.newest() == current);
        complete.unwrap_or(CommittedHistory { floor: current, entries: VecDeque::new() })
    }

    fn read(mut block: &[u8]) -> Option<CommittedHistory> {
        let floor = decode_varint(&mut block).ok()?;
        let mut history = CommittedHistory { floor, entries: VecDeque::new() };
        while block.has_remaining() {
            let step = decode_varint(&mut block).ok().filter(|step| *step > 0)?;
            let version = history.newest().checked_add(step)?;
            let (digest, tail) = block.split_at_checked(BodyDigest::BYTES)?;
            block = tail;
            history
                .entries
                .push_back(CommittedConfig { version, digest: BodyDigest::from_bytes(digest)? });
        }
        Some(history)
    }

    /// The block to be kept.
    pub fn encode(&self) -> bytes::Bytes {
        let mut block = bytes::BytesMut::new();
        encode_varint(self.floor, &mut block);
        let mut before = self.floor;
        for entry in &self.entries {
            encode_varint(entry.version - before, &mut block);
            block.put_slice(entry.digest.as_bytes());
            before = entry.version;
        }
        block.freeze()
    }

    /// The number of the configuration in force, 0 before the first.
    fn newest(&self) -> u64 {
        self.entries.back().map_or(self.floor, |entry| entry.version)
    }

    /// Appends the configuration that comes into force; the oldest gives way beyond the bound.
    pub fn push(&mut self, committed: CommittedConfig) {
        self.push_within(committed, constants::COMMITTED_CONFIGS_CAPACITY);
    }

    fn push_within(&mut self, committed: CommittedConfig, most: usize) {
        self.entries.push_back(committed);
        if self.entries.len() <= most {
            return;
        }
        if let Some(oldest) = self.entries.pop_front() {
            self.floor = oldest.version;
        }
    }

    /// Whether this very change is in the chain.
    pub fn find(&self, change: &CommittedConfig) -> Lookup {
        if self.floor > 0 && change.version <= self.floor {
            return Lookup::BeforeHistory;
        }
        let at = self.entries.binary_search_by_key(&change.version, |entry| entry.version);
        match at {
            Ok(at) if self.entries[at] == *change => Lookup::Committed,
            _ => Lookup::NotCommitted,
        }
    }
}

#[cfg(test)]
#[path = "config_history_tests.rs"]
mod tests;
