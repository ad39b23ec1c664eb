//! The index owner: learns from engines and stores which prefixes of prompts they cache, and publishes
//! invalidations to all routers (docs/purge.md).
//!
//! One controller does this at a time, under [`INDEX_OWNER_LEASE`]. Each time the lease is acquired a new
//! `IndexOwner` begins with a ring of its own and an empty index; readers of a former ring start again from a
//! snapshot. One task follows each holder (`follower`); `index` is what they have learned, `published` keeps it with the
//! ring, `feed` answers readers from there, `throttle` bounds the snapshots that are on their way.
//!
//! Where there are many routers, the other voters read the ring too, and pass it on to the routers near them (`relay`).
//!
//! Order of locks: the index, then the throttle; the others are leaves.

mod feed;
mod follower;
mod index;
mod published;
mod relay;
mod throttle;

pub use feed::Reader;
pub use relay::{run_relay_announcements, run_ring_relay};

use crate::cluster_state::{ClusterState, ClusterStateStore, StateChange};
use crate::config_distribution::ConfigBodies;
use crate::consensus::{Consensus, state_machine};
use crate::engines::client::EngineClient;
use crate::leases::{INDEX_OWNER_LEASE, LeaseManager};
use crate::membership::peer_links::MemberLink;
use crate::membership::routers::Routers;
use crate::process::Process;
use fleet_core::log::Event;
use fleet_core::transport::Transport;
use fleet_core::wire::{
    Body, CachedPrefixes, ConfigValue, EngineState, FleetUpdate, Invalidation, RingHead,
    RingRequest, RingResponse, Weights,
};
use fleet_core::{constants, fleet};
use follower::Source;
use parking_lot::Mutex;
use prost::Message;
use published::PublishedIndex;
use relay::RingRelay;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

/// What an index owner is built with.
#[derive(Clone)]
pub struct IndexOwnershipParts {
    /// The process that it runs in.
    pub process: Arc<Process>,
    /// The lease that it runs under.
    pub leases: Arc<LeaseManager>,
    /// Where the configuration is learned, which names the stores.
    pub consensus: Arc<Consensus>,
    /// The engines, and what routers are sent of the ring.
    pub cluster_state: Arc<ClusterStateStore>,
    /// Which stores a configuration names.
    pub config_bodies: Arc<ConfigBodies>,
    /// The routers, to hurry one that lags behind.
    pub routers: Arc<Routers>,
    /// How holders are reached.
    pub transport: Arc<dyn Transport>,
}

/// The index owner that this controller is while it holds the lease, and the relay that it is otherwise.
pub struct IndexOwnership {
    parts: IndexOwnershipParts,
    current: Mutex<Option<Arc<IndexOwner>>>,
    relay: RingRelay,
}

impl IndexOwnership {
    /// This controller is none as yet.
    pub fn new(parts: IndexOwnershipParts) -> IndexOwnership {
        IndexOwnership { parts, current: Mutex::default(), relay: RingRelay::default() }
    }

    /// Takes in what a router's own requests leave cached. A relay passes it on to its readers and to the owner.
    pub fn record_found(&self, found: CachedPrefixes) {
        let owner = self.current.lock().clone();
        match owner {
            Some(owner) => owner.published.index.lock().record_found(&found.entries),
            None => self.relay_found(found),
        }
    }

    /// Answers a reader of the ring. Where this controller neither owns nor relays it, the answer says so, and the
    /// reader turns to another.
    pub fn answer_reader(&self, request: &RingRequest, reader: Reader) -> RingResponse {
        let owner = self.current.lock().clone();
        let is_owner = self.parts.leases.fencing_token(INDEX_OWNER_LEASE).is_some();
        let published = match owner.filter(|_| is_owner) {
            Some(owner) => Some(owner.published.clone()),
            None => self.relay.published(),
        };
        published.map(|published| published.answer(request, reader)).unwrap_or_default()
    }

