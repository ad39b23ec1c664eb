//! A hash map split into shards, each with its own lock, to reduce lock contention.

use crate::sync::{Mutex, lock};

/// 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing: it spreads similar keys over the shards.
const FIBONACCI: u64 = 0x9E37_79B9_7F4A_7C15;
const BITS: u32 = if cfg!(feature = "checker") { 1 } else { 8 };
/// Number of shards of a map.
pub const SHARDS: usize = 1 << BITS;

/// The map of one shard.
pub type Map<V> = hashbrown::HashMap<u64, V, ahash::RandomState>;

/// Aligned to a cache line, so that the locks of two shards don't share one.
#[repr(align(64))]
struct Shard<V>(Mutex<Map<V>>);

/// A sharded hash map. At most one shard may be locked at a time.
pub struct Shards<V>(Box<[Shard<V>]>);

impl<V> Default for Shards<V> {
    fn default() -> Self {
        let hasher = ahash::RandomState::with_seeds(1, 2, 3, 4);
        Shards((0..SHARDS).map(|_| Shard(Mutex::new(Map::with_hasher(hasher.clone())))).collect())
    }
}

/// The index of the shard that a key belongs to.
pub fn shard_index(hash: u64) -> usize {
    (hash.wrapping_mul(FIBONACCI) >> (64 - BITS)) as usize
}

impl<V> Shards<V> {
    /// Runs `operation` under the lock of the shard that the key belongs to.
    pub fn with_shard_of<T>(&self, hash: u64, operation: impl FnOnce(&mut Map<V>) -> T) -> T {
        self.with_shard(shard_index(hash), operation)
    }

    /// Runs `operation` under the lock of the shard with this index.
    pub fn with_shard<T>(&self, shard: usize, operation: impl FnOnce(&mut Map<V>) -> T) -> T {
        operation(&mut lock(&self.0[shard].0))
    }

    /// Number of entries in all shards. The shards are counted one by one, not in one atomic snapshot.
    pub fn len(&self) -> usize {
        (0..SHARDS).map(|shard| self.with_shard(shard, |map| map.len())).sum()
    }

    /// Whether all shards are empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
