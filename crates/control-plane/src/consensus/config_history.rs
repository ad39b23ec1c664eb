//! History of the committed configurations, which tells a resent change from a new one.

use bytes::{Buf, BufMut};
use fleet_core::constants;
use fleet_core::digest::BodyDigest;
use prost::encoding::{decode_varint, encode_varint};
use std::collections::VecDeque;

/// A committed configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommittedConfig {
    /// The number that the operator gave it.
    pub version: u64,
    /// The digest of its body.
    pub digest: BodyDigest,
}

/// What the history proves about a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lookup {
    /// this configuration was committed
    Committed,
    /// this configuration was not committed: the history covers its number
    NotCommitted,
    /// unknown: its number is older than the history covers
    BeforeHistory,
}

/// The newest committed configurations, without a gap up to the current one.
///
/// Version numbers increase, so a number above `floor` that is not listed was never committed. The history is stored as
/// one block of bytes: the floor, then for each entry the difference to the previous number (a varint) and the digest,
/// 17 to 26 bytes per entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommittedHistory {
    /// Numbers up to this one are no longer covered; 0 if the history is complete.
    floor: u64,
    /// In the order of their numbers.
    entries: VecDeque<CommittedConfig>,
}

impl CommittedHistory {
    /// Decodes a block. If it is missing, damaged or doesn't end with `current_version`, the history covers no number
    /// up to that version.
    pub fn decode(block: &[u8], current_version: u64) -> CommittedHistory {
        let complete = Self::read(block).filter(|history| history.newest() == current_version);
        complete.unwrap_or(CommittedHistory { floor: current_version, entries: VecDeque::new() })
    }

    fn read(mut block: &[u8]) -> Option<CommittedHistory> {
        let floor = decode_varint(&mut block).ok()?;
        let mut history = CommittedHistory { floor, entries: VecDeque::new() };
        while block.has_remaining() {
            let increment = decode_varint(&mut block).ok().filter(|increment| *increment > 0)?;
            let version = history.newest().checked_add(increment)?;
            let (digest, rest) = block.split_at_checked(BodyDigest::BYTES)?;
            block = rest;
            history
                .entries
                .push_back(CommittedConfig { version, digest: BodyDigest::from_bytes(digest)? });
        }
        Some(history)
    }

    /// Encodes the history as a block for [`CommittedHistory::decode`].
    pub fn encode(&self) -> bytes::Bytes {
        let mut block = bytes::BytesMut::new();
        encode_varint(self.floor, &mut block);
        let mut previous = self.floor;
        for entry in &self.entries {
            encode_varint(entry.version - previous, &mut block);
            block.put_slice(entry.digest.as_bytes());
            previous = entry.version;
        }
        block.freeze()
    }

    /// The number of the current configuration; 0 before the first.
    fn newest(&self) -> u64 {
        self.entries.back().map_or(self.floor, |entry| entry.version)
    }

    /// Appends a committed configuration, and drops the oldest one beyond
    /// [`constants::COMMITTED_CONFIGS_CAPACITY`].
    pub fn push(&mut self, committed: CommittedConfig) {
        self.push_within(committed, constants::COMMITTED_CONFIGS_CAPACITY);
    }

    fn push_within(&mut self, committed: CommittedConfig, capacity: usize) {
        self.entries.push_back(committed);
        if self.entries.len() <= capacity {
            return;
        }
        if let Some(oldest) = self.entries.pop_front() {
            self.floor = oldest.version;
        }
    }

    /// Whether exactly this configuration, with its number and digest, was committed.
    pub fn find(&self, change: &CommittedConfig) -> Lookup {
        if self.floor > 0 && change.version <= self.floor {
            return Lookup::BeforeHistory;
        }
        let found = self.entries.binary_search_by_key(&change.version, |entry| entry.version);
        match found {
            Ok(index) if self.entries[index] == *change => Lookup::Committed,
            _ => Lookup::NotCommitted,
        }
    }
}

#[cfg(test)]
#[path = "config_history_tests.rs"]
mod tests;
