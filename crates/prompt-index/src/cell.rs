//! One cell of at most 256 holders: its shards, who is alive, and the incarnation of holders' numbers.
//! Events are idempotent: told twice, or by several feeders, they leave the same state.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::alive::Alive;
use crate::bitmap::{HOLDERS, HolderBitmap};
use crate::chain::Chain;
use crate::query::{Depths, depths};
use crate::shard::{Map, SHARDS, Shards};
use crate::sync::{AtomicU32, AtomicU64, Mutex, Ordering, held};
use crate::tier::Tiers;
use smallvec::SmallVec;

/// A holder's number in one of its incarnations: late events of a former incarnation fit no more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct HolderNo {
    pub index: u8,
    generation: u32,
}

/// The block at the end of a chain, as kept together with all before it.
struct Entry {
    bits: HolderBitmap,
    /// the chain hash before it; none for a first block
    parent: Option<u64>,
    raw: u64,
    children: SmallVec<[u64; 2]>,
    asked: u64,
}

/// A block by itself, as events tell of it.
struct Raw {
    bits: HolderBitmap,
    chains: SmallVec<[u64; 2]>,
    /// 0 until a prompt has told
    tokens: u64,
    seed: u64,
    asked: u64,
}

/// Clearing what is gone, a bounded number of entries a turn.
#[derive(Default)]
struct Scrub {
    shard: usize,
    now: HolderBitmap,
    next: HolderBitmap,
    void_now: hashbrown::HashSet<u64>,
    void_next: hashbrown::HashSet<u64>,
}

pub struct Cell {
    alive: Alive,
    generations: Box<[AtomicU32]>,
    free: Mutex<Vec<u8>>,
    chains: Shards<Entry>,
    raws: Shards<Raw>,
    pub tiers: Tiers,
    scrub: Mutex<Scrub>,
    clock: AtomicU64,
    most: usize,
}

fn is_live(generation: u32) -> bool {
    generation % 2 == 1
}

