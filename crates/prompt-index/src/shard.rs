//! A map in independent parts, each with a lock of its own, so that few wait for each other.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::sync::{Mutex, held};

/// 2^64 over the golden ratio: scatters what is alike.
const FIBONACCI: u64 = 0x9E37_79B9_7F4A_7C15;
const BITS: u32 = if cfg!(feature = "checker") { 1 } else { 8 };
pub const SHARDS: usize = 1 << BITS;

pub type Map<V> = hashbrown::HashMap<u64, V, ahash::RandomState>;

/// On a cache line of its own.
#[repr(align(64))]
struct Shard<V>(Mutex<Map<V>>);

/// Lock order: one shard at a time, never two.
pub struct Shards<V>(Box<[Shard<V>]>);

impl<V> Default for Shards<V> {
    fn default() -> Self {
        let hasher = ahash::RandomState::with_seeds(1, 2, 3, 4);
        Shards((0..SHARDS).map(|_| Shard(Mutex::new(Map::with_hasher(hasher.clone())))).collect())
    }
}

pub fn pick(hash: u64) -> usize {
    (hash.wrapping_mul(FIBONACCI) >> (64 - BITS)) as usize
}

impl<V> Shards<V> {
    pub fn with<T>(&self, hash: u64, f: impl FnOnce(&mut Map<V>) -> T) -> T {
        self.at(pick(hash), f)
    }

    pub fn at<T>(&self, shard: usize, f: impl FnOnce(&mut Map<V>) -> T) -> T {
        f(&mut held(&self.0[shard].0))
    }

    pub fn len(&self) -> usize {
        (0..SHARDS).map(|i| self.at(i, |m| m.len())).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
