//! One cell of at most 256 holders: its shards, who is alive, and the incarnations of holders' numbers.
//! Events are idempotent: told twice, or by several feeders, they leave the same state.

use crate::alive::Alive;
use crate::bitmap::{HOLDERS, HolderBitmap};
use crate::chain::{Block, Chain};
use crate::query::{Depths, depths};
use crate::shard::{Map, SHARDS, Shards};
use crate::sync::{AtomicU32, AtomicU64, Mutex, Ordering, held};
use crate::tier::Tiers;
use smallvec::SmallVec;

/// A holder's number in one of its incarnations: late events of a former incarnation fit no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderNo {
    /// The number within the cell, as bitmaps have it.
    pub index: u8,
    /// odd while the number is in use
    generation: u32,
}

/// The block at the end of a chain, as kept together with all before it.
struct Entry {
    bits: HolderBitmap,
    /// the chain hash before it; none for a first block
    parent: Option<u64>,
    raw: u64,
    children: SmallVec<[u64; 2]>,
    /// when it was asked for last, by the cell's clock
    asked: u64,
}

/// A block by itself, as events tell of it.
struct Raw {
    bits: HolderBitmap,
    chains: SmallVec<[u64; 2]>,
    /// 0 until a prompt has told
    tokens: u64,
    seed: u64,
    /// when it was asked for last, by the cell's clock
    asked: u64,
}

/// Clearing what is gone, a bounded number of entries a turn.
#[derive(Default)]
struct Scrub {
    /// the next shard of this pass
    shard: usize,
    /// holders that this pass clears, and those that the next one does
    now: HolderBitmap,
    next: HolderBitmap,
    /// seeds that this pass voids, and those that the next one does
    void_now: hashbrown::HashSet<u64>,
    void_next: hashbrown::HashSet<u64>,
}

/// The index of up to 256 holders.
pub struct Cell {
    alive: Alive,
    generations: Box<[AtomicU32]>,
    free: Mutex<Vec<u8>>,
    chains: Shards<Entry>,
    raws: Shards<Raw>,
    /// Blocks that holders keep in part only.
    pub tiers: Tiers,
    scrub: Mutex<Scrub>,
    clock: AtomicU64,
    /// entries of one shard
    most: usize,
}

fn is_live(generation: u32) -> bool {
    generation % 2 == 1
}

/// Makes room where a shard is over its bound: the quarter least recently asked goes.
fn bound<V>(map: &mut Map<V>, most: usize, asked: impl Fn(&V) -> u64) -> Vec<(u64, V)> {
    if map.len() <= most {
        return Vec::new();
    }
    let mut ages: Vec<u64> = map.values().map(&asked).collect();
    let cut = ages.len() / 4;
    let (_, edge, _) = ages.select_nth_unstable(cut);
    let edge = *edge;
    map.extract_if(|_, value| asked(value) <= edge).collect()
}

/// Tokens as tiers count them.
fn tier_tokens(tokens: u64) -> u32 {
    tokens.min(u64::from(u32::MAX)) as u32
}

impl Cell {
    /// `most` bounds the entries, of chains and of blocks alike.
    pub fn new(most: usize) -> Cell {
        Cell {
            alive: Alive::default(),
            generations: (0..HOLDERS).map(|_| AtomicU32::new(0)).collect(),
            free: Mutex::new((0..=u8::MAX).rev().collect()),
            chains: Shards::default(),
            raws: Shards::default(),
            tiers: Tiers::default(),
            scrub: Mutex::default(),
            clock: AtomicU64::new(1),
            most: (most / SHARDS).max(4),
        }
    }

    /// The holders that are there.
    pub fn alive(&self) -> HolderBitmap {
        self.alive.load()
    }

    /// A number for a new holder, if one is free.
    pub fn admit(&self) -> Option<HolderNo> {
        let index = held(&self.free).pop()?;
        let generation = self.generations[usize::from(index)].fetch_add(1, Ordering::AcqRel) + 1;
        self.alive.raise(index);
        Some(HolderNo { index, generation })
    }

    /// Numbers that are free.
    pub fn room(&self) -> usize {
        held(&self.free).len()
    }

    fn is_current(&self, holder: HolderNo) -> bool {
        self.generations[usize::from(holder.index)].load(Ordering::Acquire) == holder.generation
    }

    /// Registered: the holder keeps so many tokens of the block, all of it unless told otherwise. False if
    /// the holder's number is out of date.
    pub fn registered(&self, holder: HolderNo, seed: u64, raw: u64, kept: Option<u64>) -> bool {
        let now = self.clock.load(Ordering::Relaxed);
        let changed = self.raws.with(raw, |map| {
            if !self.is_current(holder) {
                return None;
            }
            let block = map.entry(raw).or_insert_with(|| Raw::new(seed, now));
            if kept.is_some_and(|tokens| tokens * 10 < block.tokens * 9) {
                block.bits.clear(holder.index);
            } else {
                block.bits.set(holder.index);
            }
            let (whole, chains) = (block.bits.has(holder.index), block.chains.clone());
            Some((whole, chains, bound(map, self.most, |block| block.asked)))
        });
        let Some((whole, chains, dropped)) = changed else { return false };
        self.refresh_all(dropped.into_iter().flat_map(|(_, block)| block.chains));
        let tokens = if whole { 0 } else { kept.unwrap_or(0) };
        self.tiers.put(holder.index, raw, tier_tokens(tokens));
        self.refresh_all(chains);
        true
    }

