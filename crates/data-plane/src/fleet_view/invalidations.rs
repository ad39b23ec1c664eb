//! Keeps the prompt index valid: fetches entries of the invalidation ring in the background, and applies them before
//! the index is next used.

use super::FleetView;
use crate::Router;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::wire::{Body, CachedParts, CachedPrefixes};
use invalidation::cache::Cache;
pub use invalidation::reader::{RingPosition, ViewUpdate, apply_response};
use prompt_index::Index;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::time::Instant;

/// Applies ring entries to the prompt index, as evictions of parts and removals of holders.
struct IndexCache<'a>(&'a Index);

impl Cache for IndexCache<'_> {
    fn add_holder(&mut self, holder: &str) {
        self.0.admit(holder);
    }

    fn register_part(&mut self, holder: &str, salt: &str, part: u64, cached_tokens: Option<u64>) {
        self.0.register_part(holder, salt, part, cached_tokens);
    }

    fn evict_part(&mut self, holder: &str, salt: &str, part: u64, cached_tokens: u64) {
        self.0.evict_part(holder, salt, part, cached_tokens);
    }

    fn remove_holder(&mut self, holder: &str) {
        self.0.remove(holder);
    }

    fn remove_salts(&mut self, is_invalid: &dyn Fn(&str) -> bool) {
        self.0.invalidate_salts(is_invalid);
    }

    fn reset(&mut self) {
        self.0.reset();
    }
}

/// The prompt index, the updates to be applied to it, and this router's findings to be reported.
///
/// A finding says that a dispatch of this router has left parts of a prompt in the cache of a holder.
pub struct PrefixView {
    index: Index,
    has_pending: AtomicBool,
    pending_updates: parking_lot::Mutex<Vec<ViewUpdate>>,
    /// Findings not yet reported.
    unreported: parking_lot::Mutex<Vec<CachedParts>>,
    /// The most recent findings, newest last, for an index owner that starts with an empty index.
    recent_findings: parking_lot::Mutex<std::collections::VecDeque<CachedParts>>,
}

impl PrefixView {
    /// A view with an empty index.
    pub fn new() -> Self {
        PrefixView {
            index: Index::new(constants::INDEX_ENTRIES),
            has_pending: AtomicBool::new(false),
            pending_updates: parking_lot::Mutex::default(),
            unreported: parking_lot::Mutex::default(),
            recent_findings: parking_lot::Mutex::default(),
        }
    }

    /// Queues an update, which is applied before the index is next used.
    pub fn queue_update(&self, update: ViewUpdate) {
        self.pending_updates.lock().push(update);
        self.has_pending.store(true, Ordering::Release);
    }

    /// The index, after applying all queued updates. If there are none, no lock is taken.
    pub fn current_index(&self) -> &Index {
        if self.has_pending.load(Ordering::Acquire) {
            let mut pending_updates = self.pending_updates.lock();
            self.has_pending.store(false, Ordering::Relaxed);
            for update in pending_updates.drain(..) {
                update.apply(&mut IndexCache(&self.index));
            }
        }
        &self.index
    }

    /// Records that a dispatch of this router has left a prompt in the cache of a holder. Shared parts that the index
    /// didn't list there are queued to be reported.
    pub fn record_dispatch(&self, holder: &str, salt: &str, parts: &[(u64, u64)]) {
        let index = self.current_index();
        let location = index.admit(holder);
        let Some(cell) = index.cell(location.cell) else { return };
        let shared = &parts[..parts.len().saturating_sub(1)];
        let chain = index.chain(salt, parts.iter().copied());
        index.insert_chain(salt, &chain);
        let holder_only = prompt_index::HolderBitmap::single(location.slot.index);
        let depth = cell.query(&chain, &holder_only).depth_of(location.slot.index);
        for (part, _) in &parts[depth.min(parts.len())..] {
            index.register_part(holder, salt, *part, None);
        }
        if depth < shared.len() {
            self.queue_finding(holder, salt, &shared[depth..]);
        }
    }

    /// Queues a finding to be reported; drops it if [`constants::PENDING_FINDINGS_CAPACITY`] are queued already.
    fn queue_finding(&self, holder: &str, salt: &str, new_parts: &[(u64, u64)]) {
        let mut unreported = self.unreported.lock();
        if unreported.len() >= constants::PENDING_FINDINGS_CAPACITY {
            return;
        }
        let finding = CachedParts {
            holder: holder.to_owned(),
            salt: salt.to_owned(),
            parts: new_parts.iter().map(|(part, _)| *part).collect(),
            cached_tokens: new_parts.iter().map(|(_, tokens)| *tokens).collect(),
        };
        unreported.push(finding.clone());
        let mut recent_findings = self.recent_findings.lock();
        recent_findings.push_back(finding);
        if recent_findings.len() > constants::RECENT_FINDINGS_CAPACITY {
            recent_findings.pop_front();
        }
    }

