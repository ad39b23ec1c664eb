//! The index owner: learns from engines and stores which prefixes of prompts they cache, and publishes
//! invalidations to all routers (docs/purge.md).
//!
//! One controller does this at a time, under [`INDEX_OWNER_LEASE`]. Each time the lease is acquired a new
//! `IndexOwner` begins with a ring of its own and an empty index; readers of a former ring start again from a
//! snapshot. One task follows each holder (`follower`); `index` is what they have learned, `feed` answers
//! routers, `throttle` bounds the snapshots that are on their way.
//!
//! Order of locks: the index, then the throttle; the others are leaves.

mod feed;
mod follower;
mod index;
mod throttle;

use crate::cluster_state::{ClusterState, ClusterStateStore, StateChange};
use crate::config_distribution::ConfigBodies;
use crate::consensus::{Consensus, state_machine};
use crate::engines::client::EngineClient;
use crate::leases::{INDEX_OWNER_LEASE, LeaseManager};
use crate::membership::routers::Routers;
use crate::process::Process;
use fleet_core::log::Event;
use fleet_core::transport::Transport;
use fleet_core::wire::{
    Body, CachedPrefixes, ConfigValue, EngineState, FleetUpdate, Invalidation, RingEntry, RingHead,
    RingRequest, RingResponse, Weights,
};
use fleet_core::{constants, fleet};
use follower::Source;
use index::Index;
use invalidation::draft::Draft;
use invalidation::ring::Ring;
use parking_lot::Mutex;
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use throttle::SnapshotThrottle;
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

/// The index owner that this controller is, while it holds the lease.
pub struct IndexOwnership {
    parts: IndexOwnershipParts,
    current: Mutex<Option<Arc<IndexOwner>>>,
}

impl IndexOwnership {
    /// This controller is none as yet.
    pub fn new(parts: IndexOwnershipParts) -> IndexOwnership {
        IndexOwnership { parts, current: Mutex::default() }
    }

    /// Takes in what a router's own requests leave cached; dropped where another controller is the owner.
    pub fn record_found(&self, found: &CachedPrefixes) {
        if let Some(owner) = self.current.lock().clone() {
            owner.index.lock().record_found(&found.entries);
        }
    }

    /// Answers a router that reads the ring; none where another controller is the owner.
    pub fn answer_reader(&self, request: &RingRequest) -> Option<RingResponse> {
        let owner = self.current.lock().clone()?;
        self.parts.leases.fencing_token(INDEX_OWNER_LEASE)?;
        owner.answer(request)
    }

    /// Keeps the index until the lease is lost.
    async fn run_until_lost(&self, owner: &Arc<IndexOwner>) {
        let mut followers = Followers::default();
        let mut published = PublishedInvalidations::default();
        let mut announced = (0, 0);
        while self.parts.leases.fencing_token(INDEX_OWNER_LEASE) == Some(owner.fencing_token) {
            let mut invalidations = followers.follow(owner, self.holders());
            invalidations.extend(self.parts.cluster_state.read(|state| published.collect(state)));
            owner.commit(invalidations);
            owner.drop_stuck_readers();
            let head = owner.head();
            if (head.head, head.found) != announced {
                announced = (head.head, head.found);
                self.parts.cluster_state.append(StateChange::Ring(head));
            }
            tokio::time::sleep(constants::RING_PUBLISH_INTERVAL).await;
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
            "fence" => token, "incarnation" => owner.incarnation);
        parts.cluster_state.append(StateChange::Ring(owner.head()));
        ownership.run_until_lost(&owner).await;
        *ownership.current.lock() = None;
    }
}

/// The state of one index owner, from the acquisition of the lease to its loss.
struct IndexOwner {
    process: Arc<Process>,
    routers: Arc<Routers>,
    transport: Arc<dyn Transport>,
    started: Instant,
    fencing_token: u64,
    incarnation: u64,
    ring: Ring<RingEntry>,
    index: Mutex<Index>,
    /// When each reader of the ring came last.
    readers: Mutex<hashbrown::HashMap<u64, Instant>>,
    throttle: Mutex<SnapshotThrottle>,
    /// Bounds the memory for what holders have gathered before they are first asked.
    first_reads: tokio::sync::Semaphore,
    /// Holders that are followed.
    holders: AtomicUsize,
}

impl IndexOwner {
    fn new(fencing_token: u64, incarnation: u64, parts: IndexOwnershipParts) -> IndexOwner {
        IndexOwner {
            process: parts.process,
            routers: parts.routers,
            transport: parts.transport,
            started: Instant::now(),
            fencing_token,
            incarnation,
            ring: Ring::new(constants::RING_SLOTS, constants::RING_BATCH, constants::RING_LAG),
            index: Mutex::default(),
            readers: Mutex::default(),
            throttle: Mutex::default(),
            first_reads: tokio::sync::Semaphore::new(constants::FIRST_READS),
            holders: AtomicUsize::new(0),
        }
    }

    /// Pause between two calls to the same holder.
    fn events_interval(&self) -> Duration {
        events_interval(self.holders.load(Ordering::Relaxed))
    }

    fn head(&self) -> RingHead {
        RingHead {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            head: self.ring.head(),
            owner: self.process.node.ip.to_string(),
            found: self.index.lock().found_so_far(),
        }
    }

    fn client(&self, address: SocketAddr) -> EngineClient {
        EngineClient::over(self.transport.clone(), self.process.node.ip, address)
    }

    /// One change: applied to the index at once, published when it is complete.
    fn commit(&self, entries: impl IntoIterator<Item = Invalidation>) {
        let lagging = {
            let mut index = self.index.lock();
            let mut draft = Draft::open(&mut *index);
            for what in entries {
                draft.add(RingEntry { scope: 0, what: Some(what) });
            }
            draft.commit(&self.ring)
        };
        for reader in lagging {
            let nudge = FleetUpdate { nudge: true, ..Default::default() };
            self.routers.push(reader, Body::FleetUpdate(nudge));
        }
    }

    /// Readers that have not come for long lose their cursors, so that they don't hold the ring up.
    fn drop_stuck_readers(&self) {
        let mut stuck = Vec::new();
        self.readers.lock().retain(|reader, last_read| {
            let is_live = last_read.elapsed() <= constants::READER_TIMEOUT;
            if !is_live {
                stuck.push(*reader);
            }
            is_live
        });
        for reader in stuck {
            self.ring.drop_reader(reader);
        }
    }
}

/// Pause between two calls to the same holder, where so many are followed: the more there are the longer it is, so that
/// their answers together keep within the owner's part of a processor.
fn events_interval(holders: usize) -> Duration {
    let crowd = holders as f64 / constants::EVENTS_HOLDERS as f64;
    constants::EVENTS_INTERVAL.mul_f64(crowd.max(1.0))
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
