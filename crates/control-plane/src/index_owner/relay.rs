//! Passes the index owner's ring on to the routers of its part of the fleet.
//!
//! The owner sends each finding and each invalidation once to every reader. With hundreds of routers as its readers that
//! fills its line, and most of the bytes leave its zone. So the other voters read the ring as well, keep a copy of the
//! index, and are read by the routers near them: the owner sends as often as there are voters, and a router whose view is
//! void gets a snapshot from its own zone.
//!
//! Routers report what their requests leave cached to the relay that they read, which passes it on to its readers at once and
//! to the owner. So routers of one zone go on to learn of each other while the owner is being replaced.
//!
//! A relay has a ring of its own: its numbers are its own, and a reader that comes from another ring starts from a
//! snapshot, as after a change of the owner. A relay that hears nothing of the owner any more says so to its readers,
//! which turn to another relay or to the owner. Nothing is lost with a relay.

use super::published::PublishedIndex;
use super::{IndexOwnership, IndexOwnershipParts};
use crate::cluster_state::{ClusterStateStore, StateChange};
use crate::leases::INDEX_OWNER_LEASE;
use fleet_core::constants;
use fleet_core::link::Link;
use fleet_core::log::Event;
use fleet_core::node::id_of;
use fleet_core::wire::{Body, CachedPrefixes, FleetUpdate, RingHead};
use invalidation::reader::{RingPosition, ViewUpdate, step};
use parking_lot::Mutex;
use std::net::Ipv4Addr;
use std::sync::Arc;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Whether there are so many routers that relays are worth their memory.
pub fn is_worthwhile(cluster_state: &ClusterStateStore) -> bool {
    cluster_state.read(|state| state.routers) as usize >= constants::RELAY_ROUTERS
}

/// What this controller relays, and what it heard of the owner's ring. Its locks are leaves.
#[derive(Default)]
pub struct RingRelay {
    published: Mutex<Option<Arc<PublishedIndex>>>,
    /// The newest head of the owner that came.
    upstream: watch::Sender<Option<RingHead>>,
    /// Wakes the task that tells readers of what is new.
    moved: Notify,
}

impl RingRelay {
    /// The copy that routers read; none while this controller doesn't relay.
    pub fn published(&self) -> Option<Arc<PublishedIndex>> {
        self.published.lock().clone()
    }
}

impl IndexOwnership {
    /// The index owner has announced where its ring stands.
    pub fn record_owner_head(&self, head: RingHead) {
        self.relay.upstream.send_if_modified(|known| {
            let is_newer = known.as_ref().is_none_or(|known| {
                (known.fencing_token, known.head, known.found)
                    < (head.fencing_token, head.head, head.found)
            });
            if is_newer {
                *known = Some(head);
            }
            is_newer
        });
    }

    /// Whether a relay is worthwhile, and this controller can be one.
    fn may_relay(&self) -> bool {
        is_worthwhile(&self.parts.cluster_state)
            && self.parts.consensus.votes()
            && self.parts.leases.fencing_token(INDEX_OWNER_LEASE).is_none()
    }

    fn stop_relaying(&self) {
        let Some(published) = self.relay.published.lock().take() else { return };
        self.parts.cluster_state.amend(|state| state.ring_relay = None);
        let withdrawn = RingHead { fencing_token: 0, ..published.head() };
        published
            .push_to_readers(&FleetUpdate { ring_relay: Some(withdrawn), ..Default::default() });
        fleet_core::log_event!(self.parts.process.log, Event::RelayStopped);
    }

    /// Takes in what the owner's ring brought.
    fn relay_update(&self, position: RingPosition, update: ViewUpdate) {
        if update.reset {
            return self.start_relaying(position, &update);
        }
        let Some(published) = self.relay.published() else { return };
        published.index.lock().record_found(&update.snapshot);
        published.commit(update.entries.into_iter().filter_map(|entry| entry.what));
        self.relay.moved.notify_one();
    }

