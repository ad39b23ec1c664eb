//! The carrier's end of the ring: entries are fetched in the background, applied before a placement.

use crate::Delivery;
use pouch::constants as k;
use pouch::log::Event;
use pouch::wire::{Body, RingAsk, RingEntry, RingGive};
use recall::view::View;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What a fetch brought: on a reset the whole view gives way; findings come before entries.
pub struct Change {
    reset: bool,
    digest: Vec<pouch::wire::HeldParts>,
    entries: Vec<RingEntry>,
}

impl Change {
    fn apply(&self, view: &mut View) {
        if self.reset {
            view.reset();
        }
        view.refill(&self.digest);
        for e in &self.entries {
            view.apply(e, |_| true);
        }
    }
}

/// The placement view and what is to be applied to it.
pub struct Shelf {
    view: parking_lot::Mutex<View>,
    pending: AtomicBool,
    inbox: parking_lot::Mutex<Vec<Change>>,
}

impl Shelf {
    pub fn new() -> Self {
        Shelf {
            view: parking_lot::Mutex::new(View::new(k::RING_SLOTS)),
            pending: AtomicBool::new(false),
            inbox: parking_lot::Mutex::default(),
        }
    }

    fn put(&self, item: Change) {
        self.inbox.lock().push(item);
        self.pending.store(true, Ordering::Release);
    }

    /// The view with all applied that has come; the flag is read without a lock.
    pub fn look<T>(&self, f: impl FnOnce(&mut View) -> T) -> T {
        if !self.pending.load(Ordering::Acquire) {
            return f(&mut self.view.lock());
        }
        let mut view = self.view.lock();
        self.pending.store(false, Ordering::Relaxed);
        let items = std::mem::take(&mut *self.inbox.lock());
        for c in items {
            c.apply(&mut view);
        }
        f(&mut view)
    }

    pub fn forget(&self, holder: &str) {
        self.view.lock().forget_holder(holder);
    }
}

impl Default for Shelf {
    fn default() -> Self {
        Self::new()
    }
}

/// Where this reader stands, and in which life of the ring.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
pub struct Place {
    fence: u64,
    life: u64,
    cursor: u64,
    found: u64,
}

/// What an answer of the keeper does to the reader.
pub fn step(at: Place, g: RingGive) -> Option<(Place, Option<Change>)> {
    let head = g.head?;
    if head.fence < at.fence {
        return None;
    }
    let next = Place { fence: head.fence, life: head.life, cursor: g.cursor, found: head.found };
    if !g.reset && (head.fence, head.life) != (at.fence, at.life) {
        return None;
    }
    let any = g.reset || !g.entries.is_empty() || !g.digest.is_empty();
    Some((next, any.then_some(Change { reset: g.reset, digest: g.digest, entries: g.entries })))
}

