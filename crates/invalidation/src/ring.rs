//! The bounded ring of entries, its writer side and the cursors of its readers.
//! Lock order: `readers` before `slots`.

use crate::sync::{Arc, AtomicBool, AtomicU64, Mutex, Ordering};

/// The read position of one reader. The writer sets the flags; the reader advances the position and clears them.
pub struct Cursor {
    /// Position of the next entry to read.
    next: AtomicU64,
    /// Entries were published since the last read.
    pending: AtomicBool,
    /// Entries were overwritten before they were read.
    overrun: AtomicBool,
    /// The reader was reported as lagging and has not caught up since.
    lag_reported: AtomicBool,
}

struct Slots<T> {
    slots: Vec<Option<T>>,
    head: u64,
    low_watermark: u64,
}

/// A bounded ring of entries, in the same order for all readers. Positions start at 0 and never decrease.
pub struct Ring<T> {
    readers: Mutex<hashbrown::HashMap<u64, Arc<Cursor>>>,
    slots: Mutex<Slots<T>>,
    batch: usize,
    max_lag: u64,
}

/// The result of one read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadResult<T> {
    /// No new entries.
    UpToDate,
    /// Entries were overwritten before they were read: the reader's cache is invalid, and its position is now this
    /// head.
    Reset(u64),
    /// The next entries, in order.
    Entries(Vec<T>),
}

/// Locks a mutex and ignores poisoning.
fn lock<T>(mutex: &Mutex<T>) -> Guard<'_, T> {
    mutex.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}

#[cfg(feature = "checker")]
type Guard<'a, T> = loom::sync::MutexGuard<'a, T>;
#[cfg(not(feature = "checker"))]
type Guard<'a, T> = std::sync::MutexGuard<'a, T>;

impl<T: Clone> Ring<T> {
    /// A ring of `size` slots that publishes up to `batch` entries each time it takes its locks, and reports
    /// readers that lag by more than `max_lag` entries.
    pub fn new(size: usize, batch: usize, max_lag: u64) -> Self {
        Ring {
            readers: Mutex::new(hashbrown::HashMap::new()),
            slots: Mutex::new(Slots { slots: vec![None; size], head: 0, low_watermark: 0 }),
            batch: batch.min(size).max(1),
            max_lag,
        }
    }

    /// Position after the newest entry.
    pub fn head(&self) -> u64 {
        lock(&self.slots).head
    }

    /// Low watermark as of the last publication: readers that are neither overrun nor removed have read every entry
    /// below it.
    pub fn low_watermark(&self) -> u64 {
        lock(&self.slots).low_watermark
    }

    /// Registers a reader at the head and returns its cursor and the head. Anything it read before is invalid.
    pub fn register_reader(&self, reader: u64) -> (Arc<Cursor>, u64) {
        let mut readers = lock(&self.readers);
        let head = lock(&self.slots).head;
        let cursor = Arc::new(Cursor {
            next: AtomicU64::new(head),
            pending: AtomicBool::new(false),
            overrun: AtomicBool::new(false),
            lag_reported: AtomicBool::new(false),
        });
        readers.insert(reader, cursor.clone());
        (cursor, head)
    }

    /// The cursor of a registered reader.
    pub fn cursor(&self, reader: u64) -> Option<Arc<Cursor>> {
        lock(&self.readers).get(&reader).cloned()
    }

    /// Removes the cursor of a stuck reader, so that it does not hold back the low watermark; returns whether the
    /// reader was registered. It must register again.
    pub fn remove_reader(&self, reader: u64) -> bool {
        lock(&self.readers).remove(&reader).is_some()
    }

    /// Publishes in batches and returns the lagging readers to notify, each once until it has caught up.
    pub fn publish(&self, entries: &[T]) -> Vec<u64> {
        let mut lagging = Vec::new();
        for batch in entries.chunks(self.batch) {
            let readers = lock(&self.readers);
            let mut slots = lock(&self.slots);
            let end = slots.head + batch.len() as u64;
            slots.low_watermark =
                self.update_cursors(&readers, end, slots.slots.len() as u64, &mut lagging);
            slots.append(batch);
            for cursor in readers.values() {
                cursor.pending.store(true, Ordering::Release);
            }
        }
        lagging
    }

    /// Marks the readers that a head at `end` overruns or leaves lagging; returns the low watermark.
    fn update_cursors(
        &self,
        readers: &hashbrown::HashMap<u64, Arc<Cursor>>,
        end: u64,
        size: u64,
        lagging: &mut Vec<u64>,
    ) -> u64 {
        let mut low_watermark = end;
        for (reader, cursor) in readers {
            let next = cursor.next.load(Ordering::Relaxed);
            if cursor.overrun.load(Ordering::Relaxed) {
                continue;
            }
            if end - next > size {
                cursor.overrun.store(true, Ordering::Relaxed);
                continue;
            }
            low_watermark = low_watermark.min(next);
            if end - next > self.max_lag && !cursor.lag_reported.swap(true, Ordering::Relaxed) {
                lagging.push(*reader);
            }
        }
        low_watermark
    }

    /// Reads up to `limit` entries; takes no lock if nothing was published.
    pub fn read(&self, cursor: &Cursor, limit: usize) -> ReadResult<T> {
        if !cursor.pending.load(Ordering::Acquire) {
            return ReadResult::UpToDate;
        }
        let slots = lock(&self.slots);
        cursor.pending.store(false, Ordering::Relaxed);
        if cursor.overrun.load(Ordering::Relaxed) {
            cursor.next.store(slots.head, Ordering::Relaxed);
            cursor.overrun.store(false, Ordering::Relaxed);
            cursor.lag_reported.store(false, Ordering::Relaxed);
            return ReadResult::Reset(slots.head);
        }
        let from = cursor.next.load(Ordering::Relaxed);
        let to = slots.head.min(from + limit as u64);
        let entries = slots.copy(from, to);
        cursor.next.store(to, Ordering::Relaxed);
        if to < slots.head {
            cursor.pending.store(true, Ordering::Relaxed);
        } else {
            cursor.lag_reported.store(false, Ordering::Relaxed);
        }
        if entries.is_empty() { ReadResult::UpToDate } else { ReadResult::Entries(entries) }
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
mod interleavings_tests;