/// Makes room where a shard is over its bound: the quarter least recently asked goes.
fn bound<V>(m: &mut Map<V>, most: usize, asked: impl Fn(&V) -> u64) -> Vec<(u64, V)> {
    if m.len() <= most {
        return Vec::new();
    }
    let mut ages: Vec<u64> = m.values().map(&asked).collect();
    let cut = ages.len() / 4;
    let (_, edge, _) = ages.select_nth_unstable(cut);
    let edge = *edge;
    m.extract_if(|_, v| asked(v) <= edge).collect()
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

    pub fn room(&self) -> usize {
        held(&self.free).len()
    }

    fn is_current(&self, h: HolderNo) -> bool {
        self.generations[usize::from(h.index)].load(Ordering::Acquire) == h.generation
    }

    /// Registered: the holder keeps so many tokens of the block, all of it unless told otherwise.
    pub fn registered(&self, h: HolderNo, seed: u64, raw: u64, kept: Option<u64>) -> bool {
        let now = self.clock.load(Ordering::Relaxed);
        let chains = self.raws.with(raw, |m| {
            if !self.is_current(h) {
                return None;
            }
            let r = m.entry(raw).or_insert_with(|| Raw::new(seed, now));
            if kept.is_some_and(|x| x * 10 < r.tokens * 9) {
                r.bits.clear(h.index);
            } else {
                r.bits.set(h.index);
            }
            let chains = (r.bits.has(h.index), r.chains.clone());
            Some((chains, bound(m, self.most, |r| r.asked)))
        });
        let Some(((whole, chains), out)) = chains else { return false };
        self.refresh_all(out.into_iter().flat_map(|(_, r)| r.chains));
        let tokens = if whole { 0 } else { kept.unwrap_or(0) };
        self.tiers.put(h.index, raw, tokens.min(u64::from(u32::MAX)) as u32);
        self.refresh_all(chains);
        true
    }

    /// Evicted: the holder keeps at most so many tokens of the block now.
    pub fn evicted(&self, h: HolderNo, raw: u64, kept: u64) -> bool {
        let chains = self.raws.with(raw, |m| {
            if !self.is_current(h) {
                return None;
            }
            let Some(r) = m.get_mut(&raw) else { return Some(SmallVec::new()) };
            r.bits.clear(h.index);
            Some(r.chains.clone())
        });
        let Some(chains) = chains else { return false };
        self.tiers.put(h.index, raw, kept.min(u64::from(u32::MAX)) as u32);
        self.refresh_all(chains);
        true
    }

    /// Holder gone: excluded at once; what the shards say of it is scrubbed later.
    pub fn gone(&self, h: HolderNo) -> bool {
        let g = &self.generations[usize::from(h.index)];
        if !is_live(h.generation)
            || g.compare_exchange(
                h.generation,
                h.generation.wrapping_add(1),
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_err()
        {
            return false;
        }
        self.alive.clear(h.index);
        held(&self.scrub).next.set(h.index);
        true
    }

    /// All kept under a seed is void: its blocks go with the next scrub.
    pub fn void(&self, seed: u64) {
        held(&self.scrub).void_next.insert(seed);
    }

    /// One turn of the scrub; true when nothing is left to do.
    pub fn scrub(&self, most: usize) -> bool {
        let mut s = held(&self.scrub);
        if s.now.is_empty() && s.void_now.is_empty() {
            if s.next.is_empty() && s.void_next.is_empty() {
                return true;
            }
            s.now = std::mem::take(&mut s.next);
            s.void_now = std::mem::take(&mut s.void_next);
            s.shard = 0;
        }
        let (now, mut done) = (s.now, 0);
        while s.shard < SHARDS && done < most {
            done += 1;
            let mut voided: SmallVec<[u64; 16]> = SmallVec::new();
            self.raws.at(s.shard, |m| {
                done += m.len();
                m.retain(|_, r| {
                    r.bits = r.bits.minus(&now);
                    if s.void_now.contains(&r.seed) {
                        voided.extend(r.chains.iter().copied());
                        return false;
                    }
                    !r.bits.is_empty() || !r.chains.is_empty()
                });
            });
            let voided = voided.into_iter();
            self.unlink(
                voided.filter_map(|c| self.chains.with(c, |m| m.remove_entry(&c))).collect(),
            );
            let orphans: Vec<(u64, Entry)> = self.chains.at(s.shard, |m| {
                done += m.len();
                m.extract_if(|_, e| {
                    let had = !e.bits.is_empty();
                    e.bits = e.bits.minus(&now);
                    had && e.bits.is_empty() && e.children.is_empty()
                })
                .collect()
            });
            self.unlink(orphans);
            s.shard += 1;
        }
        if s.shard < SHARDS {
            return false;
        }
        let freed = std::mem::take(&mut s.now);
        s.void_now.clear();
        for n in freed.iter() {
            self.tiers.forget(n);
        }
        held(&self.free).extend(freed.iter());
        s.next.is_empty() && s.void_next.is_empty()
    }

    /// Dropped entries are no longer named by their blocks and parents, and what hangs below them goes too.
    fn unlink(&self, mut dropped: Vec<(u64, Entry)>) {
        while let Some((hash, e)) = dropped.pop() {
            self.raws.with(e.raw, |m| {
                let Some(r) = m.get_mut(&e.raw) else { return };
                r.chains.retain(|c| *c != hash);
                if r.chains.is_empty() && r.bits.is_empty() {
                    m.remove(&e.raw);
                }
            });
            for c in e.children {
                dropped.extend(self.chains.with(c, |m| m.remove_entry(&c)));
            }
            let Some(p) = e.parent else { continue };
            dropped.extend(self.chains.with(p, |m| {
                let parent = m.get_mut(&p)?;
                parent.children.retain(|c| *c != hash);
                let idle = parent.children.is_empty() && parent.bits.is_empty();
                if idle { m.remove_entry(&p) } else { None }
            }));
        }
    }

    /// Makes a chain known, as a prompt has it; what events told of its blocks counts at once.
    pub fn learn(&self, seed: u64, chain: &Chain) {
        let now = self.clock.fetch_add(1, Ordering::Relaxed) + 1;
        let mut parent: Option<u64> = None;
        for b in &chain.0 {
            let out = self.chains.with(b.hash, |m| {
                if let Some(e) = m.get_mut(&b.hash) {
                    e.asked = now;
                    return None;
                }
                m.insert(b.hash, Entry::new(parent, b.raw, now));
                Some(bound(m, self.most, |e| e.asked))
            });
            let fresh = out.is_some();
            self.unlink(out.unwrap_or_default());
            if let Some(p) = parent {
                self.chains.with(p, |m| {
                    if let Some(e) = m.get_mut(&p)
                        && !e.children.contains(&b.hash)
                    {
                        e.children.push(b.hash);
                    }
                });
            }
            let out = self.raws.with(b.raw, |m| {
                let r = m.entry(b.raw).or_insert_with(|| Raw::new(seed, now));
                r.asked = now;
                r.tokens = b.tokens;
                if !r.chains.contains(&b.hash) {
                    r.chains.push(b.hash);
                }
                bound(m, self.most, |r| r.asked)
            });
            self.refresh_all(out.into_iter().flat_map(|(_, r)| r.chains));
            if fresh {
                self.refresh(b.hash);
            }
            parent = Some(b.hash);
        }
    }

    /// Is the chain known up to this block? It and all before it count as asked for.
    pub fn knows(&self, hash: u64) -> bool {
        let now = self.clock.fetch_add(1, Ordering::Relaxed) + 1;
        let fresh = now.saturating_sub(self.most as u64);
        let mut at = Some(hash);
        while let Some(h) = at {
            let seen = self.chains.with(h, |m| {
                let e = m.get_mut(&h)?;
                Some((std::mem::replace(&mut e.asked, now), e.parent))
            });
            let Some((asked, parent)) = seen else { return false };
            at = parent.filter(|_| asked < fresh);
        }
        true
    }

    fn refresh_all(&self, chains: impl IntoIterator<Item = u64>) {
        for c in chains {
            self.refresh(c);
        }
    }

    /// The bits of an entry from its parent's and its own block's, until neither moves meanwhile.
    fn settle(&self, hash: u64) -> Option<SmallVec<[u64; 2]>> {
        loop {
            let (parent, raw) =
                self.chains.with(hash, |m| m.get(&hash).map(|e| (e.parent, e.raw)))?;
            let want = self.folded(parent, raw);
            let changed = self.chains.with(hash, |m| {
                let e = m.get_mut(&hash)?;
                let bits = want.and(&self.alive.load());
                let changed = e.bits != bits;
                e.bits = bits;
                Some(changed.then(|| e.children.clone()))
            })?;
            if self.folded(parent, raw) == want {
                return changed;
            }
        }
    }

    fn folded(&self, parent: Option<u64>, raw: u64) -> HolderBitmap {
        let own = self.raws.with(raw, |m| m.get(&raw).map_or(HolderBitmap::EMPTY, |r| r.bits));
        let Some(p) = parent else { return own };
        self.bits(p).and(&own)
    }

    fn refresh(&self, hash: u64) {
        let mut open: SmallVec<[u64; 8]> = SmallVec::new();
        open.push(hash);
        while let Some(h) = open.pop() {
            open.extend(self.settle(h).into_iter().flatten());
        }
    }

    fn bits(&self, hash: u64) -> HolderBitmap {
        self.chains.with(hash, |m| m.get(&hash).map_or(HolderBitmap::EMPTY, |e| e.bits))
    }

    /// Depth of each live holder among those asked for.
    pub fn query(&self, chain: &Chain, among: &HolderBitmap) -> Depths {
        depths(chain.len(), |i| self.bits(chain.0[i].hash).and(&self.alive.load()).and(among))
    }

    pub fn entries(&self) -> usize {
        self.chains.len()
    }

    pub fn blocks(&self) -> usize {
        self.raws.len()
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
