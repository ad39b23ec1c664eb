//! The entries in the shards of a cell.

use crate::bitmap::HolderBitmap;
use crate::shard::Map;
use smallvec::SmallVec;

/// A chain: a block together with its whole prefix.
pub(super) struct ChainEntry {
    /// Holders that have cached the whole chain: those of the parent that have also cached the last block.
    pub holders: HolderBitmap,
    /// Hash of the parent chain, which is one block shorter; `None` for a chain of one block.
    pub parent: Option<u64>,
    /// Hash of the last block without its prefix.
    pub block: u64,
    /// Hashes of the chains that extend this one by one block.
    pub children: SmallVec<[u64; 2]>,
    /// Time of the last use, by the cell's logical clock.
    pub last_used: u64,
}

impl ChainEntry {
    pub fn new(parent: Option<u64>, block: u64, last_used: u64) -> ChainEntry {
        ChainEntry {
            holders: HolderBitmap::EMPTY,
            parent,
            block,
            children: SmallVec::new(),
            last_used,
        }
    }

    /// Whether the chain has neither holders nor children.
    pub fn is_unused(&self) -> bool {
        self.holders.is_empty() && self.children.is_empty()
    }
}

/// A block without its prefix, as events identify it.
pub(super) struct BlockEntry {
    /// Holders that have cached the block, or nearly all of it (see [`is_whole`](Self::is_whole)).
    pub holders: HolderBitmap,
    /// Hashes of the chains that end with this block.
    pub chains: SmallVec<[u64; 2]>,
    /// Number of tokens in the block; 0 until a prompt with this block has been inserted.
    pub tokens: u64,
    /// Seed of the salt under which the block is cached.
    pub seed: u64,
    /// Time of the last use, by the cell's logical clock.
    pub last_used: u64,
}

impl BlockEntry {
    pub fn new(seed: u64, last_used: u64) -> BlockEntry {
        BlockEntry {
            holders: HolderBitmap::EMPTY,
            chains: SmallVec::new(),
            tokens: 0,
            seed,
            last_used,
        }
    }

    /// Whether the block has no holders and no chain ends with it.
    pub fn is_unused(&self) -> bool {
        self.holders.is_empty() && self.chains.is_empty()
    }

    /// Whether so many cached tokens count as the whole block: at least 90 % of it.
    pub fn is_whole(&self, cached: u64) -> bool {
        cached * 10 >= self.tokens * 9
    }
}

/// If a shard exceeds its capacity, evicts the least recently used quarter and returns it.
pub(super) fn evict_oldest<V>(
    map: &mut Map<V>,
    capacity: usize,
    last_used: impl Fn(&V) -> u64,
) -> Vec<(u64, V)> {
    if map.len() <= capacity {
        return Vec::new();
    }
    let mut ages: Vec<u64> = map.values().map(&last_used).collect();
    let quarter = ages.len() / 4;
    let (_, newest_evicted, _) = ages.select_nth_unstable(quarter);
    let newest_evicted = *newest_evicted;
    map.extract_if(|_, value| last_used(value) <= newest_evicted).collect()
}
