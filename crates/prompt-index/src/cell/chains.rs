//! Chains as prompts show them, and their holders: a chain's are its parent's that have its last block too.

use super::Cell;
use super::entry::{BlockEntry, ChainEntry, evict_oldest};
use crate::bitmap::HolderBitmap;
use crate::chain::{Block, Chain};
use crate::sync::Ordering;
use smallvec::SmallVec;

impl Cell {
    /// Makes a chain known, as a prompt has it; what events said of its blocks counts at once.
    pub fn learn(&self, seed: u64, chain: &Chain) {
        let now = self.tick();
        let mut parent: Option<u64> = None;
        for block in &chain.0 {
            let is_new = self.learn_chain(block, parent, now);
            self.learn_block(block, seed, now);
            if is_new {
                self.refresh(block.hash);
            }
            parent = Some(block.hash);
        }
    }

    /// Makes the chain up to this block known; false if it was.
    fn learn_chain(&self, block: &Block, parent: Option<u64>, now: u64) -> bool {
        let evicted = self.chains.with(block.hash, |map| {
            if let Some(entry) = map.get_mut(&block.hash) {
                entry.last_used = now;
                return None;
            }
            map.insert(block.hash, ChainEntry::new(parent, block.raw, now));
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
        self.chains.with(parent, |map| {
            if let Some(entry) = map.get_mut(&parent)
                && !entry.children.contains(&child)
            {
                entry.children.push(child);
            }
        });
    }

    /// Makes the block by itself known, and that it ends this chain.
    fn learn_block(&self, block: &Block, seed: u64, now: u64) {
        let evicted = self.blocks.with(block.raw, |map| {
            let entry = map.entry(block.raw).or_insert_with(|| BlockEntry::new(seed, now));
            entry.last_used = now;
            entry.tokens = block.tokens;
            if !entry.chains.contains(&block.hash) {
                entry.chains.push(block.hash);
            }
            evict_oldest(map, self.shard_capacity, |entry| entry.last_used)
        });
        self.refresh_all(evicted.into_iter().flat_map(|(_, entry)| entry.chains));
    }

    /// Whether the chain is known up to this block. It and all before it count as used.
    pub fn knows(&self, hash: u64) -> bool {
        let now = self.tick();
        let recent = now.saturating_sub(self.shard_capacity as u64);
        let mut next = Some(hash);
        while let Some(hash) = next {
            let seen = self.chains.with(hash, |map| {
                let entry = map.get_mut(&hash)?;
                Some((std::mem::replace(&mut entry.last_used, now), entry.parent))
            });
            let Some((last_used, parent)) = seen else { return false };
            // What was used lately has marked all before it.
            next = parent.filter(|_| last_used < recent);
        }
        true
    }

    /// Brings these chains up to date.
    pub(super) fn refresh_all(&self, chains: impl IntoIterator<Item = u64>) {
        for hash in chains {
            self.refresh(hash);
        }
    }

    /// Brings a chain up to date, and all below it that change with it.
    fn refresh(&self, hash: u64) {
        let mut open: SmallVec<[u64; 8]> = SmallVec::new();
        open.push(hash);
        while let Some(hash) = open.pop() {
            open.extend(self.recompute(hash).into_iter().flatten());
        }
    }

    /// The holders of a chain from its parent's and its own block's, until neither moves meanwhile: two shards are never
    /// locked at once. Gives the children to bring up to date, if the holders have changed.
    fn recompute(&self, hash: u64) -> Option<SmallVec<[u64; 2]>> {
        loop {
            let (parent, block) = self
                .chains
                .with(hash, |map| map.get(&hash).map(|entry| (entry.parent, entry.block)))?;
            let wanted = self.combined_bits(parent, block);
            let changed = self.chains.with(hash, |map| {
                let entry = map.get_mut(&hash)?;
                let bits = wanted.and(&self.alive.load());
                let has_changed = entry.bits != bits;
                entry.bits = bits;
                Some(has_changed.then(|| entry.children.clone()))
            })?;
            if self.combined_bits(parent, block) == wanted {
                return changed;
            }
        }
    }

    fn combined_bits(&self, parent: Option<u64>, block: u64) -> HolderBitmap {
        let own = self
            .blocks
            .with(block, |map| map.get(&block).map_or(HolderBitmap::EMPTY, |entry| entry.bits));
        let Some(parent) = parent else { return own };
        self.bits(parent).and(&own)
    }

    /// The holders of a chain.
    pub(super) fn bits(&self, hash: u64) -> HolderBitmap {
        self.chains.with(hash, |map| map.get(&hash).map_or(HolderBitmap::EMPTY, |entry| entry.bits))
    }

    /// Moves the clock that orders uses.
    fn tick(&self) -> u64 {
        self.clock.fetch_add(1, Ordering::Relaxed) + 1
    }
}
