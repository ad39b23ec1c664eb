//! The prompt index of a router: its cells, the location of each holder, and the events that change them.

use crate::cell::{Cell, HolderSlot};
use crate::chain::{self, Chain};
use fleet_core::constants;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard, RwLockWriteGuard};

/// The location of a holder in the index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct IndexLocation {
    /// Index of the cell.
    pub cell: usize,
    /// The holder's slot within the cell.
    pub slot: HolderSlot,
}

type Locations = hashbrown::HashMap<String, IndexLocation, ahash::RandomState>;
type Seeds = hashbrown::HashMap<String, u64, ahash::RandomState>;

/// All cells of a router. Lock order: `locations`, then `cells`, then `seeds`.
pub struct Index {
    locations: RwLock<Locations>,
    cells: RwLock<Vec<Arc<Cell>>>,
    seeds: RwLock<Seeds>,
    cell_capacity: usize,
    location_changes: AtomicU64,
    /// Number of applied events that registered a part at a holder.
    pub registrations: AtomicU64,
    /// Number of applied events that evicted a part from a holder.
    pub evictions: AtomicU64,
    /// Number of events dropped because their holder had been removed.
    pub dropped_events: AtomicU64,
}

fn read<T>(lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(PoisonError::into_inner)
}

fn write<T>(lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(PoisonError::into_inner)
}

impl Index {
    /// An empty index whose cells are bounded to `cell_capacity` entries each.
    pub fn new(cell_capacity: usize) -> Index {
        Index {
            locations: RwLock::default(),
            cells: RwLock::new(vec![Arc::new(Cell::new(cell_capacity))]),
            seeds: RwLock::default(),
            cell_capacity,
            location_changes: AtomicU64::new(1),
            registrations: AtomicU64::new(0),
            evictions: AtomicU64::new(0),
            dropped_events: AtomicU64::new(0),
        }
    }

    /// A counter that increases whenever a holder gets or loses its location.
    pub fn location_changes(&self) -> u64 {
        self.location_changes.load(Ordering::Acquire)
    }

    /// The location of a holder; `None` if it is not in the index.
    pub fn location(&self, holder: &str) -> Option<IndexLocation> {
        read(&self.locations).get(holder).copied()
    }

    /// The cell with this index.
    pub fn cell(&self, number: usize) -> Option<Arc<Cell>> {
        read(&self.cells).get(number).cloned()
    }

    /// All cells, by index.
    pub fn cells(&self) -> Vec<Arc<Cell>> {
        read(&self.cells).clone()
    }

    /// The location of a holder. A holder that has none is admitted, to a new cell if all cells are full.
    pub fn admit(&self, holder: &str) -> IndexLocation {
        if let Some(location) = self.location(holder) {
            return location;
        }
        let mut locations = write(&self.locations);
        if let Some(location) = locations.get(holder) {
            return *location;
        }
        let mut cells = write(&self.cells);
        let location = Self::admit_to_existing_cell(&cells, holder).unwrap_or_else(|| {
            cells.push(Arc::new(Cell::new(self.cell_capacity)));
            let cell = cells.len() - 1;
            match cells[cell].admit() {
                Some(slot) => IndexLocation { cell, slot },
                None => unreachable!("an empty cell has room"),
            }
        });
        locations.insert(holder.to_owned(), location);
        self.location_changes.fetch_add(1, Ordering::Release);
        location
    }

    /// Selects among the cells with free slots by rendezvous hashing; `None` if all are full.
    fn admit_to_existing_cell(cells: &[Arc<Cell>], holder: &str) -> Option<IndexLocation> {
        let score =
            |cell: usize| fleet_core::node::stable_hash(&[holder.as_bytes(), &cell.to_be_bytes()]);
        let mut candidates: Vec<usize> =
            (0..cells.len()).filter(|n| cells[*n].free_slots() > 0).collect();
        candidates.sort_by_key(|cell| score(*cell));
        candidates
            .into_iter()
            .find_map(|cell| Some(IndexLocation { cell, slot: cells[cell].admit()? }))
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

    /// Builds the chain of a prompt under a salt, from pairs of part id and token count.
    pub fn chain(&self, salt: &str, parts: impl IntoIterator<Item = (u64, u64)>) -> Chain {
        Chain::new(self.seed(salt), parts)
    }

    /// Inserts a chain into each cell that does not have its last block yet.
    pub fn insert_chain(&self, salt: &str, chain: &Chain) {
        let Some(last) = chain.0.last() else { return };
        let seed = self.seed(salt);
        for cell in read(&self.cells).iter() {
            if !cell.touch_chain(last.hash) {
                cell.insert_chain(seed, chain);
            }
        }
    }

    /// Records that a holder has cached `cached` tokens of a part; `None` means the whole part. Admits the holder if
    /// it is not in the index.
    pub fn register_part(&self, holder: &str, salt: &str, part: u64, cached: Option<u64>) {
        let location = self.admit(holder);
        let seed = self.seed(salt);
        let Some(cell) = self.cell(location.cell) else { return };
        let counter =
            if cell.register_block(location.slot, seed, chain::block_hash(seed, part), cached) {
                &self.registrations
            } else {
                &self.dropped_events
            };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a holder has at most `cached` tokens of a part left.
    pub fn evict_part(&self, holder: &str, salt: &str, part: u64, cached: u64) {
        let Some(location) = self.location(holder) else { return };
        let seed = self.seed(salt);
        let Some(cell) = self.cell(location.cell) else { return };
        let counter = if cell.evict_block(location.slot, chain::block_hash(seed, part), cached) {
            &self.evictions
        } else {
            &self.dropped_events
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Removes a holder and everything it has cached; returns whether it was in the index. If it is admitted again,
    /// it gets another slot or generation.
    pub fn remove(&self, holder: &str) -> bool {
        let Some(location) = write(&self.locations).remove(holder) else { return false };
        self.location_changes.fetch_add(1, Ordering::Release);
        self.cell(location.cell).is_some_and(|cell| cell.remove(location.slot))
    }

    /// Invalidates everything cached under the salts for which `is_invalid` returns true.
    pub fn invalidate_salts(&self, is_invalid: impl Fn(&str) -> bool) {
        let removed_seeds: Vec<u64> = {
            let mut seeds = write(&self.seeds);
            seeds.extract_if(|salt, _| is_invalid(salt)).map(|(_, seed)| seed).collect()
        };
        for cell in read(&self.cells).iter() {
            for seed in &removed_seeds {
                cell.invalidate_seed(*seed);
            }
        }
    }

    /// Removes all holders.
    pub fn reset(&self) {
        let removed: Vec<(String, IndexLocation)> = write(&self.locations).drain().collect();
        self.location_changes.fetch_add(1, Ordering::Release);
        for (_, location) in removed {
            if let Some(cell) = self.cell(location.cell) {
                cell.remove(location.slot);
            }
        }
    }

    /// Runs one bounded step of each cell's scrub; returns true if no cell has anything left to scrub.
    pub fn scrub(&self, limit: usize) -> bool {
        self.cells().iter().filter(|cell| !cell.scrub(limit)).count() == 0
    }

    /// Number of chain and block entries in all cells.
    pub fn entries(&self) -> usize {
        self.cells().iter().map(|cell| cell.entries() + cell.blocks()).sum()
    }
}
