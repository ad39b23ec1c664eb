//! Chains of prompts and their holders. The holders of a chain are the holders of its parent chain that have also
//! cached its last block.

use super::Cell;
use super::entry::{BlockEntry, ChainEntry, evict_oldest};
use crate::bitmap::HolderBitmap;
use crate::chain::{Block, Chain};
use crate::sync::Ordering;
use smallvec::SmallVec;

impl Cell {
    /// Inserts the chain of a prompt. Blocks of it that events have already registered at holders count at once.
    pub fn insert_chain(&self, seed: u64, chain: &Chain) {
        let now = self.tick();
        let mut parent: Option<u64> = None;
        for block in &chain.0 {
            let is_new = self.insert_chain_entry(block, parent, now);
            self.insert_block_entry(block, seed, now);
            if is_new {
                self.refresh(block.hash);
            }
            parent = Some(block.hash);
        }
    }

    /// Inserts the chain up to this block, or marks it as used; returns whether it is new.
    fn insert_chain_entry(&self, block: &Block, parent: Option<u64>, now: u64) -> bool {
        let evicted = self.chains.with_shard_of(block.hash, |map| {
            if let Some(entry) = map.get_mut(&block.hash) {
                entry.last_used = now;
                return None;
            }
            map.insert(block.hash, ChainEntry::new(parent, block.block_hash, now));
            Some(evict_oldest(map, self.shard_capacity, |entry| entry.last_used))
        });
        let is_new = evicted.is_some();
        self.unlink(evicted.unwrap_or_default());
        if let Some(parent) = parent {
            self.link_child(parent, block.hash);
        }
        is_new
    }

    fn link_child(&self, parent: u64, child: u64) {
        self.chains.with_shard_of(parent, |map| {
            if let Some(entry) = map.get_mut(&parent)
                && !entry.children.contains(&child)
            {
                entry.children.push(child);
            }
        });
    }

    /// Inserts the block entry if there is none, and adds the chain that ends with the block to it.
    fn insert_block_entry(&self, block: &Block, seed: u64, now: u64) {
        let evicted = self.blocks.with_shard_of(block.block_hash, |map| {
            let entry = map.entry(block.block_hash).or_insert_with(|| BlockEntry::new(seed, now));
            entry.last_used = now;
            entry.tokens = block.tokens;
            if !entry.chains.contains(&block.hash) {
                entry.chains.push(block.hash);
            }
            evict_oldest(map, self.shard_capacity, |entry| entry.last_used)
        });
        self.refresh_all(evicted.into_iter().flat_map(|(_, entry)| entry.chains));
    }

    /// Returns whether the chain up to this block is in the cell, and marks it and all its ancestors as used.
    pub fn touch_chain(&self, hash: u64) -> bool {
        let now = self.tick();
        let recent = now.saturating_sub(self.shard_capacity as u64);
        let mut next = Some(hash);
        while let Some(hash) = next {
            let seen = self.chains.with_shard_of(hash, |map| {
                let entry = map.get_mut(&hash)?;
                Some((std::mem::replace(&mut entry.last_used, now), entry.parent))
            });
            let Some((last_used, parent)) = seen else { return false };
            // Whatever used this entry recently has marked its ancestors too.
            next = parent.filter(|_| last_used < recent);
        }
        true
    }

    /// Updates the holders of these chains.
    pub(super) fn refresh_all(&self, chains: impl IntoIterator<Item = u64>) {
        for hash in chains {
            self.refresh(hash);
        }
    }

    /// Updates the holders of a chain and of the descendants that change with it.
    fn refresh(&self, hash: u64) {
        let mut pending: SmallVec<[u64; 8]> = SmallVec::new();
        pending.push(hash);
        while let Some(hash) = pending.pop() {
            pending.extend(self.recompute(hash).into_iter().flatten());
        }
    }

    /// Recomputes the holders of a chain from those of its parent and of its last block. Two shards are never locked at
    /// once, so this repeats until neither has changed in the meantime. If the holders changed, returns the children
    /// that need an update.
    fn recompute(&self, hash: u64) -> Option<SmallVec<[u64; 2]>> {
        loop {
            let (parent, block) = self.chains.with_shard_of(hash, |map| {
                map.get(&hash).map(|entry| (entry.parent, entry.block))
            })?;
            let expected = self.combined_holders(parent, block);
            let changed = self.chains.with_shard_of(hash, |map| {
                let entry = map.get_mut(&hash)?;
                let holders = expected.and(&self.live_holders.load());
                let has_changed = entry.holders != holders;
                entry.holders = holders;
                Some(has_changed.then(|| entry.children.clone()))
            })?;
            if self.combined_holders(parent, block) == expected {
                return changed;
            }
        }
    }

    fn combined_holders(&self, parent: Option<u64>, block: u64) -> HolderBitmap {
        let block_holders = self.blocks.with_shard_of(block, |map| {
            map.get(&block).map_or(HolderBitmap::EMPTY, |entry| entry.holders)
        });
        let Some(parent) = parent else { return block_holders };
        self.chain_holders(parent).and(&block_holders)
    }

    /// The holders of a chain; empty if it is not in the cell.
    pub(super) fn chain_holders(&self, hash: u64) -> HolderBitmap {
        self.chains.with_shard_of(hash, |map| {
            map.get(&hash).map_or(HolderBitmap::EMPTY, |entry| entry.holders)
        })
    }

    /// Advances the logical clock by which entries are ordered by last use.
    fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed) + 1
    }
}
