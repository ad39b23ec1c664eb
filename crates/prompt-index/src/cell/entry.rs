//! What the shards of a cell hold.

use crate::bitmap::HolderBitmap;
use crate::shard::Map;
use smallvec::SmallVec;

/// The block at the end of a chain, as cached together with all before it.
pub(super) struct ChainEntry {
    /// Who has the whole chain up to here: the parent's holders that have this block too.
    pub bits: HolderBitmap,
    /// The chain hash before it; none for a first block.
    pub parent: Option<u64>,
    /// The block by itself.
    pub block: u64,
    /// Chains that go on from here.
    pub children: SmallVec<[u64; 2]>,
    /// When it was asked for last, by the cell's clock.
    pub last_used: u64,
}

impl ChainEntry {
    pub fn new(parent: Option<u64>, block: u64, last_used: u64) -> ChainEntry {
        ChainEntry {
            bits: HolderBitmap::EMPTY,
            parent,
            block,
            children: SmallVec::new(),
            last_used,
        }
    }

    /// Whether nobody has it and nothing goes on from it.
    pub fn is_unused(&self) -> bool {
        self.bits.is_empty() && self.children.is_empty()
    }
}

/// A block by itself, as events name it.
pub(super) struct BlockEntry {
    /// Who has it, or nearly all of it.
    pub bits: HolderBitmap,
    /// The chains that end with it.
    pub chains: SmallVec<[u64; 2]>,
    /// Its size; 0 until a prompt has shown it.
    pub tokens: u64,
    /// The salt that it was cached under.
    pub seed: u64,
    /// When it was asked for last, by the cell's clock.
    pub last_used: u64,
}

impl BlockEntry {
    pub fn new(seed: u64, last_used: u64) -> BlockEntry {
        BlockEntry {
            bits: HolderBitmap::EMPTY,
            chains: SmallVec::new(),
            tokens: 0,
            seed,
            last_used,
        }
    }

    /// Whether nobody has it and no chain ends with it.
    pub fn is_unused(&self) -> bool {
        self.bits.is_empty() && self.chains.is_empty()
    }

    /// Whether so many cached tokens count as the whole block.
    pub fn is_whole(&self, cached: u64) -> bool {
        cached * 10 >= self.tokens * 9
    }
}

/// Makes room where a shard is over its capacity: the quarter least recently used goes.
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
