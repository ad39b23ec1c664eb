//! Relays the index owner's ring to nearby routers.
//!
//! The owner sends each finding and each invalidation once to every reader. With hundreds of routers as direct readers
//! this would saturate its network link, and most of the traffic would cross zones. The other voters therefore read the
//! ring as well, keep a copy of the index, and serve the routers near them: the owner sends only one copy per voter,
//! and a router that has to rebuild its view gets a snapshot from its own zone.
//!
//! Routers report which prefixes their requests leave cached to the relay that they read. The relay forwards these
//! reports to its readers at once and to the owner, so that routers of one zone continue to learn from each other while
//! the owner is being replaced.
//!
//! A relay's ring numbers its entries independently, and a reader that switches from another ring starts from a
//! snapshot, as after a change of the owner. A relay that loses contact with the owner notifies its readers, which
//! switch to another relay or to the owner. A relay holds no state that exists only there, so its failure loses
//! nothing.

use super::published::PublishedIndex;
use super::{IndexOwnership, IndexOwnershipDependencies};
use crate::cluster_state::{ClusterStateStore, StateChange};
use crate::leases::INDEX_OWNER_LEASE;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::node::node_id_of;
use fleet_core::wire::{Body, CachedPrefixes, FleetUpdate, RingHead};
use invalidation::reader::{RingPosition, ViewUpdate, apply_response};
use parking_lot::Mutex;
use std::net::Ipv4Addr;
use std::sync::Arc;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Whether there are enough routers for relays to be worth the memory that they use.
pub fn are_relays_needed(cluster_state: &ClusterStateStore) -> bool {
    cluster_state.read(|state| state.routers) as usize >= constants::RELAY_MIN_ROUTERS
}

/// The copy of the ring that this controller relays, and the newest known head of the owner's ring. No other lock is
/// taken while its lock is held.
#[derive(Default)]
pub struct RingRelay {
    published: Mutex<Option<Arc<PublishedIndex>>>,
    /// The newest head that the owner has announced.
    upstream: watch::Sender<Option<RingHead>>,
    /// Wakes the task that announces changes to readers.
    changed: Notify,
}

impl RingRelay {
    /// The copy that routers read; `None` while this controller doesn't relay.
    pub fn published(&self) -> Option<Arc<PublishedIndex>> {
        self.published.lock().clone()
    }
}

impl IndexOwnership {
    /// Records the head of the ring as announced by the index owner; ignores older ones.
    pub fn record_owner_head(&self, head: RingHead) {
        self.relay.upstream.send_if_modified(|known| {
            let is_newer = known.as_ref().is_none_or(|known| {
                (known.fencing_token, known.head, known.finding_count)
                    < (head.fencing_token, head.head, head.finding_count)
            });
            if is_newer {
                *known = Some(head);
            }
            is_newer
        });
    }

    /// Whether relays are needed and this controller can be one: a voter that doesn't own the index.
    fn may_relay(&self) -> bool {
        are_relays_needed(&self.dependencies.cluster_state)
            && self.dependencies.consensus.votes()
            && self.dependencies.leases.fencing_token(INDEX_OWNER_LEASE).is_none()
    }

    fn stop_relaying(&self) {
        let Some(published) = self.relay.published.lock().take() else { return };
        self.dependencies.cluster_state.update_silently(|state| state.ring_relay = None);
        let withdrawn = RingHead { fencing_token: 0, ..published.head() };
        published
            .push_to_readers(&FleetUpdate { ring_relay: Some(withdrawn), ..Default::default() });
        fleet_core::log_event!(self.dependencies.process.log, Event::RelayStopped);
    }

    /// Applies an update that was read from the owner's ring.
    fn relay_update(&self, position: RingPosition, update: ViewUpdate) {
        if update.reset {
            return self.start_relaying(position, &update);
        }
        let Some(published) = self.relay.published() else { return };
        published.index.lock().record_findings(&update.snapshot);
        published.commit(update.entries.into_iter().filter_map(|entry| entry.invalidation));
        self.relay.changed.notify_one();
    }