    /// The most recent findings of this router, at most [`constants::RECENT_FINDINGS_CAPACITY`], oldest first.
    pub fn recent_findings(&self) -> Vec<CachedParts> {
        self.recent_findings.lock().iter().cloned().collect()
    }

    /// Removes a holder and all its entries from the index.
    pub fn remove_holder(&self, holder: &str) {
        self.index.remove(holder);
    }
}

impl Default for PrefixView {
    fn default() -> Self {
        Self::new()
    }
}

/// Reports this router's findings to the controller from which it reads the ring.
pub async fn run_findings_reporter(router: Arc<Router>) {
    loop {
        tokio::time::sleep(constants::FINDINGS_REPORT_INTERVAL).await;
        let entries = std::mem::take(&mut *router.fleet_view.prefix_view.unreported.lock());
        if entries.is_empty() {
            continue;
        }
        // If no controller can be reached, these findings are dropped here; the most recent ones are sent to the next
        // index owner.
        let source = router.fleet_view.ring_to_read(&router.node);
        if let Some(link) = source.and_then(|source| router.fleet_view.link_to(&source)) {
            let _ = link.notify(Body::CachedPrefixes(CachedPrefixes { entries }));
        }
    }
}

/// Removes the entries of removed holders from the index, [`constants::SCRUB_BATCH`] at a time.
pub async fn run_index_scrubber(router: Arc<Router>) {
    loop {
        let done = router.fleet_view.prefix_view.index.scrub(constants::SCRUB_BATCH);
        tokio::time::sleep(if done {
            constants::ROUTER_HEARTBEAT_INTERVAL
        } else {
            constants::SCRUB_INTERVAL
        })
        .await;
    }
}

/// Fetches new entries whenever the head of the ring has advanced or the index owner has sent a notification.
pub async fn run_invalidation_reader(router: Arc<Router>) {
    let view = &router.fleet_view;
    let mut position = RingPosition::default();
    let mut last_owner = (0, 0);
    let mut is_reading = false;
    loop {
        let pause = if is_reading {
            constants::READER_TIMEOUT / 4
        } else {
            constants::RING_SEARCH_INTERVAL
        };
        let _ = tokio::time::timeout(pause, view.ring_changed.notified()).await;
        tokio::time::sleep(constants::RING_FETCH_DELAY).await;
        resend_findings(view, &mut last_owner);
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

/// Sends the most recent findings to a new index owner, which starts with an empty index.
fn resend_findings(view: &FleetView, last_owner: &mut (u64, u64)) {
    let Some(head) = view.ring_sources.owner() else { return };
    let Some(link) = view.link_to(&head.owner) else { return };
    if *last_owner == (head.fencing_token, head.incarnation) {
        return;
    }
    *last_owner = (head.fencing_token, head.incarnation);
    let entries = view.prefix_view.recent_findings();
    let _ = link.notify(Body::CachedPrefixes(CachedPrefixes { entries }));
}

/// Outcome of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fetch {
    /// The ring has more entries.
    More,
    /// All entries were fetched, or the response can't be used.
    Done,
    /// The controller didn't respond in time.
    NoAnswer,
}

/// Fetches once, and queues the entries to be applied.
async fn fetch(router: &Router, link: &Link, position: &mut RingPosition) -> Fetch {
    let request = position.request(router.node.incarnation);
    let timeout = if request.request_snapshot {
        constants::SNAPSHOT_TIMEOUT
    } else {
        constants::PHASE_TIMEOUT
    };
    let Ok(Body::RingResponse(response)) = link.call(Body::RingRequest(request), timeout).await
    else {
        return Fetch::NoAnswer;
    };
    let head = response.head.as_ref().map_or(0, |head| head.head);
    let Some((next, update)) = apply_response(*position, response) else { return Fetch::Done };
    *position = next;
    let Some(update) = update else { return Fetch::Done };
    if update.reset {
        fleet_core::log_event!(router.log, Event::ReaderReset, "cursor" => position.cursor());
    }
    router.fleet_view.prefix_view.queue_update(update);
    if position.cursor() < head { Fetch::More } else { Fetch::Done }
}
