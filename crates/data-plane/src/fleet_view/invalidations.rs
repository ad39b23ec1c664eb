//! The router's end of the ring: entries are fetched in the background, applied before a placement.

use super::FleetView;
use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{Body, CachedParts, CachedPrefixes};
use invalidation::cache::Cache;
pub use invalidation::reader::{RingPosition, ViewUpdate, step};
use prompt_index::Index;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::Instant;

/// The index as the ring changes it: its entries are the index's Evicted and HolderGone.
struct Indexed<'a>(&'a Index);

impl Cache for Indexed<'_> {
    fn meet(&mut self, holder: &str) {
        self.0.admit(holder);
    }

    fn found(&mut self, holder: &str, salt: &str, part: u64, cached_tokens: Option<u64>) {
        self.0.registered(holder, salt, part, cached_tokens);
    }

    fn evict(&mut self, holder: &str, salt: &str, part: u64, cached_tokens: u64) {
        self.0.evicted(holder, salt, part, cached_tokens);
    }

    fn drop_holder(&mut self, holder: &str) {
        self.0.remove(holder);
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
    inbox: parking_lot::Mutex<Vec<ViewUpdate>>,
    found: parking_lot::Mutex<Vec<CachedParts>>,
    /// own findings, newest last, for an index owner that starts from nothing
    again: parking_lot::Mutex<std::collections::VecDeque<CachedParts>>,
}

impl PrefixView {
    /// A view that knows nothing.
    pub fn new() -> Self {
        PrefixView {
            index: Index::new(constants::INDEX_ENTRIES),
            pending: AtomicBool::new(false),
            inbox: parking_lot::Mutex::default(),
            found: parking_lot::Mutex::default(),
            again: parking_lot::Mutex::default(),
        }
    }

    /// Leaves a change to be applied before the next look.
    pub fn put(&self, update: ViewUpdate) {
        self.inbox.lock().push(update);
        self.pending.store(true, Ordering::Release);
    }

    /// The index with all applied that has come; the flag is read without a lock.
    pub fn current_index(&self) -> &Index {
        if self.pending.load(Ordering::Acquire) {
            let mut inbox = self.inbox.lock();
            self.pending.store(false, Ordering::Relaxed);
            for update in inbox.drain(..) {
                update.apply(&mut Indexed(&self.index));
            }
        }
        &self.index
    }

    /// An own send has left this prompt at a holder; its shared parts are reported if they are new.
    pub fn sent(&self, holder: &str, salt: &str, parts: &[(u64, u64)]) {
        let index = self.current_index();
        let position = index.admit(holder);
        let Some(cell) = index.cell(position.cell) else { return };
        let shared = &parts[..parts.len().saturating_sub(1)];
        let chain = index.chain(salt, parts.iter().copied());
        index.learn(salt, &chain);
        let one = prompt_index::HolderBitmap::one(position.no.index);
        let depth = cell.query(&chain, &one).of(position.no.index);
        for (part, _) in &parts[depth.min(parts.len())..] {
            index.registered(holder, salt, *part, None);
        }
        if depth < shared.len() {
            self.remember(holder, salt, &shared[depth..]);
        }
    }

    /// Queues a finding to be reported, unless too many wait already.
    fn remember(&self, holder: &str, salt: &str, new_parts: &[(u64, u64)]) {
        let mut found = self.found.lock();
        if found.len() >= constants::PENDING_FINDINGS_CAPACITY {
            return;
        }
        let entries = CachedParts {
            holder: holder.to_owned(),
            salt: salt.to_owned(),
            parts: new_parts.iter().map(|(part, _)| *part).collect(),
            cached_tokens: new_parts.iter().map(|(_, tokens)| *tokens).collect(),
        };
        found.push(entries.clone());
        let mut again = self.again.lock();
        again.push_back(entries);
        if again.len() > constants::REPEATED_FINDINGS_CAPACITY {
            again.pop_front();
        }
    }

    /// What own sends have left behind lately.
    pub fn found_before(&self) -> Vec<CachedParts> {
        self.again.lock().iter().cloned().collect()
    }