/// Fetches behind the head whenever it has moved or the keeper has nudged.
pub async fn reading(d: Arc<Delivery>) {
    let mut at = Place::default();
    loop {
        let _ = tokio::time::timeout(k::READER_LIMIT / 4, d.sight.news.notified()).await;
        tokio::time::sleep(k::RING_FETCH_PAUSE).await;
        let Some(head) = d.sight.ring.lock().clone() else { continue };
        let Some(link) = d.sight.link_to(&head.keeper) else { continue };
        loop {
            let ask = RingAsk {
                fence: at.fence,
                life: at.life,
                cursor: at.cursor,
                reader: d.node.life,
                refill: at == Place::default(),
                found: at.found,
            };
            let Ok(Body::RingGive(g)) = link.call(Body::RingAsk(ask), k::PHASE_LIMIT).await else {
                break;
            };
            let top = g.head.as_ref().map_or(0, |h| h.head);
            let Some((next, change)) = step(at, g) else { break };
            at = next;
            let Some(c) = change else { break };
            if c.reset {
                pouch::note!(d.log, Event::ReaderReset, "cursor" => at.cursor);
            }
            d.sight.shelf.put(c);
            if at.cursor >= top {
                break;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use pouch::wire::{HeldParts, PartAt, Purge, RingHead};

    fn head(fence: u64, life: u64, head: u64) -> Option<RingHead> {
        Some(RingHead { fence, life, head, ..Default::default() })
    }

    #[test]
    fn another_life_counts_only_with_a_reset() {
        let at = Place { fence: 2, life: 7, cursor: 5, found: 0 };
        let g = RingGive { head: head(2, 8, 9), cursor: 9, ..Default::default() };
        assert!(step(at, g.clone()).is_none());
        let (next, change) = step(at, RingGive { reset: true, ..g }).unwrap();
        assert_eq!(next, Place { fence: 2, life: 8, cursor: 9, found: 0 });
        assert!(change.is_some_and(|c| c.reset));
        let old = RingGive { head: head(1, 3, 9), reset: true, ..Default::default() };
        assert!(step(at, old).is_none());
    }

    #[test]
    fn entries_are_applied_before_the_view_is_looked_at() {
        let s = Shelf::new();
        let part = recall::view::part_of("m|1|#1", 4);
        s.put(Change {
            reset: true,
            digest: vec![HeldParts { holder: "e".into(), salt: "m|1|#1".into(), parts: vec![4] }],
            entries: Vec::new(),
        });
        assert!(s.look(|v| v.holds("e", part)));
        let gone = Purge::Part(PartAt { holder: "e".into(), salt: "m|1|#1".into(), part: 4 });
        s.put(Change {
            reset: false,
            digest: Vec::new(),
            entries: vec![RingEntry { scope: 0, what: Some(gone) }],
        });
        assert!(!s.look(|v| v.holds("e", part)));
    }

    proptest::proptest! {
        /// A reader's view never holds what a published entry before its cursor removed,
        /// over lost answers, overruns and new lives of the keeper.
        #[test]
        fn view_never_holds_what_was_purged(steps in proptest::collection::vec((0u8..6, 0u64..6), 1..120)) {
            use recall::ring::{Read, Ring};
            let entry = |p: u64| RingEntry {
                scope: 0,
                what: Some(Purge::Part(PartAt { holder: "e".into(), salt: "m|1|#1".into(), part: p })),
            };
            let (mut ring, mut life) = (Ring::<RingEntry>::new(8, 2, 4), 1u64);
            let mut truth = std::collections::HashSet::<u64>::new();
            let mut view = View::new(100);
            let mut at = Place::default();
            for (what, p) in steps {
                match what {
                    0 => { truth.insert(p); }
                    1 | 2 => {
                        truth.remove(&p);
                        ring.publish(&[entry(p)]);
                    }
                    3 => {
                        ring = Ring::new(8, 2, 4);
                        life += 1;
                    }
                    _ => {
                        let lost = what == 5;
                        let same = at.life == life && at.fence == 1;
                        let cursor = if same { ring.cursor(1).filter(|c| c.next() == at.cursor) } else { None };
                        let mut g = RingGive { head: head(1, life, ring.head()), ..Default::default() };
                        match cursor.as_ref().map(|c| (c, ring.read(c, 3))) {
                            Some((c, Read::Entries(e))) => { g.entries = e; g.cursor = c.next(); }
                            Some((c, Read::Nothing)) => g.cursor = c.next(),
                            _ => {
                                let (_, cur) = ring.enter(1);
                                g.reset = true;
                                g.cursor = cur;
                                g.digest = vec![HeldParts { holder: "e".into(), salt: "m|1|#1".into(), parts: truth.iter().copied().collect() }];
                            }
                        }
                        if lost { continue; }
                        let Some((next, change)) = step(at, g) else { continue };
                        at = next;
                        if let Some(c) = change { c.apply(&mut view); }
                        if at.cursor == ring.head() && at.life == life {
                            for q in 0..6 {
                                let held = view.holds("e", recall::view::part_of("m|1|#1", q));
                                proptest::prop_assert!(!held || truth.contains(&q));
                            }
                        }
                    }
                }
            }
        }
    }
}
