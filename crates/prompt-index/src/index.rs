//! All cells of a router: who has which number where, and what the ring of purges does to them.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::cell::{Cell, HolderNo};
use crate::chain::{self, Chain};
use fleet_core::constants;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Cell and number of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct At {
    pub cell: usize,
    pub no: HolderNo,
}

type Names = hashbrown::HashMap<String, At, ahash::RandomState>;
type Seeds = hashbrown::HashMap<String, u64, ahash::RandomState>;

/// Lock order: names, then cells, then seeds.
pub struct Index {
    names: RwLock<Names>,
    cells: RwLock<Vec<Arc<Cell>>>,
    seeds: RwLock<Seeds>,
    most: usize,
    moves: AtomicU64,
    pub registered: AtomicU64,
    pub evicted: AtomicU64,
    pub dropped: AtomicU64,
}

fn read<T>(l: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    l.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(l: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    l.write().unwrap_or_else(PoisonError::into_inner)
}

impl Index {
    pub fn new(most: usize) -> Index {
        Index {
            names: RwLock::default(),
            cells: RwLock::new(vec![Arc::new(Cell::new(most))]),
            seeds: RwLock::default(),
            most,
            moves: AtomicU64::new(1),
            registered: AtomicU64::new(0),
            evicted: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
        }
    }

    /// Rises whenever a holder's number is given or taken.
    pub fn moves(&self) -> u64 {
        self.moves.load(Ordering::Acquire)
    }

    pub fn at(&self, holder: &str) -> Option<At> {
        read(&self.names).get(holder).copied()
    }

    pub fn cell(&self, n: usize) -> Option<Arc<Cell>> {
        read(&self.cells).get(n).cloned()
    }

    pub fn cells(&self) -> Vec<Arc<Cell>> {
        read(&self.cells).clone()
    }

    /// The holder's number; a new one where it has none, in a new cell where all are full.
    pub fn admit(&self, holder: &str) -> At {
        if let Some(at) = self.at(holder) {
            return at;
        }
        let mut names = write(&self.names);
        if let Some(at) = names.get(holder) {
            return *at;
        }
        let mut cells = write(&self.cells);
        let rank = |n: usize| fleet_core::node::stable_hash(&[holder.as_bytes(), &n.to_be_bytes()]);
        let mut order: Vec<usize> = (0..cells.len()).filter(|n| cells[*n].room() > 0).collect();
        order.sort_by_key(|n| rank(*n));
        let found = order.into_iter().find_map(|n| Some(At { cell: n, no: cells[n].admit()? }));
        let at = match found {
            Some(at) => at,
            None => {
                let c = Arc::new(Cell::new(self.most));
                let no = c.admit();
                cells.push(c);
                match no {
                    Some(no) => At { cell: cells.len() - 1, no },
                    None => unreachable!("an empty cell has room"),
                }
            }
        };
        names.insert(holder.to_owned(), at);
        self.moves.fetch_add(1, Ordering::Release);
        at
    }

    fn seed(&self, salt: &str) -> u64 {
        if let Some(s) = read(&self.seeds).get(salt) {
            return *s;
        }
        let s = chain::seed(salt);
        let mut seeds = write(&self.seeds);
        if seeds.len() >= constants::SALTS_KNOWN {
            seeds.clear();
        }
        seeds.insert(salt.to_owned(), s);
        s
    }

    /// Parts of a prompt as a chain under a salt.
    pub fn chain(&self, salt: &str, parts: impl IntoIterator<Item = (u64, u64)>) -> Chain {
        Chain::new(self.seed(salt), parts)
    }

    /// Makes a chain known to all cells, unless its last block is already.
    pub fn learn(&self, salt: &str, chain: &Chain) {
        let Some(last) = chain.0.last() else { return };
        let seed = self.seed(salt);
        for c in read(&self.cells).iter() {
            if !c.knows(last.hash) {
                c.learn(seed, chain);
            }
        }
    }

    pub fn registered(&self, holder: &str, salt: &str, part: u64, kept: Option<u64>) {
        let at = self.admit(holder);
        let seed = self.seed(salt);
        let Some(c) = self.cell(at.cell) else { return };
        let counter = if c.registered(at.no, seed, chain::raw(seed, part), kept) {
            &self.registered
        } else {
            &self.dropped
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub fn evicted(&self, holder: &str, salt: &str, part: u64, kept: u64) {
        let Some(at) = self.at(holder) else { return };
        let seed = self.seed(salt);
        let Some(c) = self.cell(at.cell) else { return };
        let counter = if c.evicted(at.no, chain::raw(seed, part), kept) {
            &self.evicted
        } else {
            &self.dropped
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Holder gone: what it kept no longer counts. It comes back under another number.
    pub fn gone(&self, holder: &str) -> bool {
        let Some(at) = write(&self.names).remove(holder) else { return false };
        self.moves.fetch_add(1, Ordering::Release);
        self.cell(at.cell).is_some_and(|c| c.gone(at.no))
    }

    /// All kept under the salts that `dead` names.
    pub fn void(&self, dead: impl Fn(&str) -> bool) {
        let gone: Vec<u64> = {
            let mut seeds = write(&self.seeds);
            seeds.extract_if(|salt, _| dead(salt)).map(|(_, s)| s).collect()
        };
        for c in read(&self.cells).iter() {
            for s in &gone {
                c.void(*s);
            }
        }
    }

    /// Nothing known of anyone.
    pub fn reset(&self) {
        let all: Vec<(String, At)> = write(&self.names).drain().collect();
        self.moves.fetch_add(1, Ordering::Release);
        for (_, at) in all {
            if let Some(c) = self.cell(at.cell) {
                c.gone(at.no);
            }
        }
    }

    /// One bounded turn of each cell's scrub; true when nothing is left.
    pub fn scrub(&self, most: usize) -> bool {
        self.cells().iter().filter(|c| !c.scrub(most)).count() == 0
    }

    pub fn entries(&self) -> usize {
        self.cells().iter().map(|c| c.entries() + c.blocks()).sum()
    }
}