    /// Records which prefixes a router's requests left cached. The readers of this relay learn of them at once, even
    /// while there is no owner; all other routers learn of them through the owner.
    pub fn relay_findings(&self, found: CachedPrefixes) {
        if let Some(published) = self.relay.published() {
            published.index.lock().record_findings(&found.entries);
            self.relay.changed.notify_one();
        }
        let owner = self.relay.upstream.borrow().as_ref().map(|head| head.owner.clone());
        if let Some(link) = owner.and_then(|owner| self.dependencies.link_to(&owner)) {
            let _ = link.notify(Body::CachedPrefixes(found));
        }
    }

    /// Announces the new head of the relay's ring to its readers.
    fn announce_relay(&self, published: &PublishedIndex) {
        let head = published.head();
        self.dependencies
            .cluster_state
            .update_silently(|state| state.ring_relay = Some(head.clone()));
        published.push_to_readers(&FleetUpdate { ring_relay: Some(head), ..Default::default() });
    }

    /// Starts a new ring from a snapshot of the owner's, and announces it to all routers.
    fn start_relaying(&self, position: RingPosition, update: &ViewUpdate) {
        let incarnation = self.dependencies.process.random() | 1;
        let token = position.fencing_token();
        let published = PublishedIndex::new(&self.dependencies, token, incarnation, Instant::now());
        published.index.lock().record_findings(&update.snapshot);
        let head = published.head();
        *self.relay.published.lock() = Some(Arc::new(published));
        fleet_core::log_event!(self.dependencies.process.log, Event::RelayStarted, "fence" => token);
        self.dependencies.cluster_state.append(StateChange::RingRelay(head));
    }
}

impl IndexOwnershipDependencies {
    fn link_to(&self, owner: &str) -> Option<Arc<Link>> {
        let member = node_id_of(owner.parse::<Ipv4Addr>().ok()?);
        let mut links = self.consensus.links_to_voters().into_iter();
        links.find(|link| link.member_id == member).map(|link| link.link)
    }
}

/// This controller's position as a reader of the owner's ring.
#[derive(Default)]
struct Upstream {
    position: RingPosition,
    /// Time of the owner's last response; `None` before the first.
    last_response: Option<Instant>,
}

impl Upstream {
    /// Reads once. Returns whether there is more to read.
    async fn read(&mut self, ownership: &IndexOwnership, link: &Link) -> bool {
        let request = self.position.request(ownership.dependencies.process.node.incarnation);
        let timeout = if request.request_snapshot {
            constants::SNAPSHOT_TIMEOUT
        } else {
            constants::PHASE_TIMEOUT
        };
        let response = link.call(Body::RingRequest(request), timeout).await;
        let Ok(Body::RingResponse(response)) = response else { return false };
        let head = response.head.as_ref().map_or(0, |head| head.head);
        let Some((next, update)) = apply_response(self.position, response) else { return false };
        self.position = next;
        self.last_response = Some(Instant::now());
        let Some(update) = update else { return false };
        ownership.relay_update(next, update);
        next.cursor() < head
    }

    fn is_lost(&self) -> bool {
        self.last_response.is_none_or(|at| at.elapsed() >= constants::RELAY_TIMEOUT)
    }
}

/// Announces changes of the relay's ring and findings to its readers, at most once per
/// [`constants::RING_PUBLISH_INTERVAL`].
pub async fn run_relay_announcements(ownership: Arc<IndexOwnership>) {
    loop {
        ownership.relay.changed.notified().await;
        if let Some(published) = ownership.relay.published() {
            ownership.announce_relay(&published);
        }
        tokio::time::sleep(constants::RING_PUBLISH_INTERVAL).await;
    }
}

/// Relays the ring while another controller owns it and there are enough routers.
pub async fn run_ring_relay(ownership: Arc<IndexOwnership>) {
    let mut heads = ownership.relay.upstream.subscribe();
    let mut upstream = Upstream::default();
    loop {
        // Read also without an announcement: this recovers lost messages and detects the loss of the owner.
        let _ = tokio::time::timeout(constants::RELAY_READ_INTERVAL, heads.changed()).await;
        let head = heads.borrow_and_update().clone();
        let link = head.and_then(|head| ownership.dependencies.link_to(&head.owner));
        let Some(link) = link.filter(|_| ownership.may_relay()) else {
            upstream = Upstream::default();
            ownership.stop_relaying();
            continue;
        };
        while upstream.read(&ownership, &link).await {}
        if let Some(published) = ownership.relay.published() {
            published.drop_inactive_readers();
        }
        if upstream.is_lost() {
            upstream = Upstream::default();
            ownership.stop_relaying();
        }
    }
}