    /// A router near this relay has reported what its requests leave cached: the other routers here learn it at once, and
    /// also while no owner is there; all others through the owner.
    pub fn relay_found(&self, found: CachedPrefixes) {
        if let Some(published) = self.relay.published() {
            published.index.lock().record_found(&found.entries);
            self.relay.moved.notify_one();
        }
        let owner = self.relay.upstream.borrow().as_ref().map(|head| head.owner.clone());
        if let Some(link) = owner.and_then(|owner| self.parts.link_to(&owner)) {
            let _ = link.notify(Body::CachedPrefixes(found));
        }
    }

    /// Tells the readers that the relay's own ring or its findings have moved on.
    fn announce_relay(&self, published: &PublishedIndex) {
        let head = published.head();
        self.parts.cluster_state.amend(|state| state.ring_relay = Some(head.clone()));
        published.push_to_readers(&FleetUpdate { ring_relay: Some(head), ..Default::default() });
    }

    /// Begins a ring of its own from a snapshot of the owner's, and announces it to all routers.
    fn start_relaying(&self, position: RingPosition, update: &ViewUpdate) {
        let incarnation = self.parts.process.random() | 1;
        let token = position.fencing_token();
        let published = PublishedIndex::new(&self.parts, token, incarnation, Instant::now());
        published.index.lock().record_found(&update.snapshot);
        let head = published.head();
        *self.relay.published.lock() = Some(Arc::new(published));
        fleet_core::log_event!(self.parts.process.log, Event::RelayStarted, "fence" => token);
        self.parts.cluster_state.append(StateChange::RingRelay(head));
    }
}

impl IndexOwnershipParts {
    fn link_to(&self, owner: &str) -> Option<Arc<Link>> {
        let member = id_of(owner.parse::<Ipv4Addr>().ok()?);
        let mut links = self.consensus.links_to_voters().into_iter();
        links.find(|link| link.member == member).map(|link| link.link)
    }
}

/// One reader of the owner's ring.
#[derive(Default)]
struct Upstream {
    position: RingPosition,
    /// When the owner last answered; none before the first answer.
    answered: Option<Instant>,
}

impl Upstream {
    /// Reads once; whether there is more to be read.
    async fn read(&mut self, ownership: &IndexOwnership, link: &Link) -> bool {
        let request = self.position.request(ownership.parts.process.node.incarnation);
        let limit =
            if request.refill { constants::REFILL_TIMEOUT } else { constants::PHASE_TIMEOUT };
        let answer = link.call(Body::RingRequest(request), limit).await;
        let Ok(Body::RingResponse(answer)) = answer else { return false };
        let head = answer.head.as_ref().map_or(0, |head| head.head);
        let Some((next, update)) = step(self.position, answer) else { return false };
        self.position = next;
        self.answered = Some(Instant::now());
        let Some(update) = update else { return false };
        ownership.relay_update(next, update);
        next.cursor() < head
    }

    fn is_lost(&self) -> bool {
        self.answered.is_none_or(|at| at.elapsed() >= constants::RELAY_TIMEOUT)
    }
}

/// Tells readers that the relay's ring or findings have moved on, a few times a second at the most.
pub async fn run_relay_announcements(ownership: Arc<IndexOwnership>) {
    loop {
        ownership.relay.moved.notified().await;
        if let Some(published) = ownership.relay.published() {
            ownership.announce_relay(&published);
        }
        tokio::time::sleep(constants::RING_PUBLISH_INTERVAL).await;
    }
}

/// Relays the ring whenever another controller owns it and there are routers enough.
pub async fn run_ring_relay(ownership: Arc<IndexOwnership>) {
    let mut heads = ownership.relay.upstream.subscribe();
    let mut upstream = Upstream::default();
    loop {
        // also without news: what is lost on the way is asked for again, and a lost owner is noticed
        let _ = tokio::time::timeout(constants::RELAY_READ_INTERVAL, heads.changed()).await;
        let head = heads.borrow_and_update().clone();
        let link = head.and_then(|head| ownership.parts.link_to(&head.owner));
        let Some(link) = link.filter(|_| ownership.may_relay()) else {
            upstream = Upstream::default();
            ownership.stop_relaying();
            continue;
        };
        while upstream.read(&ownership, &link).await {}
        if let Some(published) = ownership.relay.published() {
            published.drop_stuck_readers();
        }
        if upstream.is_lost() {
            upstream = Upstream::default();
            ownership.stop_relaying();
        }
    }
}
