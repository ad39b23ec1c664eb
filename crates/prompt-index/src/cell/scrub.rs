//! Clearing what removed holders and void seeds have left, a bounded number of entries a turn.

use super::Cell;
use super::entry::ChainEntry;
use crate::bitmap::HolderBitmap;
use crate::shard::SHARDS;
use crate::sync::lock;
use hashbrown::HashSet;
use smallvec::SmallVec;

/// How far a pass over the shards has come.
#[derive(Default)]
pub(super) struct Scrub {
    /// The next shard of this pass.
    shard: usize,
    /// Holders that this pass clears.
    holders: HolderBitmap,
    /// Seeds that this pass clears.
    seeds: HashSet<u64>,
    /// Holders for the next pass.
    pub next_holders: HolderBitmap,
    /// Seeds for the next pass.
    pub next_seeds: HashSet<u64>,
}

impl Scrub {
    /// Goes on with the pass under way, or begins one; false if there is nothing to do.
    fn begin(&mut self) -> bool {
        if !self.holders.is_empty() || !self.seeds.is_empty() {
            return true;
        }
        if !self.has_next() {
            return false;
        }
        self.holders = std::mem::take(&mut self.next_holders);
        self.seeds = std::mem::take(&mut self.next_seeds);
        self.shard = 0;
        true
    }

    fn has_next(&self) -> bool {
        !self.next_holders.is_empty() || !self.next_seeds.is_empty()
    }
}

impl Cell {
    /// One turn of the scrub over about `limit` entries; true when nothing is left to do.
    pub fn scrub(&self, limit: usize) -> bool {
        let mut scrub = lock(&self.scrub);
        if !scrub.begin() {
            return true;
        }
        let mut looked_at = 0;
        while scrub.shard < SHARDS && looked_at < limit {
            looked_at += 1 + self.scrub_shard(&scrub);
            scrub.shard += 1;
        }
        if scrub.shard < SHARDS {
            return false;
        }
        // Only now may a number be given to another holder: no shard has a bit of the former one.
        let freed = std::mem::take(&mut scrub.holders);
        scrub.seeds.clear();
        for index in freed.iter() {
            self.tiers.forget(index);
        }
        lock(&self.free).extend(freed.iter());
        !scrub.has_next()
    }

    /// Clears one shard of blocks and one of chains; gives the number of entries it looked at.
    fn scrub_shard(&self, scrub: &Scrub) -> usize {
        let mut looked_at = 0;
        let mut void_chains: SmallVec<[u64; 16]> = SmallVec::new();
        self.blocks.at(scrub.shard, |map| {
            looked_at += map.len();
            map.retain(|_, block| {
                block.bits = block.bits.minus(&scrub.holders);
                if scrub.seeds.contains(&block.seed) {
                    void_chains.extend(block.chains.iter().copied());
                    return false;
                }
                !block.is_unused()
            });
        });
        let remove = |hash: u64| self.chains.with(hash, |map| map.remove_entry(&hash));
        self.unlink(void_chains.into_iter().filter_map(remove).collect());
        let orphans: Vec<(u64, ChainEntry)> = self.chains.at(scrub.shard, |map| {
            looked_at += map.len();
            map.extract_if(|_, entry| {
                let had_holders = !entry.bits.is_empty();
                entry.bits = entry.bits.minus(&scrub.holders);
                had_holders && entry.is_unused()
            })
            .collect()
        });
        self.unlink(orphans);
        looked_at
    }

    /// Dropped chains are no longer named by their blocks and parents, and what hangs below them goes too.
    pub(super) fn unlink(&self, mut dropped: Vec<(u64, ChainEntry)>) {
        while let Some((hash, entry)) = dropped.pop() {
            self.unlink_block(entry.block, hash);
            for child in entry.children {
                dropped.extend(self.chains.with(child, |map| map.remove_entry(&child)));
            }
            let Some(parent) = entry.parent else { continue };
            dropped.extend(self.unlink_child(parent, hash));
        }
    }

    /// A block no longer ends this chain; it goes where nobody has it and no other chain ends with it.
    fn unlink_block(&self, id: u64, chain: u64) {
        self.blocks.with(id, |map| {
            let Some(block) = map.get_mut(&id) else { return };
            block.chains.retain(|other| *other != chain);
            if block.is_unused() {
                map.remove(&id);
            }
        });
    }

    /// A chain no longer goes on with this child; given back where nothing needs it any more.
    fn unlink_child(&self, parent: u64, child: u64) -> Option<(u64, ChainEntry)> {
        self.chains.with(parent, |map| {
            let entry = map.get_mut(&parent)?;
            entry.children.retain(|other| *other != child);
            if entry.is_unused() { map.remove_entry(&parent) } else { None }
        })
    }
}
