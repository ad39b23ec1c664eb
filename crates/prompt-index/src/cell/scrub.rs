//! Clears what removed holders and invalidated seeds have left behind, in steps over a bounded number of entries.

use super::Cell;
use super::entry::ChainEntry;
use crate::bitmap::HolderBitmap;
use crate::shard::SHARDS;
use crate::sync::lock;
use hashbrown::HashSet;
use smallvec::SmallVec;

/// Progress of a pass over the shards, and the work queued for the next pass.
#[derive(Default)]
pub(super) struct Scrub {
    /// Index of the next shard of this pass.
    shard: usize,
    /// Holders that this pass clears.
    holders: HolderBitmap,
    /// Seeds that this pass clears.
    seeds: HashSet<u64>,
    /// Holders for the next pass.
    pub queued_holders: HolderBitmap,
    /// Seeds for the next pass.
    pub queued_seeds: HashSet<u64>,
}

impl Scrub {
    /// Continues the current pass, or starts one; returns false if there is nothing to do.
    fn continue_or_start(&mut self) -> bool {
        if !self.holders.is_empty() || !self.seeds.is_empty() {
            return true;
        }
        if !self.has_queued() {
            return false;
        }
        self.holders = std::mem::take(&mut self.queued_holders);
        self.seeds = std::mem::take(&mut self.queued_seeds);
        self.shard = 0;
        true
    }

    fn has_queued(&self) -> bool {
        !self.queued_holders.is_empty() || !self.queued_seeds.is_empty()
    }
}

impl Cell {
    /// Runs one step of the scrub over about `limit` entries; returns true if nothing is left to do.
    pub fn scrub(&self, limit: usize) -> bool {
        let mut scrub = lock(&self.scrub);
        if !scrub.continue_or_start() {
            return true;
        }
        let mut visited = 0;
        while scrub.shard < SHARDS && visited < limit {
            visited += 1 + self.scrub_shard(&scrub);
            scrub.shard += 1;
        }
        if scrub.shard < SHARDS {
            return false;
        }
        // Only now may a slot be assigned to another holder: no shard has a bit of the previous one any more.
        let freed = std::mem::take(&mut scrub.holders);
        scrub.seeds.clear();
        for index in freed.iter() {
            self.partial_blocks.remove_holder(index);
        }
        lock(&self.free).extend(freed.iter());
        !scrub.has_queued()
    }

    /// Clears one shard of blocks and one of chains; returns the number of entries visited.
    fn scrub_shard(&self, scrub: &Scrub) -> usize {
        let mut visited = 0;
        let mut void_chains: SmallVec<[u64; 16]> = SmallVec::new();
        self.blocks.with_shard(scrub.shard, |map| {
            visited += map.len();
            map.retain(|_, block| {
                block.holders = block.holders.minus(&scrub.holders);
                if scrub.seeds.contains(&block.seed) {
                    void_chains.extend(block.chains.iter().copied());
                    return false;
                }
                !block.is_unused()
            });
        });
        let remove = |hash: u64| self.chains.with_shard_of(hash, |map| map.remove_entry(&hash));
        self.unlink(void_chains.into_iter().filter_map(remove).collect());
        let orphans: Vec<(u64, ChainEntry)> = self.chains.with_shard(scrub.shard, |map| {
            visited += map.len();
            map.extract_if(|_, entry| {
                let had_holders = !entry.holders.is_empty();
                entry.holders = entry.holders.minus(&scrub.holders);
                had_holders && entry.is_unused()
            })
            .collect()
        });
        self.unlink(orphans);
        visited
    }

    /// Removes dropped chains from the entries of their blocks and parents, and drops their descendants too.
    pub(super) fn unlink(&self, mut dropped: Vec<(u64, ChainEntry)>) {
        while let Some((hash, entry)) = dropped.pop() {
            self.unlink_block(entry.block, hash);
            for child in entry.children {
                dropped.extend(self.chains.with_shard_of(child, |map| map.remove_entry(&child)));
            }
            let Some(parent) = entry.parent else { continue };
            dropped.extend(self.unlink_child(parent, hash));
        }
    }

    /// Removes a chain from the entry of its last block, and the entry itself if it is unused then.
    fn unlink_block(&self, block_hash: u64, chain: u64) {
        self.blocks.with_shard_of(block_hash, |map| {
            let Some(block) = map.get_mut(&block_hash) else { return };
            block.chains.retain(|other| *other != chain);
            if block.is_unused() {
                map.remove(&block_hash);
            }
        });
    }

    /// Removes a child from a chain; if the chain is unused then, removes and returns it.
    fn unlink_child(&self, parent: u64, child: u64) -> Option<(u64, ChainEntry)> {
        self.chains.with_shard_of(parent, |map| {
            let entry = map.get_mut(&parent)?;
            entry.children.retain(|other| *other != child);
            if entry.is_unused() { map.remove_entry(&parent) } else { None }
        })
    }
}