    /// Forgets a holder at once.
    pub fn remove_holder(&self, holder: &str) {
        self.index.remove(holder);
    }
}

impl Default for PrefixView {
    fn default() -> Self {
        Self::new()
    }
}

/// Reports what own sends have left behind to whoever passes the ring on to this router.
pub async fn run_findings_reporter(router: Arc<Router>) {
    loop {
        tokio::time::sleep(constants::FINDINGS_REPORT_INTERVAL).await;
        let entries = std::mem::take(&mut *router.fleet_view.prefix_view.found.lock());
        if entries.is_empty() {
            continue;
        }
        // nobody can take them in now: a later index owner is sent them again
        let source = router.fleet_view.ring_to_read(&router.node);
        if let Some(link) = source.and_then(|source| router.fleet_view.link_to(&source)) {
            let _ = link.notify(Body::CachedPrefixes(CachedPrefixes { entries }));
        }
    }
}

/// Clears what gone holders have left in the index, a little at a time.
pub async fn run_index_scrubber(router: Arc<Router>) {
    loop {
        let done = router.fleet_view.prefix_view.index.scrub(constants::SCRUB_ENTRIES);
        tokio::time::sleep(if done {
            constants::ROUTER_HEARTBEAT_INTERVAL
        } else {
            constants::SCRUB_INTERVAL
        })
        .await;
    }
}

/// Fetches behind the head whenever it has moved or the index owner has notified.
pub async fn run_invalidation_reader(router: Arc<Router>) {
    let view = &router.fleet_view;
    let mut position = RingPosition::default();
    let mut announced = (0, 0);
    let mut is_reading = false;
    loop {
        let pause = if is_reading {
            constants::READER_TIMEOUT / 4
        } else {
            constants::RING_SEARCH_INTERVAL
        };
        let _ = tokio::time::timeout(pause, view.ring_moved.notified()).await;
        tokio::time::sleep(constants::RING_FETCH_DELAY).await;
        report_findings_again(view, &mut announced);
        let source = view.ring_to_read(&router.node);
        is_reading = source.is_some();
        let Some(source) = source else { continue };
        let Some(link) = view.link_to(&source) else { continue };
        let mut fetched = fetch(&router, &link, &mut position).await;
        while fetched == Fetch::More {
            fetched = fetch(&router, &link, &mut position).await;
        }
        if fetched == Fetch::NoAnswer {
            view.ring_sources.avoid(&source, Instant::now());
        }
    }
}

/// A new index owner starts from nothing: it is told what own sends have left behind before it came.
fn report_findings_again(view: &FleetView, announced: &mut (u64, u64)) {
    let Some(head) = view.ring_sources.owner() else { return };
    let Some(link) = view.link_to(&head.owner) else { return };
    if *announced == (head.fencing_token, head.incarnation) {
        return;
    }
    *announced = (head.fencing_token, head.incarnation);
    let entries = view.prefix_view.found_before();
    let _ = link.notify(Body::CachedPrefixes(CachedPrefixes { entries }));
}

/// What a fetch leaves to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fetch {
    /// There are more entries.
    More,
    /// Nothing more for now, or an answer that can't be used.
    Done,
    /// Whoever was asked doesn't answer.
    NoAnswer,
}

/// Fetches once, and leaves what came to be applied.
async fn fetch(router: &Router, link: &Link, position: &mut RingPosition) -> Fetch {
    let request = position.request(router.node.incarnation);
    let limit = if request.refill { constants::REFILL_TIMEOUT } else { constants::PHASE_TIMEOUT };
    let Ok(Body::RingResponse(answer)) = link.call(Body::RingRequest(request), limit).await else {
        return Fetch::NoAnswer;
    };
    let head = answer.head.as_ref().map_or(0, |head| head.head);
    let Some((next, update)) = step(*position, answer) else { return Fetch::Done };
    *position = next;
    let Some(update) = update else { return Fetch::Done };
    if update.reset {
        fleet_core::log_event!(router.log, Event::ReaderReset, "cursor" => position.cursor());
    }
    router.fleet_view.prefix_view.put(update);
    if position.cursor() < head { Fetch::More } else { Fetch::Done }
}
