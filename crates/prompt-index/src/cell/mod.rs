//! One cell of at most 256 holders: its shards, who is alive, and the generations of holders' numbers.
//!
//! Events are idempotent: sent twice, or by several senders, they leave the same state. `chains` is what prompts show
//! and what follows for each chain's holders, `scrub` clears what removed holders have left, `entry` is what shards hold.
//!
//! Locks: of two shards never both; the scrub's before a shard's; the others are leaves.

mod chains;
mod entry;
mod scrub;

use crate::alive::Alive;
use crate::bitmap::{HOLDERS, HolderBitmap};
use crate::chain::Chain;
use crate::query::{Depths, depths};
use crate::shard::{SHARDS, Shards};
use crate::sync::{AtomicU32, AtomicU64, Mutex, Ordering, lock};
use crate::tier::Tiers;
use entry::{BlockEntry, ChainEntry, evict_oldest};
use scrub::Scrub;
use smallvec::SmallVec;

/// Entries that a shard may hold at the least.
const MIN_SHARD_CAPACITY: usize = 4;

/// A holder's number in one of its generations: late events of a former one fit no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderNo {
    /// The number within the cell, as bitmaps have it.
    pub index: u8,
    /// Odd while the number is in use.
    generation: u32,
}

/// The index of up to 256 holders.
pub struct Cell {
    alive: Alive,
    /// The generation of each holder's number.
    generations: Box<[AtomicU32]>,
    /// Numbers that no shard has a bit of.
    free: Mutex<Vec<u8>>,
    /// By chain hash.
    chains: Shards<ChainEntry>,
    /// By the block's own id.
    blocks: Shards<BlockEntry>,
    /// Blocks that holders have in part only.
    pub tiers: Tiers,
    scrub: Mutex<Scrub>,
    /// Orders uses of entries.
    clock: AtomicU64,
    /// Entries of one shard.
    shard_capacity: usize,
}

fn is_in_use(generation: u32) -> bool {
    generation % 2 == 1
}

/// Tokens as tiers count them.
fn tier_tokens(tokens: u64) -> u32 {
    tokens.min(u64::from(u32::MAX)) as u32
}

impl Cell {
    /// `capacity` bounds the entries, of chains and of blocks alike.
    pub fn new(capacity: usize) -> Cell {
        Cell {
            alive: Alive::default(),
            generations: (0..HOLDERS).map(|_| AtomicU32::new(0)).collect(),
            free: Mutex::new((0..=u8::MAX).rev().collect()),
            chains: Shards::default(),
            blocks: Shards::default(),
            tiers: Tiers::default(),
            scrub: Mutex::default(),
            clock: AtomicU64::new(1),
            shard_capacity: (capacity / SHARDS).max(MIN_SHARD_CAPACITY),
        }
    }

    /// The holders that are there.
    pub fn alive(&self) -> HolderBitmap {
        self.alive.load()
    }

    /// A number for a new holder, if one is free.
    pub fn admit(&self) -> Option<HolderNo> {
        let index = lock(&self.free).pop()?;
        let generation = self.generations[usize::from(index)].fetch_add(1, Ordering::AcqRel) + 1;
        self.alive.raise(index);
        Some(HolderNo { index, generation })
    }

    /// Numbers that are free.
    pub fn free_numbers(&self) -> usize {
        lock(&self.free).len()
    }

    fn is_current(&self, holder: HolderNo) -> bool {
        self.generations[usize::from(holder.index)].load(Ordering::Acquire) == holder.generation
    }

    /// Registered: the holder has so many tokens of the block, all of it if none is given. False if
    /// the holder's number is out of date.
    pub fn registered(&self, holder: HolderNo, seed: u64, block: u64, cached: Option<u64>) -> bool {
        let now = self.clock.load(Ordering::Relaxed);
        let changed = self.blocks.with(block, |map| {
            // Under the lock that the scrub takes too: a bit of a former generation would outlive it.
            if !self.is_current(holder) {
                return None;
            }
            let entry = map.entry(block).or_insert_with(|| BlockEntry::new(seed, now));
            let is_whole = cached.is_none_or(|tokens| entry.is_whole(tokens));
            if is_whole {
                entry.bits.set(holder.index);
            } else {
                entry.bits.clear(holder.index);
            }
            let chains = entry.chains.clone();
            let evicted = evict_oldest(map, self.shard_capacity, |entry| entry.last_used);
            Some((is_whole, chains, evicted))
        });
        let Some((is_whole, chains, evicted)) = changed else { return false };
        self.refresh_all(evicted.into_iter().flat_map(|(_, entry)| entry.chains));
        let partial_tokens = if is_whole { 0 } else { cached.unwrap_or(0) };
        self.tiers.put(holder.index, block, tier_tokens(partial_tokens));
        self.refresh_all(chains);
        true
    }

    /// Evicted: the holder has at most so many tokens of the block now. False if the holder's number is
    /// out of date.
    pub fn evicted(&self, holder: HolderNo, block: u64, cached: u64) -> bool {
        let chains = self.blocks.with(block, |map| {
            if !self.is_current(holder) {
                return None;
            }
            let Some(entry) = map.get_mut(&block) else { return Some(SmallVec::new()) };
            entry.bits.clear(holder.index);
            Some(entry.chains.clone())
        });
        let Some(chains) = chains else { return false };
        self.tiers.put(holder.index, block, tier_tokens(cached));
        self.refresh_all(chains);
        true
    }

    /// Holder gone: excluded at once; its bits in the shards are scrubbed later. False if its number is
    /// out of date.
    pub fn remove(&self, holder: HolderNo) -> bool {
        if !is_in_use(holder.generation) {
            return false;
        }
        let ended = self.generations[usize::from(holder.index)].compare_exchange(
            holder.generation,
            holder.generation.wrapping_add(1),
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        if ended.is_err() {
            return false;
        }
        self.alive.clear(holder.index);
        lock(&self.scrub).next_holders.set(holder.index);
        true
    }

    /// All cached under a seed is void: its blocks go with the next scrub.
    pub fn void(&self, seed: u64) {
        lock(&self.scrub).next_seeds.insert(seed);
    }

    /// Depth of each live holder among those asked for.
    pub fn query(&self, chain: &Chain, among: &HolderBitmap) -> Depths {
        depths(chain.len(), |depth| {
            self.bits(chain.0[depth].hash).and(&self.alive.load()).and(among)
        })
    }

    /// Entries of chains.
    pub fn entries(&self) -> usize {
        self.chains.len()
    }

    /// Blocks by themselves.
    pub fn blocks(&self) -> usize {
        self.blocks.len()
    }
}
