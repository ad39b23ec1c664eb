//! One cell of at most 256 holders: its shards, its live holders, and the generations of its slots.
//!
//! Events are idempotent: repeated, or from several senders, they leave the same state. `chains` inserts the chains of
//! prompts and derives their holders, `scrub` clears what removed holders have left behind, and `entry` defines the
//! entries of the shards.
//!
//! Lock order: never two shards at once, and the lock of the scrub before any other. No lock is taken while one of the
//! other locks is held.

mod chains;
mod entry;
mod scrub;

use crate::alive::LiveHolders;
use crate::bitmap::{HOLDERS, HolderBitmap};
use crate::chain::Chain;
use crate::partial_blocks::PartialBlocks;
use crate::query::{Depths, find_depths};
use crate::shard::{SHARDS, Shards};
use crate::sync::{AtomicU32, AtomicU64, Mutex, Ordering, lock};
use entry::{BlockEntry, ChainEntry, evict_oldest};
use scrub::Scrub;
use smallvec::SmallVec;

/// Lower bound of the capacity of a shard, in entries.
const MIN_SHARD_CAPACITY: usize = 4;

/// A holder's slot in a cell, with the slot's generation: late events of an earlier holder of the slot don't match.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderSlot {
    /// Index of the slot in the cell, and of the holder's bit in bitmaps.
    pub index: u8,
    /// Odd while the slot is in use.
    generation: u32,
}

/// The index of up to 256 holders.
pub struct Cell {
    live_holders: LiveHolders,
    /// The current generation of each slot.
    generations: Box<[AtomicU32]>,
    /// Free slots; no shard has a bit set for them.
    free: Mutex<Vec<u8>>,
    /// Chains by prefix hash.
    chains: Shards<ChainEntry>,
    /// Blocks by block hash.
    blocks: Shards<BlockEntry>,
    /// Blocks that holders have cached only partially.
    pub partial_blocks: PartialBlocks,
    scrub: Mutex<Scrub>,
    /// Logical clock that orders entries by their last use.
    clock: AtomicU64,
    /// Maximum number of entries in one shard.
    shard_capacity: usize,
}

fn is_in_use(generation: u32) -> bool {
    generation % 2 == 1
}

/// Converts a token count to that of [`PartialBlocks`], saturating at its maximum.
fn saturating_tokens(tokens: u64) -> u32 {
    tokens.min(u64::from(u32::MAX)) as u32
}

impl Cell {
    /// An empty cell. `capacity` bounds the number of chain entries, and separately that of block entries.
    pub fn new(capacity: usize) -> Cell {
        Cell {
            live_holders: LiveHolders::default(),
            generations: (0..HOLDERS).map(|_| AtomicU32::new(0)).collect(),
            free: Mutex::new((0..=u8::MAX).rev().collect()),
            chains: Shards::default(),
            blocks: Shards::default(),
            partial_blocks: PartialBlocks::default(),
            scrub: Mutex::default(),
            clock: AtomicU64::new(1),
            shard_capacity: (capacity / SHARDS).max(MIN_SHARD_CAPACITY),
        }
    }

    /// The live holders.
    pub fn live_holders(&self) -> HolderBitmap {
        self.live_holders.load()
    }

    /// Assigns a free slot to a new holder; `None` if there is none.
    pub fn admit(&self) -> Option<HolderSlot> {
        let index = lock(&self.free).pop()?;
        let generation = self.generations[usize::from(index)].fetch_add(1, Ordering::AcqRel) + 1;
        self.live_holders.set(index);
        Some(HolderSlot { index, generation })
    }

    /// Number of free slots.
    pub fn free_slots(&self) -> usize {
        lock(&self.free).len()
    }

    fn is_current(&self, holder: HolderSlot) -> bool {
        self.generations[usize::from(holder.index)].load(Ordering::Acquire) == holder.generation
    }

    /// Records that the holder has cached `cached` tokens of a block; `None` means the whole block. Returns false if
    /// the holder's slot is of an earlier generation.
    pub fn register_block(
        &self,
        holder: HolderSlot,
        seed: u64,
        block: u64,
        cached: Option<u64>,
    ) -> bool {
        let now = self.clock.load(Ordering::Relaxed);
        let changed = self.blocks.with_shard_of(block, |map| {
            // Checked under the shard lock, which the scrub takes too. Otherwise a bit of an earlier generation could
            // be set after the scrub has passed.
            if !self.is_current(holder) {
                return None;
            }
            let entry = map.entry(block).or_insert_with(|| BlockEntry::new(seed, now));
            let is_whole = cached.is_none_or(|tokens| entry.is_whole(tokens));
            if is_whole {
                entry.holders.set(holder.index);
            } else {
                entry.holders.clear(holder.index);
            }
            let chains = entry.chains.clone();
            let evicted = evict_oldest(map, self.shard_capacity, |entry| entry.last_used);
            Some((is_whole, chains, evicted))
        });
        let Some((is_whole, chains, evicted)) = changed else { return false };
        self.refresh_all(evicted.into_iter().flat_map(|(_, entry)| entry.chains));
        let partial_tokens = if is_whole { 0 } else { cached.unwrap_or(0) };
        self.partial_blocks.set(holder.index, block, saturating_tokens(partial_tokens));
        self.refresh_all(chains);
        true
    }

    /// Records that the holder has at most `cached` tokens of a block left. Returns false if the holder's slot is of
    /// an earlier generation.
    pub fn evict_block(&self, holder: HolderSlot, block: u64, cached: u64) -> bool {
        let chains = self.blocks.with_shard_of(block, |map| {
            if !self.is_current(holder) {
                return None;
            }
            let Some(entry) = map.get_mut(&block) else { return Some(SmallVec::new()) };
            entry.holders.clear(holder.index);
            Some(entry.chains.clone())
        });
        let Some(chains) = chains else { return false };
        self.partial_blocks.set(holder.index, block, saturating_tokens(cached));
        self.refresh_all(chains);
        true
    }

    /// Removes a holder: it is excluded from queries at once, and its bits in the shards are scrubbed later. Returns
    /// false if its slot is of an earlier generation.
    pub fn remove(&self, holder: HolderSlot) -> bool {
        if !is_in_use(holder.generation) {
            return false;
        }
        let retired = self.generations[usize::from(holder.index)].compare_exchange(
            holder.generation,
            holder.generation.wrapping_add(1),
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        if retired.is_err() {
            return false;
        }
        self.live_holders.clear(holder.index);
        lock(&self.scrub).queued_holders.set(holder.index);
        true
    }

    /// Invalidates everything cached under a seed; its blocks are removed by the next pass of the scrub.
    pub fn invalidate_seed(&self, seed: u64) {
        lock(&self.scrub).queued_seeds.insert(seed);
    }

    /// The depth to which each live holder in `among` has cached the chain.
    pub fn query(&self, chain: &Chain, among: &HolderBitmap) -> Depths {
        find_depths(chain.len(), |depth| {
            self.chain_holders(chain.0[depth].hash).and(&self.live_holders.load()).and(among)
        })
    }

    /// Number of chain entries.
    pub fn entries(&self) -> usize {
        self.chains.len()
    }

    /// Number of block entries.
    pub fn blocks(&self) -> usize {
        self.blocks.len()
    }
}