    /// Evicted: the holder keeps at most so many tokens of the block now. False if the holder's number is
    /// out of date.
    pub fn evicted(&self, holder: HolderNo, raw: u64, kept: u64) -> bool {
        let chains = self.raws.with(raw, |map| {
            if !self.is_current(holder) {
                return None;
            }
            let Some(block) = map.get_mut(&raw) else { return Some(SmallVec::new()) };
            block.bits.clear(holder.index);
            Some(block.chains.clone())
        });
        let Some(chains) = chains else { return false };
        self.tiers.put(holder.index, raw, tier_tokens(kept));
        self.refresh_all(chains);
        true
    }

    /// Holder gone: excluded at once; what the shards say of it is scrubbed later. False if its number is
    /// out of date.
    pub fn remove(&self, holder: HolderNo) -> bool {
        if !is_live(holder.generation) {
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
        held(&self.scrub).next.set(holder.index);
        true
    }

    /// All kept under a seed is void: its blocks go with the next scrub.
    pub fn void(&self, seed: u64) {
        held(&self.scrub).void_next.insert(seed);
    }

    /// One turn of the scrub over about `most` entries; true when nothing is left to do.
    pub fn scrub(&self, most: usize) -> bool {
        let mut scrub = held(&self.scrub);
        if !scrub.begin() {
            return true;
        }
        let mut done = 0;
        while scrub.shard < SHARDS && done < most {
            done += 1 + self.scrub_shard(&scrub);
            scrub.shard += 1;
        }
        if scrub.shard < SHARDS {
            return false;
        }
        let freed = std::mem::take(&mut scrub.now);
        scrub.void_now.clear();
        for index in freed.iter() {
            self.tiers.forget(index);
        }
        held(&self.free).extend(freed.iter());
        scrub.next.is_empty() && scrub.void_next.is_empty()
    }

    /// Clears one shard of blocks and one of chains; gives the number of entries it looked at.
    fn scrub_shard(&self, scrub: &Scrub) -> usize {
        let mut looked_at = 0;
        let mut voided: SmallVec<[u64; 16]> = SmallVec::new();
        self.raws.at(scrub.shard, |map| {
            looked_at += map.len();
            map.retain(|_, block| {
                block.bits = block.bits.minus(&scrub.now);
                if scrub.void_now.contains(&block.seed) {
                    voided.extend(block.chains.iter().copied());
                    return false;
                }
                !block.bits.is_empty() || !block.chains.is_empty()
            });
        });
        let take = |hash: u64| self.chains.with(hash, |map| map.remove_entry(&hash));
        self.unlink(voided.into_iter().filter_map(take).collect());
        let orphans: Vec<(u64, Entry)> = self.chains.at(scrub.shard, |map| {
            looked_at += map.len();
            map.extract_if(|_, entry| {
                let had = !entry.bits.is_empty();
                entry.bits = entry.bits.minus(&scrub.now);
                had && entry.bits.is_empty() && entry.children.is_empty()
            })
            .collect()
        });
        self.unlink(orphans);
        looked_at
    }

    /// Dropped entries are no longer named by their blocks and parents, and what hangs below them goes too.
    fn unlink(&self, mut dropped: Vec<(u64, Entry)>) {
        while let Some((hash, entry)) = dropped.pop() {
            self.raws.with(entry.raw, |map| {
                let Some(block) = map.get_mut(&entry.raw) else { return };
                block.chains.retain(|chain| *chain != hash);
                if block.chains.is_empty() && block.bits.is_empty() {
                    map.remove(&entry.raw);
                }
            });
            for child in entry.children {
                dropped.extend(self.chains.with(child, |map| map.remove_entry(&child)));
            }
            let Some(above) = entry.parent else { continue };
            dropped.extend(self.chains.with(above, |map| {
                let parent = map.get_mut(&above)?;
                parent.children.retain(|child| *child != hash);
                let idle = parent.children.is_empty() && parent.bits.is_empty();
                if idle { map.remove_entry(&above) } else { None }
            }));
        }
    }

    /// Makes a chain known, as a prompt has it; what events told of its blocks counts at once.
    pub fn learn(&self, seed: u64, chain: &Chain) {
        let now = self.clock.fetch_add(1, Ordering::Relaxed) + 1;
        let mut parent: Option<u64> = None;
        for block in &chain.0 {
            let fresh = self.learn_entry(block, parent, now);
            self.learn_raw(block, seed, now);
            if fresh {
                self.refresh(block.hash);
            }
            parent = Some(block.hash);
        }
    }

    /// Makes the entry of a chain up to this block known; false if it was.
    fn learn_entry(&self, block: &Block, parent: Option<u64>, now: u64) -> bool {
        let dropped = self.chains.with(block.hash, |map| {
            if let Some(entry) = map.get_mut(&block.hash) {
                entry.asked = now;
                return None;
            }
            map.insert(block.hash, Entry::new(parent, block.raw, now));
            Some(bound(map, self.most, |entry| entry.asked))
        });
        let fresh = dropped.is_some();
        self.unlink(dropped.unwrap_or_default());
        if let Some(above) = parent {
            self.chains.with(above, |map| {
                if let Some(entry) = map.get_mut(&above)
                    && !entry.children.contains(&block.hash)
                {
                    entry.children.push(block.hash);
                }
            });
        }
        fresh
    }

    /// Makes the block by itself known, and that it ends this chain.
    fn learn_raw(&self, block: &Block, seed: u64, now: u64) {
        let dropped = self.raws.with(block.raw, |map| {
            let raw = map.entry(block.raw).or_insert_with(|| Raw::new(seed, now));
            raw.asked = now;
            raw.tokens = block.tokens;
            if !raw.chains.contains(&block.hash) {
                raw.chains.push(block.hash);
            }
            bound(map, self.most, |raw| raw.asked)
        });
        self.refresh_all(dropped.into_iter().flat_map(|(_, raw)| raw.chains));
    }

    /// Is the chain known up to this block? It and all before it count as asked for.
    pub fn knows(&self, hash: u64) -> bool {
        let now = self.clock.fetch_add(1, Ordering::Relaxed) + 1;
        let fresh = now.saturating_sub(self.most as u64);
        let mut next = Some(hash);
        while let Some(hash) = next {
            let seen = self.chains.with(hash, |map| {
                let entry = map.get_mut(&hash)?;
                Some((std::mem::replace(&mut entry.asked, now), entry.parent))
            });
            let Some((asked, parent)) = seen else { return false };
            next = parent.filter(|_| asked < fresh);
        }
        true
    }

    fn refresh_all(&self, chains: impl IntoIterator<Item = u64>) {
        for hash in chains {
            self.refresh(hash);
        }
    }

    /// The bits of an entry from its parent's and its own block's, until neither moves meanwhile. Gives the
    /// children to bring up to date, if the bits have changed.
    fn settle(&self, hash: u64) -> Option<SmallVec<[u64; 2]>> {
        loop {
            let (parent, raw) = self
                .chains
                .with(hash, |map| map.get(&hash).map(|entry| (entry.parent, entry.raw)))?;
            let want = self.folded(parent, raw);
            let changed = self.chains.with(hash, |map| {
                let entry = map.get_mut(&hash)?;
                let bits = want.and(&self.alive.load());
                let changed = entry.bits != bits;
                entry.bits = bits;
                Some(changed.then(|| entry.children.clone()))
            })?;
            if self.folded(parent, raw) == want {
                return changed;
            }
        }
    }

    fn folded(&self, parent: Option<u64>, raw: u64) -> HolderBitmap {
        let own =
            self.raws.with(raw, |map| map.get(&raw).map_or(HolderBitmap::EMPTY, |raw| raw.bits));
        let Some(parent) = parent else { return own };
        self.bits(parent).and(&own)
    }

    /// Brings an entry up to date, and all below it that change with it.
    fn refresh(&self, hash: u64) {
        let mut open: SmallVec<[u64; 8]> = SmallVec::new();
        open.push(hash);
        while let Some(hash) = open.pop() {
            open.extend(self.settle(hash).into_iter().flatten());
        }
    }

    fn bits(&self, hash: u64) -> HolderBitmap {
        self.chains.with(hash, |map| map.get(&hash).map_or(HolderBitmap::EMPTY, |entry| entry.bits))
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
        self.raws.len()
    }
}

impl Scrub {
    /// Goes on with the pass under way, or begins one; false if there is nothing to do.
    fn begin(&mut self) -> bool {
        if !self.now.is_empty() || !self.void_now.is_empty() {
            return true;
        }
        if self.next.is_empty() && self.void_next.is_empty() {
            return false;
        }
        self.now = std::mem::take(&mut self.next);
        self.void_now = std::mem::take(&mut self.void_next);
        self.shard = 0;
        true
    }
}

impl Raw {
    fn new(seed: u64, asked: u64) -> Raw {
        Raw { bits: HolderBitmap::EMPTY, chains: SmallVec::new(), tokens: 0, seed, asked }
    }
}

impl Entry {
    fn new(parent: Option<u64>, raw: u64, asked: u64) -> Entry {
        Entry { bits: HolderBitmap::EMPTY, parent, raw, children: SmallVec::new(), asked }
    }
}
