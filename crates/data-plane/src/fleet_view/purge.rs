//! The router's end of the ring: entries are fetched in the background, applied before a placement.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::Router;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Body, Found, HeldParts, RingAsk, RingEntry, RingGive};
use invalidation::cache::Cache;
use prompt_index::Index;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// What a fetch brought: on a reset the whole view gives way; findings come before entries.
pub struct Change {
    pub reset: bool,
    pub digest: Vec<HeldParts>,
    pub entries: Vec<RingEntry>,
}

impl Change {
    pub fn apply(&self, cache: &mut impl Cache) {
        if self.reset {
            cache.reset();
        }
        invalidation::cache::refill(cache, &self.digest);
        for e in &self.entries {
            invalidation::cache::apply(cache, e, |_| true);
        }
    }
}

/// The index as the ring changes it: its entries are the index's Evicted and HolderGone.
struct Indexed<'a>(&'a Index);

impl Cache for Indexed<'_> {
    fn meet(&mut self, holder: &str) {
        self.0.admit(holder);
    }

    fn found(&mut self, holder: &str, salt: &str, part: u64, kept: Option<u64>) {
        self.0.registered(holder, salt, part, kept);
    }

    fn evict(&mut self, holder: &str, salt: &str, part: u64, kept: u64) {
        self.0.evicted(holder, salt, part, kept);
    }

    fn drop_holder(&mut self, holder: &str) {
        self.0.gone(holder);
    }

    fn drop_salts(&mut self, void: &dyn Fn(&str) -> bool) {
        self.0.void(void);
    }

    fn reset(&mut self) {
        self.0.reset();
    }
}

/// The index, what is to be applied to it, and what others are to hear of own sends.
pub struct PrefixView {
    index: Index,
    pending: AtomicBool,
    inbox: parking_lot::Mutex<Vec<Change>>,
    found: parking_lot::Mutex<Vec<HeldParts>>,
    /// own findings, newest last, for a keeper that starts from nothing
    again: parking_lot::Mutex<std::collections::VecDeque<HeldParts>>,
}

impl PrefixView {
    pub fn new() -> Self {
        PrefixView {
            index: Index::new(constants::INDEX_ENTRIES),
            pending: AtomicBool::new(false),
            inbox: parking_lot::Mutex::default(),
            found: parking_lot::Mutex::default(),
            again: parking_lot::Mutex::default(),
        }
    }

    pub fn put(&self, item: Change) {
        self.inbox.lock().push(item);
        self.pending.store(true, Ordering::Release);
    }

    /// The index with all applied that has come; the flag is read without a lock.
    pub fn look(&self) -> &Index {
        if self.pending.load(Ordering::Acquire) {
            let mut inbox = self.inbox.lock();
            self.pending.store(false, Ordering::Relaxed);
            for c in inbox.drain(..) {
                c.apply(&mut Indexed(&self.index));
            }
        }
        &self.index
    }

    /// An own send has left this prompt at a holder; its shared parts are told if they are news.
    pub fn sent(&self, holder: &str, salt: &str, parts: &[(u64, u64)]) {
        let index = self.look();
        let at = index.admit(holder);
        let Some(cell) = index.cell(at.cell) else { return };
        let shared = &parts[..parts.len().saturating_sub(1)];
        let chain = index.chain(salt, parts.iter().copied());
        index.learn(salt, &chain);
        let one = prompt_index::HolderBitmap::one(at.no.index);
        let depth = cell.query(&chain, &one).of(at.no.index);
        for (part, _) in &parts[depth.min(parts.len())..] {
            index.registered(holder, salt, *part, None);
        }
        let mut found = self.found.lock();
        if depth < shared.len() && found.len() < constants::FOUND_KEPT {
            let news = &shared[depth..];
            let held = HeldParts {
                holder: holder.to_owned(),
                salt: salt.to_owned(),
                parts: news.iter().map(|p| p.0).collect(),
                kept: news.iter().map(|p| p.1).collect(),
            };
            found.push(held.clone());
            let mut again = self.again.lock();
            again.push_back(held);
            if again.len() > constants::FOUND_AGAIN {
                again.pop_front();
            }
        }
    }

