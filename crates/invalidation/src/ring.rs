//! The ring, its writer and the cursors of its readers.
//! Lock order: readers, then slots.

use crate::sync::{Arc, AtomicBool, AtomicU64, Mutex, Ordering};

/// Where one reader stands; the writer sets the flags, the reader moves the position.
pub struct Cursor {
    /// position of the next entry to read
    next: AtomicU64,
    /// something was published since the last read
    pending: AtomicBool,
    /// entries were overwritten before they were read
    overrun: AtomicBool,
    /// was named as a laggard, and has not caught up yet
    signalled: AtomicBool,
}

struct Slots<T> {
    slots: Vec<Option<T>>,
    head: u64,
    floor: u64,
}

/// A bounded ring of entries with one order for all readers. Positions count from 0 and never fall.
pub struct Ring<T> {
    readers: Mutex<hashbrown::HashMap<u64, Arc<Cursor>>>,
    slots: Mutex<Slots<T>>,
    batch: usize,
    lag: u64,
}

/// What a reader gets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read<T> {
    /// Nothing new.
    Nothing,
    /// Entries were lost: the whole view is void, and the reader stands at this head now.
    Reset(u64),
    /// The next entries, in order.
    Entries(Vec<T>),
}

/// Locks, also after a panic under the lock.
fn lock<T>(mutex: &Mutex<T>) -> Guard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[cfg(feature = "checker")]
type Guard<'a, T> = loom::sync::MutexGuard<'a, T>;
#[cfg(not(feature = "checker"))]
type Guard<'a, T> = std::sync::MutexGuard<'a, T>;

impl<T: Clone> Ring<T> {
    /// A ring of `size` slots that publishes up to `batch` entries under one hold of its locks, and names
    /// readers that are behind by more than `lag` entries.
    pub fn new(size: usize, batch: usize, lag: u64) -> Self {
        Ring {
            readers: Mutex::new(hashbrown::HashMap::new()),
            slots: Mutex::new(Slots { slots: vec![None; size], head: 0, floor: 0 }),
            batch: batch.min(size).max(1),
            lag,
        }
    }

    /// Position behind the newest entry.
    pub fn head(&self) -> u64 {
        lock(&self.slots).head
    }

    /// Nothing below is unread by a reader that still counts.
    pub fn floor(&self) -> u64 {
        lock(&self.slots).floor
    }

    /// Lets a reader start at the head, which is given as well; whatever it knew before is void.
    pub fn enter(&self, reader: u64) -> (Arc<Cursor>, u64) {
        let mut readers = lock(&self.readers);
        let head = lock(&self.slots).head;
        let cursor = Arc::new(Cursor {
            next: AtomicU64::new(head),
            pending: AtomicBool::new(false),
            overrun: AtomicBool::new(false),
            signalled: AtomicBool::new(false),
        });
        readers.insert(reader, cursor.clone());
        (cursor, head)
    }

    /// The cursor of a reader that has entered and was not dropped.
    pub fn cursor(&self, reader: u64) -> Option<Arc<Cursor>> {
        lock(&self.readers).get(&reader).cloned()
    }

    /// Drops the cursor of a reader that is stuck, so that it does not hold the floor; it has to enter anew.
    pub fn drop_reader(&self, reader: u64) -> bool {
        lock(&self.readers).remove(&reader).is_some()
    }

    /// Publishes in batches and names the laggards to nudge, each once until it has caught up.
    pub fn publish(&self, entries: &[T]) -> Vec<u64> {
        let mut nudged = Vec::new();
        for batch in entries.chunks(self.batch) {
            let readers = lock(&self.readers);
            let mut slots = lock(&self.slots);
            let end = slots.head + batch.len() as u64;
            slots.floor = self.advance(&readers, end, slots.slots.len() as u64, &mut nudged);
            slots.append(batch);
            for cursor in readers.values() {
                cursor.pending.store(true, Ordering::Release);
            }
        }
        nudged
    }

    /// Marks the readers that a head at `end` overruns or leaves behind; gives the floor.
    fn advance(
        &self,
        readers: &hashbrown::HashMap<u64, Arc<Cursor>>,
        end: u64,
        size: u64,
        nudged: &mut Vec<u64>,
    ) -> u64 {
        let mut floor = end;
        for (reader, cursor) in readers {
            let next = cursor.next.load(Ordering::Relaxed);
            if cursor.overrun.load(Ordering::Relaxed) {
                continue;
            }
            if end - next > size {
                cursor.overrun.store(true, Ordering::Relaxed);
                continue;
            }
            floor = floor.min(next);
            if end - next > self.lag && !cursor.signalled.swap(true, Ordering::Relaxed) {
                nudged.push(*reader);
            }
        }
        floor
    }

    /// Reads up to `most` entries; without a lock where nothing is new.
    pub fn read(&self, cursor: &Cursor, most: usize) -> Read<T> {
        if !cursor.pending.load(Ordering::Acquire) {
            return Read::Nothing;
        }
        let slots = lock(&self.slots);
        cursor.pending.store(false, Ordering::Relaxed);
        if cursor.overrun.load(Ordering::Relaxed) {
            cursor.next.store(slots.head, Ordering::Relaxed);
            cursor.overrun.store(false, Ordering::Relaxed);
            cursor.signalled.store(false, Ordering::Relaxed);
            return Read::Reset(slots.head);
        }
        let from = cursor.next.load(Ordering::Relaxed);
        let to = slots.head.min(from + most as u64);
        let entries = slots.copy(from, to);
        cursor.next.store(to, Ordering::Relaxed);
        if to < slots.head {
            cursor.pending.store(true, Ordering::Relaxed);
        } else {
            cursor.signalled.store(false, Ordering::Relaxed);
        }
        if entries.is_empty() { Read::Nothing } else { Read::Entries(entries) }
    }
}

impl<T: Clone> Slots<T> {
    fn append(&mut self, batch: &[T]) {
        let size = self.slots.len() as u64;
        for entry in batch {
            let slot = (self.head % size) as usize;
            self.slots[slot] = Some(entry.clone());
            self.head += 1;
        }
    }

    fn copy(&self, from: u64, to: u64) -> Vec<T> {
        let size = self.slots.len() as u64;
        (from..to).filter_map(|position| self.slots[(position % size) as usize].clone()).collect()
    }
}

impl Cursor {
    /// Position of the next entry to read.
    pub fn next(&self) -> u64 {
        self.next.load(Ordering::Relaxed)
    }
}

#[cfg(all(test, not(feature = "checker")))]
#[path = "ring_tests.rs"]
mod tests;

#[cfg(all(test, feature = "checker"))]
#[path = "ring_interleavings_tests.rs"]
mod checked;
