//! All cells of a router: who has which number where, and what the ring of invalidations does to them.

use crate::cell::{Cell, HolderNo};
use crate::chain::{self, Chain};
use fleet_core::constants;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// Where a holder stands in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct At {
    /// Number of its cell.
    pub cell: usize,
    /// Its number within the cell.
    pub no: HolderNo,
}

type Names = hashbrown::HashMap<String, At, ahash::RandomState>;
type Seeds = hashbrown::HashMap<String, u64, ahash::RandomState>;

/// All cells of a router. Lock order: names, then cells, then seeds.
pub struct Index {
    names: RwLock<Names>,
    cells: RwLock<Vec<Arc<Cell>>>,
    seeds: RwLock<Seeds>,
    most: usize,
    moves: AtomicU64,
    /// Events taken in that a holder keeps a part.
    pub registered: AtomicU64,
    /// Events taken in that a holder keeps a part no more.
    pub evicted: AtomicU64,
    /// Events dropped because their holder had gone.
    pub dropped: AtomicU64,
}

fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

impl Index {
    /// An empty index, each cell bounded to `most` entries.
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

    /// Where a holder stands, if it is known.
    pub fn at(&self, holder: &str) -> Option<At> {
        read(&self.names).get(holder).copied()
    }

    /// A cell by its number.
    pub fn cell(&self, number: usize) -> Option<Arc<Cell>> {
        read(&self.cells).get(number).cloned()
    }

    /// All cells.
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
        let at = Self::admit_to_one_of(&cells, holder).unwrap_or_else(|| {
            cells.push(Arc::new(Cell::new(self.most)));
            let cell = cells.len() - 1;
            match cells[cell].admit() {
                Some(no) => At { cell, no },
                None => unreachable!("an empty cell has room"),
            }
        });
        names.insert(holder.to_owned(), at);
        self.moves.fetch_add(1, Ordering::Release);
        at
    }

    /// By rendezvous among the cells with room.
    fn admit_to_one_of(cells: &[Arc<Cell>], holder: &str) -> Option<At> {
        let rank =
            |cell: usize| fleet_core::node::stable_hash(&[holder.as_bytes(), &cell.to_be_bytes()]);
        let mut order: Vec<usize> =
            (0..cells.len()).filter(|n| cells[*n].free_numbers() > 0).collect();
        order.sort_by_key(|cell| rank(*cell));
        order.into_iter().find_map(|cell| Some(At { cell, no: cells[cell].admit()? }))
    }

    fn seed(&self, salt: &str) -> u64 {
        if let Some(seed) = read(&self.seeds).get(salt) {
            return *seed;
        }
        let seed = chain::seed(salt);
        let mut seeds = write(&self.seeds);
        if seeds.len() >= constants::SALTS_CAPACITY {
            seeds.clear();
        }
        seeds.insert(salt.to_owned(), seed);
        seed
    }

    /// Parts of a prompt as a chain under a salt.
    pub fn chain(&self, salt: &str, parts: impl IntoIterator<Item = (u64, u64)>) -> Chain {
        Chain::new(self.seed(salt), parts)
    }

    /// Makes a chain known to all cells, unless its last block is already.
    pub fn learn(&self, salt: &str, chain: &Chain) {
        let Some(last) = chain.0.last() else { return };
        let seed = self.seed(salt);
        for cell in read(&self.cells).iter() {
            if !cell.knows(last.hash) {
                cell.learn(seed, chain);
            }
        }
    }

    /// Takes in that a holder keeps `cached` tokens of a part, or all of it where none are given.
    pub fn registered(&self, holder: &str, salt: &str, part: u64, cached: Option<u64>) {
        let at = self.admit(holder);
        let seed = self.seed(salt);
        let Some(cell) = self.cell(at.cell) else { return };
        let counter = if cell.registered(at.no, seed, chain::raw(seed, part), cached) {
            &self.registered
        } else {
            &self.dropped
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes in that a holder keeps at most `cached` tokens of a part.
    pub fn evicted(&self, holder: &str, salt: &str, part: u64, cached: u64) {
        let Some(at) = self.at(holder) else { return };
        let seed = self.seed(salt);
        let Some(cell) = self.cell(at.cell) else { return };
        let counter = if cell.evicted(at.no, chain::raw(seed, part), cached) {
            &self.evicted
        } else {
            &self.dropped
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Holder gone: what it cached no longer counts. It comes back under another number.
    pub fn remove(&self, holder: &str) -> bool {
        let Some(at) = write(&self.names).remove(holder) else { return false };
        self.moves.fetch_add(1, Ordering::Release);
        self.cell(at.cell).is_some_and(|cell| cell.remove(at.no))
    }

    /// All cached under the salts that `dead` names.
    pub fn void(&self, dead: impl Fn(&str) -> bool) {
        let remove: Vec<u64> = {
            let mut seeds = write(&self.seeds);
            seeds.extract_if(|salt, _| dead(salt)).map(|(_, seed)| seed).collect()
        };
        for cell in read(&self.cells).iter() {
            for seed in &remove {
                cell.void(*seed);
            }
        }
    }

    /// Nothing known of anyone.
    pub fn reset(&self) {
        let all: Vec<(String, At)> = write(&self.names).drain().collect();
        self.moves.fetch_add(1, Ordering::Release);
        for (_, at) in all {
            if let Some(cell) = self.cell(at.cell) {
                cell.remove(at.no);
            }
        }
    }

    /// One bounded turn of each cell's scrub; true when nothing is left.
    pub fn scrub(&self, most: usize) -> bool {
        self.cells().iter().filter(|cell| !cell.scrub(most)).count() == 0
    }

    /// Entries of all cells.
    pub fn entries(&self) -> usize {
        self.cells().iter().map(|cell| cell.entries() + cell.blocks()).sum()
    }
}