    /// What own sends have left behind lately.
    pub fn found_before(&self) -> Vec<HeldParts> {
        self.again.lock().iter().cloned().collect()
    }

    pub fn forget(&self, holder: &str) {
        self.index.gone(holder);
    }
}

impl Default for PrefixView {
    fn default() -> Self {
        Self::new()
    }
}

/// Tells the index-keeper what own sends have left behind.
pub async fn telling(d: Arc<Router>) {
    loop {
        tokio::time::sleep(constants::FOUND_PAUSE).await;
        let held = std::mem::take(&mut *d.fleet_view.prefix_view.found.lock());
        if held.is_empty() {
            continue;
        }
        let keeper = d.fleet_view.ring.lock().as_ref().map(|h| h.keeper.clone());
        if let Some(link) = keeper.and_then(|k| d.fleet_view.link_to(&k)) {
            let _ = link.tell(Body::Found(Found { held }));
        }
    }
}

/// Clears what gone holders have left in the index, a little at a time.
pub async fn scrubbing(d: Arc<Router>) {
    loop {
        let done = d.fleet_view.prefix_view.index.scrub(constants::SCRUB_ENTRIES);
        tokio::time::sleep(if done { constants::ROUTER_BEAT } else { constants::SCRUB_PAUSE })
            .await;
    }
}

/// Where this reader stands, and in which incarnation of the ring.
#[derive(Default, Clone, Copy, PartialEq, Eq, Debug)]
pub struct Place {
    fence: u64,
    incarnation: u64,
    cursor: u64,
    found: u64,
}

impl Place {
    pub fn new(fence: u64, incarnation: u64, cursor: u64, found: u64) -> Place {
        Place { fence, incarnation, cursor, found }
    }

    pub fn fence(&self) -> u64 {
        self.fence
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn cursor(&self) -> u64 {
        self.cursor
    }
}

/// What an answer of the keeper does to the reader.
pub fn step(at: Place, g: RingGive) -> Option<(Place, Option<Change>)> {
    let head = g.head?;
    if head.fence < at.fence {
        return None;
    }
    let next = Place {
        fence: head.fence,
        incarnation: head.incarnation,
        cursor: g.cursor,
        found: head.found,
    };
    if !g.reset && (head.fence, head.incarnation) != (at.fence, at.incarnation) {
        return None;
    }
    let any = g.reset || !g.entries.is_empty() || !g.digest.is_empty();
    Some((next, any.then_some(Change { reset: g.reset, digest: g.digest, entries: g.entries })))
}

/// Fetches behind the head whenever it has moved or the keeper has nudged.
pub async fn reading(d: Arc<Router>) {
    let mut at = Place::default();
    let mut told = (0, 0);
    loop {
        let _ =
            tokio::time::timeout(constants::READER_LIMIT / 4, d.fleet_view.news.notified()).await;
        tokio::time::sleep(constants::RING_FETCH_PAUSE).await;
        let Some(head) = d.fleet_view.ring.lock().clone() else { continue };
        let Some(link) = d.fleet_view.link_to(&head.keeper) else { continue };
        if told != (head.fence, head.incarnation) {
            told = (head.fence, head.incarnation);
            let held = d.fleet_view.prefix_view.found_before();
            let _ = link.tell(Body::Found(Found { held }));
        }
        loop {
            let ask = RingAsk {
                fence: at.fence,
                incarnation: at.incarnation,
                cursor: at.cursor,
                reader: d.node.incarnation,
                refill: at == Place::default(),
                found: at.found,
            };
            let limit = if ask.refill { constants::REFILL_LIMIT } else { constants::PHASE_LIMIT };
            let Ok(Body::RingGive(g)) = link.call(Body::RingAsk(ask), limit).await else {
                break;
            };
            let top = g.head.as_ref().map_or(0, |h| h.head);
            let Some((next, change)) = step(at, g) else { break };
            at = next;
            let Some(c) = change else { break };
            if c.reset {
                fleet_core::log_event!(d.log, Event::ReaderReset, "cursor" => at.cursor);
            }
            d.fleet_view.prefix_view.put(c);
            if at.cursor >= top {
                break;
            }
        }
    }
}
