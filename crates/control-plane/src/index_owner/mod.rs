//! The index owner: learns from engines and stores which prompt prefixes they cache, and publishes invalidations to all
//! routers (docs/purge.md).
//!
//! One controller does this at a time, under [`INDEX_OWNER_LEASE`]. Each time the lease is acquired, a new `IndexOwner`
//! starts with a new ring and an empty index, and readers of the former ring start over from a snapshot. One task polls
//! each holder (`follower`, `followers`); `index` stores what they learn, `published` combines it with the ring, `feed` serves
//! readers from there, and `throttle` limits the snapshots in flight.
//!
//! If there are many routers, the other voters read the ring too, and relay it to the routers near them (`relay`).
//!
//! Lock order: the index, then the throttle; no other lock is taken while one of the others is held.

mod announcements;
mod feed;
mod follower;
mod followers;
mod holder_parts;
mod index;
mod published;
mod published_invalidations;
mod relay;
mod throttle;
mod unshared_parts;

pub use feed::Reader;
pub use relay::{run_relay_announcements, run_ring_relay};

use crate::cluster_state::{ClusterStateStore, StateChange};
use crate::config_distribution::ConfigBodies;
use crate::consensus::{Consensus, state_machine};
use crate::engines::client::HttpClient;
use crate::leases::{INDEX_OWNER_LEASE, LeaseManager};
use crate::membership::peer_links::MemberLink;
use crate::membership::routers::Routers;
use crate::process::Process;
use announcements::{Announcements, Audience};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::transport::Transport;
use fleet_core::wire::{
    Body, CachedPrefixes, ConfigValue, FleetUpdate, RingHead, RingRequest, RingResponse,
};
use follower::HolderEndpoint;
use followers::Followers;
use parking_lot::Mutex;
use prost::Message;
use published::PublishedIndex;
use published_invalidations::PublishedInvalidations;
use relay::RingRelay;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Dependencies of [`IndexOwnership`].
#[derive(Clone)]
pub struct IndexOwnershipDependencies {
    /// The process that the index owner runs in.
    pub process: Arc<Process>,
    /// Provides the fencing token while this node holds [`INDEX_OWNER_LEASE`].
    pub leases: Arc<LeaseManager>,
    /// Provides the configuration, and the links to the other voters.
    pub consensus: Arc<Consensus>,
    /// The known engines, and the ring state that is pushed to routers.
    pub cluster_state: Arc<ClusterStateStore>,
    /// Provides the addresses of the stores in a configuration.
    pub config_bodies: Arc<ConfigBodies>,
    /// Pushes updates to routers, and notifies those that lag behind.
    pub routers: Arc<Routers>,
    /// Connects to holders.
    pub transport: Arc<dyn Transport>,
}

/// This controller's role in publishing the index: owner while it holds the lease, otherwise possibly a relay.
pub struct IndexOwnership {
    dependencies: IndexOwnershipDependencies,
    current: Mutex<Option<Arc<IndexOwner>>>,
    relay: RingRelay,
}

impl IndexOwnership {
    /// Starts as neither owner nor relay.
    pub fn new(dependencies: IndexOwnershipDependencies) -> IndexOwnership {
        IndexOwnership { dependencies, current: Mutex::default(), relay: RingRelay::default() }
    }

    /// Records which prefixes a router's requests left cached. A relay forwards them to its readers and to the owner.
    pub fn record_findings(&self, found: CachedPrefixes) {
        let owner = self.current.lock().clone();
        match owner {
            Some(owner) => owner.published.index.lock().record_findings(&found.entries),
            None => self.relay_findings(found),
        }
    }

    /// Answers a reader of the ring. The response is empty if this controller neither owns nor relays the ring; the
    /// reader then switches to another controller.
    pub fn answer_reader(&self, request: &RingRequest, reader: Reader) -> RingResponse {
        let owner = self.current.lock().clone();
        let is_owner = self.dependencies.leases.fencing_token(INDEX_OWNER_LEASE).is_some();
        let published = match owner.filter(|_| is_owner) {
            Some(owner) => Some(owner.published.clone()),
            None => self.relay.published(),
        };
        published.map(|published| published.answer(request, reader)).unwrap_or_default()
    }

    /// Maintains and publishes the index until the lease is lost.
    async fn run_until_lost(&self, owner: &Arc<IndexOwner>) {
        let mut followers = Followers::default();
        let mut published = PublishedInvalidations::default();
        let mut announcements = Announcements::default();
        while self.dependencies.leases.fencing_token(INDEX_OWNER_LEASE) == Some(owner.fencing_token)
        {
            let mut invalidations = followers.follow(owner, self.holders());
            invalidations
                .extend(self.dependencies.cluster_state.read(|state| published.collect(state)));
            owner.published.commit(invalidations);
            owner.published.drop_inactive_readers();
            let head = owner.published.head();
            match announcements.due(&head, Instant::now()) {
                Some(Audience::All) => {
                    self.announce_to_readers(&owner.published, head.clone());
                    self.announce_to_relays(head);
                }
                Some(Audience::Relays) => self.announce_to_relays(head),
                None => {}
            }
            tokio::time::sleep(constants::RING_PUBLISH_INTERVAL).await;
        }
    }