    /// Keeps the index until the lease is lost.
    async fn run_until_lost(&self, owner: &Arc<IndexOwner>) {
        let mut followers = Followers::default();
        let mut published = PublishedInvalidations::default();
        let mut announcements = Announcements::default();
        while self.parts.leases.fencing_token(INDEX_OWNER_LEASE) == Some(owner.fencing_token) {
            let mut invalidations = followers.follow(owner, self.holders());
            invalidations.extend(self.parts.cluster_state.read(|state| published.collect(state)));
            owner.published.commit(invalidations);
            owner.published.drop_stuck_readers();
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

    /// Tells the routers that read the ring here that it has moved. Other routers read relays; they were told of the ring
    /// when it began, and are when they link to this controller.
    fn announce_to_readers(&self, published: &PublishedIndex, head: RingHead) {
        self.parts.cluster_state.amend(|state| state.ring = Some(head.clone()));
        published.push_to_readers(&FleetUpdate { ring: Some(head), ..Default::default() });
    }

    /// Tells the other voters, which may relay it, where the ring stands.
    fn announce_to_relays(&self, head: RingHead) {
        if !relay::is_worthwhile(&self.parts.cluster_state) {
            return;
        }
        let update = FleetUpdate { ring: Some(head), ..Default::default() };
        for MemberLink { link, .. } in self.parts.consensus.links_to_voters() {
            let _ = link.notify(Body::FleetUpdate(update.clone()));
        }
    }

    /// Engines and stores that are there now, by name.
    fn holders(&self) -> BTreeMap<String, Source> {
        let state = &self.parts.cluster_state;
        let mut holders = state.read(|state| follower::engines(state.engines.values()));
        holders.extend(self.stores());
        holders
    }

    fn stores(&self) -> Vec<(String, Source)> {
        let learned = self.parts.consensus.learned(state_machine::CONFIG);
        let config = learned.and_then(|known| ConfigValue::decode(known.value).ok());
        let Some(config) = config else { return Vec::new() };
        let addresses = self.parts.config_bodies.kv_stores(&config).into_iter();
        addresses.map(|a| (a.clone(), Source { address: a, engine: false })).collect()
    }
}

/// Is the index owner whenever this node holds the lease.
pub async fn run_index_owner(ownership: Arc<IndexOwnership>) {
    let parts = &ownership.parts;
    loop {
        tokio::time::sleep(constants::LEASE_CHECK_INTERVAL).await;
        let Some(token) = parts.leases.fencing_token(INDEX_OWNER_LEASE) else { continue };
        let owner = Arc::new(IndexOwner::new(token, parts.process.random() | 1, parts.clone()));
        *ownership.current.lock() = Some(owner.clone());
        fleet_core::log_event!(parts.process.log, Event::RingStarted,
            "fence" => token, "incarnation" => owner.published.incarnation);
        parts.cluster_state.append(StateChange::Ring(owner.published.head()));
        ownership.run_until_lost(&owner).await;
        *ownership.current.lock() = None;
    }
}

/// The state of one index owner, from the acquisition of the lease to its loss.
struct IndexOwner {
    process: Arc<Process>,
    transport: Arc<dyn Transport>,
    fencing_token: u64,
    published: Arc<PublishedIndex>,
    /// Bounds the memory for what holders have gathered before they are first asked.
    first_reads: tokio::sync::Semaphore,
    /// Holders that are followed.
    holders: AtomicUsize,
}

impl IndexOwner {
    fn new(fencing_token: u64, incarnation: u64, parts: IndexOwnershipParts) -> IndexOwner {
        let serves_from = Instant::now() + constants::INDEX_WARM_UP;
        let published = PublishedIndex::new(&parts, fencing_token, incarnation, serves_from);
        IndexOwner {
            process: parts.process,
            transport: parts.transport,
            fencing_token,
            published: Arc::new(published),
            first_reads: tokio::sync::Semaphore::new(constants::FIRST_READS),
            holders: AtomicUsize::new(0),
        }
    }

    /// Pause between two calls to the same holder.
    fn events_interval(&self) -> Duration {
        events_interval(self.holders.load(Ordering::Relaxed))
    }

    fn client(&self, address: SocketAddr) -> EngineClient {
        EngineClient::over(self.transport.clone(), self.process.node.ip, address)
    }
}

/// Pause between two calls to the same holder, where so many are followed: the more there are the longer it is, so that
/// their answers together keep within the owner's part of a processor.
fn events_interval(holders: usize) -> Duration {
    let crowd = holders as f64 / constants::EVENTS_HOLDERS as f64;
    constants::EVENTS_INTERVAL.mul_f64(crowd.max(1.0))
}

/// Who is told where the ring stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Audience {
    /// Whoever reads it.
    All,
    /// The other voters, of which one may have linked since.
    Relays,
}

/// Decides when the ring is announced: to all when it has moved, to relays again and again.
#[derive(Default)]
struct Announcements {
    last: Option<(RingHead, Instant)>,
}

impl Announcements {
    /// Who is told now, if anybody; they count as told.
    fn due(&mut self, head: &RingHead, now: Instant) -> Option<Audience> {
        let audience = match &self.last {
            Some((last, _)) if last != head => Audience::All,
            Some((_, at)) if now.duration_since(*at) < constants::RELAY_READ_INTERVAL => {
                return None;
            }
            Some(_) | None => Audience::Relays,
        };
        self.last = Some((head.clone(), now));
        Some(audience)
    }
}

/// One task for each holder; they are aborted when this is dropped.
#[derive(Default)]
struct Followers {
    tasks: JoinSet<()>,
    by_holder: BTreeMap<String, AbortHandle>,
}

impl Followers {
    /// Follows the holders that are there now; returns invalidations of those that are no longer.
    fn follow(
        &mut self,
        owner: &Arc<IndexOwner>,
        holders: BTreeMap<String, Source>,
    ) -> Vec<Invalidation> {
        while self.tasks.try_join_next().is_some() {}
        owner.holders.store(holders.len(), Ordering::Relaxed);
        let mut invalidations = Vec::new();
        self.by_holder.retain(|holder, task| {
            let stays = holders.contains_key(holder);
            if !stays {
                task.abort();
                invalidations.push(Invalidation::Holder(holder.clone()));
            }
            stays
        });
        for (holder, source) in holders {
            self.by_holder.entry(holder.clone()).or_insert_with(|| {
                self.tasks.spawn(follower::follow(owner.clone(), holder, source))
            });
        }
        invalidations
    }
}

/// What has been published about weights and isolation.
#[derive(Default)]
struct PublishedInvalidations {
    weights: hashbrown::HashMap<String, u64>,
    isolation: u64,
}

impl PublishedInvalidations {
    /// Invalidations of weights that no engine has any more, and of a shared isolation that has ended.
    fn collect(&mut self, state: &ClusterState) -> Vec<Invalidation> {
        let mut invalidations = Vec::new();
        for model in state.weights.keys() {
            let (model, version) = (model.clone(), state.target_version(model));
            let is_rolled_out = !state.engines.values().any(|engine| {
                engine.state() == EngineState::Ready
                    && fleet::version_of(engine, &model).is_some_and(|has| has < version)
            });
            if is_rolled_out && self.weights.insert(model.clone(), version) != Some(version) {
                invalidations.push(Invalidation::Weights(Weights { model, version }));
            }
        }
        if let Some(config) = state.config
            && config.isolation > self.isolation
        {
            if self.isolation > 0 {
                invalidations.push(Invalidation::Isolation(config.isolation));
            }
            self.isolation = config.isolation;
        }
        invalidations
    }
}
