//! The ring, its writer and the cursors of its readers.
//! Lock order: readers, then slots.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::sync::{Arc, AtomicBool, AtomicU64, Mutex, Ordering};

/// Of one reader; the writer sets the flags, the reader moves the cursor.
pub struct Cursor {
    next: AtomicU64,
    pending: AtomicBool,
    overrun: AtomicBool,
    signalled: AtomicBool,
}

struct Slots<T> {
    kept: Vec<Option<T>>,
    head: u64,
    floor: u64,
}

pub struct Ring<T> {
    readers: Mutex<hashbrown::HashMap<u64, Arc<Cursor>>>,
    slots: Mutex<Slots<T>>,
    batch: usize,
    lag: u64,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Read<T> {
    Nothing,
    /// the whole view is void; the reader stands at this head now
    Reset(u64),
    Entries(Vec<T>),
}

fn held<'a, T>(m: &'a Mutex<T>) -> crate::ring::Guard<'a, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

#[cfg(feature = "checker")]
type Guard<'a, T> = loom::sync::MutexGuard<'a, T>;
#[cfg(not(feature = "checker"))]
type Guard<'a, T> = std::sync::MutexGuard<'a, T>;

impl<T: Clone> Ring<T> {
    pub fn new(size: usize, batch: usize, lag: u64) -> Self {
        Ring {
            readers: Mutex::new(hashbrown::HashMap::new()),
            slots: Mutex::new(Slots { kept: vec![None; size], head: 0, floor: 0 }),
            batch: batch.min(size).max(1),
            lag,
        }
    }

    pub fn head(&self) -> u64 {
        held(&self.slots).head
    }

    /// Nothing below is unread by a reader that still counts.
    pub fn floor(&self) -> u64 {
        held(&self.slots).floor
    }

    /// A reader that starts at the head; whatever it knew before is void.
    pub fn enter(&self, reader: u64) -> (Arc<Cursor>, u64) {
        let mut readers = held(&self.readers);
        let head = held(&self.slots).head;
        let c = Arc::new(Cursor {
            next: AtomicU64::new(head),
            pending: AtomicBool::new(false),
            overrun: AtomicBool::new(false),
            signalled: AtomicBool::new(false),
        });
        readers.insert(reader, c.clone());
        (c, head)
    }

    pub fn cursor(&self, reader: u64) -> Option<Arc<Cursor>> {
        held(&self.readers).get(&reader).cloned()
    }

    /// A reader that is stuck never holds the floor: its cursor goes, and it is reset on return.
    pub fn drop_reader(&self, reader: u64) -> bool {
        held(&self.readers).remove(&reader).is_some()
    }

    /// Publishes in batches and names the laggards to nudge, each once until it has caught up.
    pub fn publish(&self, entries: &[T]) -> Vec<u64> {
        let mut nudged = Vec::new();
        for batch in entries.chunks(self.batch) {
            let readers = held(&self.readers);
            let mut s = held(&self.slots);
            let size = s.kept.len() as u64;
            let end = s.head + batch.len() as u64;
            let mut floor = end;
            for (id, c) in readers.iter() {
                let next = c.next.load(Ordering::Relaxed);
                if c.overrun.load(Ordering::Relaxed) {
                    continue;
                }
                if end - next > size {
                    c.overrun.store(true, Ordering::Relaxed);
                    continue;
                }
                floor = floor.min(next);
                if end - next > self.lag && !c.signalled.swap(true, Ordering::Relaxed) {
                    nudged.push(*id);
                }
            }
            for (i, e) in batch.iter().enumerate() {
                let at = ((s.head + i as u64) % size) as usize;
                s.kept[at] = Some(e.clone());
            }
            s.head = end;
            s.floor = floor;
            for c in readers.values() {
                c.pending.store(true, Ordering::Release);
            }
        }
        nudged
    }

    pub fn read(&self, c: &Cursor, most: usize) -> Read<T> {
        if !c.pending.load(Ordering::Acquire) {
            return Read::Nothing;
        }
        let s = held(&self.slots);
        c.pending.store(false, Ordering::Relaxed);
        if c.overrun.load(Ordering::Relaxed) {
            c.next.store(s.head, Ordering::Relaxed);
            c.overrun.store(false, Ordering::Relaxed);
            c.signalled.store(false, Ordering::Relaxed);
            return Read::Reset(s.head);
        }
        let size = s.kept.len() as u64;
        let from = c.next.load(Ordering::Relaxed);
        let to = s.head.min(from + most as u64);
        let out: Vec<T> = (from..to).filter_map(|n| s.kept[(n % size) as usize].clone()).collect();
        c.next.store(to, Ordering::Relaxed);
        if to < s.head {
            c.pending.store(true, Ordering::Relaxed);
        } else {
            c.signalled.store(false, Ordering::Relaxed);
        }
        if out.is_empty() { Read::Nothing } else { Read::Entries(out) }
    }
}

impl Cursor {
    pub fn next(&self) -> u64 {
        self.next.load(Ordering::Relaxed)
    }
}

#[cfg(all(test, not(feature = "checker")))]
#[path = "ring_tests.rs"]
mod tests;

#[cfg(all(test, feature = "checker"))]
mod checked {
    use super::*;

    #[test]
    fn no_entry_is_skipped_without_a_reset() {
        loom::model(|| {
            let r = Arc::new(Ring::new(2, 2, 1));
            let (c, _) = r.enter(1);
            let w = {
                let r = r.clone();
                loom::thread::spawn(move || {
                    r.publish(&[0u64, 1]);
                    r.publish(&[2u64]);
                })
            };
            let mut at = 0;
            let take = |at: &mut u64| match r.read(&c, 8) {
                Read::Nothing => {}
                Read::Reset(h) => *at = h,
                Read::Entries(e) => {
                    for x in e {
                        assert_eq!(x, *at);
                        *at += 1;
                    }
                }
            };
            take(&mut at);
            w.join().unwrap();
            take(&mut at);
            take(&mut at);
            assert_eq!(at, 3);
        });
    }

    #[test]
    fn two_writers_and_a_reader_agree_on_one_order() {
        loom::model(|| {
            let r = Arc::new(Ring::new(4, 2, 4));
            let (c, _) = r.enter(1);
            let w = {
                let r = r.clone();
                loom::thread::spawn(move || {
                    r.publish(&[1u64]);
                })
            };
            r.publish(&[2u64]);
            let mut got = Vec::new();
            if let Read::Entries(e) = r.read(&c, 8) {
                got.extend(e);
            }
            w.join().unwrap();
            if let Read::Entries(e) = r.read(&c, 8) {
                got.extend(e);
            }
            got.sort();
            assert_eq!(got, vec![1, 2]);
            assert_eq!(c.next(), 2);
        });
    }

    #[test]
    fn pending_is_never_lost_between_publish_and_read() {
        loom::model(|| {
            let r = Arc::new(Ring::new(4, 2, 4));
            let (c, _) = r.enter(1);
            let reader = {
                let (r, c) = (r.clone(), c.clone());
                loom::thread::spawn(move || match r.read(&c, 8) {
                    Read::Entries(e) => e.len(),
                    _ => 0,
                })
            };
            r.publish(&[1u64, 2]);
            let first = reader.join().unwrap();
            let rest = match r.read(&c, 8) {
                Read::Entries(e) => e.len(),
                _ => 0,
            };
            assert_eq!(first + rest, 2);
        });
    }
}