    /// Announces a new head to the routers that read the ring from this controller. Other routers read from relays;
    /// they learn of the ring when it starts and when they connect to this controller.
    fn announce_to_readers(&self, published: &PublishedIndex, head: RingHead) {
        self.dependencies.cluster_state.update_silently(|state| state.ring = Some(head.clone()));
        published.push_to_readers(&FleetUpdate { ring: Some(head), ..Default::default() });
    }

    /// Announces the head of the ring to the other voters, which may relay it.
    fn announce_to_relays(&self, head: RingHead) {
        if !relay::are_relays_needed(&self.dependencies.cluster_state) {
            return;
        }
        let update = FleetUpdate { ring: Some(head), ..Default::default() };
        for MemberLink { link, .. } in self.dependencies.consensus.links_to_voters() {
            let _ = link.notify(Body::FleetUpdate(update.clone()));
        }
    }

    /// Current engines and stores, by engine id or store address.
    fn holders(&self) -> BTreeMap<String, HolderEndpoint> {
        let state = &self.dependencies.cluster_state;
        let mut holders = state.read(|state| follower::engines(state.engines.values()));
        holders.extend(self.stores());
        holders
    }

    fn stores(&self) -> Vec<(String, HolderEndpoint)> {
        let learned = self.dependencies.consensus.learned(state_machine::CONFIG);
        let config = learned.and_then(|known| ConfigValue::decode(known.value).ok());
        let Some(config) = config else { return Vec::new() };
        let addresses = self.dependencies.config_bodies.kv_stores(&config).into_iter();
        addresses
            .map(|address| (address.clone(), HolderEndpoint { address, is_engine: false }))
            .collect()
    }
}

/// Acts as the index owner whenever this node holds the lease.
pub async fn run_index_owner(ownership: Arc<IndexOwnership>) {
    let dependencies = &ownership.dependencies;
    loop {
        tokio::time::sleep(constants::LEASE_CHECK_INTERVAL).await;
        let Some(token) = dependencies.leases.fencing_token(INDEX_OWNER_LEASE) else { continue };
        let owner = Arc::new(IndexOwner::new(
            token,
            dependencies.process.random() | 1,
            dependencies.clone(),
        ));
        *ownership.current.lock() = Some(owner.clone());
        fleet_core::log_event!(dependencies.process.log, Event::RingStarted,
            "fence" => token, "incarnation" => owner.published.incarnation);
        dependencies.cluster_state.append(StateChange::Ring(owner.published.head()));
        ownership.run_until_lost(&owner).await;
        *ownership.current.lock() = None;
    }
}

/// State of one term as index owner, from the acquisition of the lease to its loss.
struct IndexOwner {
    process: Arc<Process>,
    transport: Arc<dyn Transport>,
    fencing_token: u64,
    published: Arc<PublishedIndex>,
    /// Limits concurrent first calls to holders, whose responses can be large because they cover everything cached so
    /// far.
    first_reads: tokio::sync::Semaphore,
    /// Held while a large response is read and applied, and for as long again: other tasks run between two of them.
    large_response_turn: tokio::sync::Semaphore,
    /// Number of holders that are being followed.
    holder_count: AtomicUsize,
}

impl IndexOwner {
    fn new(
        fencing_token: u64,
        incarnation: u64,
        dependencies: IndexOwnershipDependencies,
    ) -> IndexOwner {
        let serves_from = Instant::now() + constants::INDEX_WARM_UP;
        let published = PublishedIndex::new(&dependencies, fencing_token, incarnation, serves_from);
        IndexOwner {
            process: dependencies.process,
            transport: dependencies.transport,
            fencing_token,
            published: Arc::new(published),
            first_reads: tokio::sync::Semaphore::new(constants::INITIAL_READ_CONCURRENCY),
            large_response_turn: tokio::sync::Semaphore::new(1),
            holder_count: AtomicUsize::new(0),
        }
    }

    /// Delay before the next call to a holder whose last response took `processing` to read and apply.
    fn events_pause(&self, processing: Duration) -> Duration {
        events_pause(self.holder_count.load(Ordering::Relaxed), processing)
    }

    fn client(&self, address: SocketAddr) -> HttpClient {
        HttpClient::with_transport(self.transport.clone(), self.process.node.ip, address)
            .with_response_budget(self.process.response_budget.clone())
    }
}

/// Delay before the next call to a holder. It grows with the number of holders, so that processing all of their
/// responses stays within the owner's CPU budget, and with the time that the last response took: a holder that sends
/// more than others gets no more of the processor than its share.
fn events_pause(holders: usize, processing: Duration) -> Duration {
    let scale = holders as f64 / constants::EVENTS_FULL_RATE_HOLDERS as f64;
    let interval = constants::EVENTS_INTERVAL.mul_f64(scale.max(1.0));
    let fair_pause = processing.mul_f64(holders.max(1) as f64 / constants::EVENTS_MAX_CPU_SHARE);
    interval.max(fair_pause.min(constants::EVENTS_MAX_PAUSE))
}
