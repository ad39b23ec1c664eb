//! A map in independent parts, each with a lock of its own, so that few wait for each other.

use crate::sync::{Mutex, lock};

/// 2^64 over the golden ratio: scatters what is alike.
const FIBONACCI: u64 = 0x9E37_79B9_7F4A_7C15;
const BITS: u32 = if cfg!(feature = "checker") { 1 } else { 8 };
/// Independent parts of a map.
pub const SHARDS: usize = 1 << BITS;

/// One part of a map.
pub type Map<V> = hashbrown::HashMap<u64, V, ahash::RandomState>;

/// On a cache line of its own.
#[repr(align(64))]
struct Shard<V>(Mutex<Map<V>>);

/// A map in independent parts. Lock order: one shard at a time, never two.
pub struct Shards<V>(Box<[Shard<V>]>);

impl<V> Default for Shards<V> {
    fn default() -> Self {
        let hasher = ahash::RandomState::with_seeds(1, 2, 3, 4);
        Shards((0..SHARDS).map(|_| Shard(Mutex::new(Map::with_hasher(hasher.clone())))).collect())
    }
}

/// The part that a key belongs to.
pub fn pick(hash: u64) -> usize {
    (hash.wrapping_mul(FIBONACCI) >> (64 - BITS)) as usize
}

impl<V> Shards<V> {
    /// Runs `work` under the lock of the part that the key belongs to.
    pub fn with<T>(&self, hash: u64, work: impl FnOnce(&mut Map<V>) -> T) -> T {
        self.at(pick(hash), work)
    }

    /// Runs `work` under the lock of one part, by its number.
    pub fn at<T>(&self, shard: usize, work: impl FnOnce(&mut Map<V>) -> T) -> T {
        work(&mut lock(&self.0[shard].0))
    }

    /// Entries of all parts; counted one part after the other.
    pub fn len(&self) -> usize {
        (0..SHARDS).map(|i| self.at(i, |map| map.len())).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
