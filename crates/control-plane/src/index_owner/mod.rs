//! The index-keeper: follows what engines and stores tell of their kept parts,
//! and derives invalidations from it (docs/purge.md).

mod feed;
mod follower;
mod index;
mod throttle;

pub use feed::{answer_reader, record_found};

use crate::Controller;
use crate::cluster_state::StateChange;
use crate::leases::INDEX_OWNER_LEASE;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{
    Body, EngineState, FleetUpdate, Invalidation, RingEntry, RingHead, Weights,
};
use follower::Source;
use index::Index;
use invalidation::draft::Draft;
use invalidation::ring::Ring;
use std::collections::BTreeMap;
use std::sync::Arc;
use throttle::SnapshotThrottle;
use tokio::time::Instant;

/// All state of one holding of the duty: a ring of its own, and an index that starts empty.
pub struct IndexOwner {
    started: Instant,
    fencing_token: u64,
    incarnation: u64,
    ring: Ring<RingEntry>,
    index: parking_lot::Mutex<Index>,
    readers: parking_lot::Mutex<hashbrown::HashMap<u64, Instant>>,
    throttle: parking_lot::Mutex<SnapshotThrottle>,
    /// bounds what is taken in at once from holders that are met
    first_reads: tokio::sync::Semaphore,
}

impl IndexOwner {
    fn new(fencing_token: u64, incarnation: u64) -> IndexOwner {
        IndexOwner {
            started: Instant::now(),
            fencing_token,
            incarnation,
            ring: Ring::new(constants::RING_SLOTS, constants::RING_BATCH, constants::RING_LAG),
            index: parking_lot::Mutex::default(),
            readers: parking_lot::Mutex::default(),
            throttle: parking_lot::Mutex::default(),
            first_reads: tokio::sync::Semaphore::new(constants::FIRST_READS),
        }
    }

    fn head(&self, controller: &Controller) -> RingHead {
        RingHead {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            head: self.ring.head(),
            owner: controller.node.ip.to_string(),
            found: self.index.lock().found_so_far(),
        }
    }

    /// One change: applied here as it comes, published when whole.
    pub fn commit(&self, controller: &Controller, entries: impl IntoIterator<Item = Invalidation>) {
        let nudged = {
            let mut index = self.index.lock();
            let mut d = Draft::open(&mut *index);
            for what in entries {
                d.add(RingEntry { scope: 0, what: Some(what) });
            }
            d.commit(&self.ring)
        };
        for reader in nudged {
            if let Some(o) = controller.peers.router_links.lock().get(&reader) {
                let _ =
                    o.push(Body::FleetUpdate(FleetUpdate { nudge: true, ..Default::default() }));
            }
        }
    }

    /// Readers that have not come for long lose their cursors.
    fn drop_stuck_readers(&self) {
        let mut stuck = Vec::new();
        self.readers.lock().retain(|id, seen| {
            let stays = seen.elapsed() <= constants::READER_TIMEOUT;
            if !stays {
                stuck.push(*id);
            }
            stays
        });
        for reader in stuck {
            self.ring.drop_reader(reader);
        }
    }
}

/// Keeps the index whenever this node holds the duty.
pub async fn run_index_owner(controller: Arc<Controller>) {
    loop {
        tokio::time::sleep(constants::LEASE_CHECK_INTERVAL).await;
        let Some(fencing_token) = controller.leases.fencing_token(INDEX_OWNER_LEASE) else {
            continue;
        };
        let index_owner = Arc::new(IndexOwner::new(fencing_token, controller.random() | 1));
        *controller.leases.index_owner.lock() = Some(index_owner.clone());
        fleet_core::log_event!(controller.log, Event::RingStarted, "fence" => fencing_token, "incarnation" => index_owner.incarnation);
        controller.append(StateChange::Ring(index_owner.head(&controller)));
        run_until_lost(&controller, &index_owner).await;
        *controller.leases.index_owner.lock() = None;
    }
}

/// Until the duty ends: follows all holders, and publishes what other changes void.
async fn run_until_lost(controller: &Arc<Controller>, index_owner: &Arc<IndexOwner>) {
    let mut followers = Followers::default();
    let mut published_invalidations = PublishedInvalidations::default();
    let mut published = (0, 0);
    while controller.leases.fencing_token(INDEX_OWNER_LEASE) == Some(index_owner.fencing_token) {
        let mut invalidations = followers.follow(controller, index_owner);
        invalidations.extend(published_invalidations.collect(controller));
        index_owner.commit(controller, invalidations);
        index_owner.drop_stuck_readers();
        let head = index_owner.head(controller);
        if (head.head, head.found) != published {
            published = (head.head, head.found);
            controller.append(StateChange::Ring(head));
        }
        tokio::time::sleep(constants::RING_PUBLISH_INTERVAL).await;
    }
}

/// One task for each holder; they end with this.
#[derive(Default)]
struct Followers {
    tasks: tokio::task::JoinSet<()>,
    by_holder: BTreeMap<String, tokio::task::AbortHandle>,
}

impl Followers {
    /// Follows those that are there now; gives the purges of those that are no longer.
    fn follow(
        &mut self,
        controller: &Arc<Controller>,
        index_owner: &Arc<IndexOwner>,
    ) -> Vec<Invalidation> {
        let mut want = controller.read_state(|n| follower::engines(n.engines.values()));
        want.extend(stores(controller));
        while self.tasks.try_join_next().is_some() {}
        let mut invalidations = Vec::new();
        self.by_holder.retain(|holder, task| {
            let stays = want.contains_key(holder);
            if !stays {
                task.abort();
                invalidations.push(Invalidation::Holder(holder.clone()));
            }
            stays
        });
        for (holder, source) in want {
            self.by_holder.entry(holder.clone()).or_insert_with(|| {
                self.tasks.spawn(follower::follow(
                    controller.clone(),
                    index_owner.clone(),
                    holder,
                    source,
                ))
            });
        }
        invalidations
    }
}

/// What has been published of weights and isolation.
#[derive(Default)]
struct PublishedInvalidations {
    weights: hashbrown::HashMap<String, u64>,
    isolation: u64,
}

impl PublishedInvalidations {
    /// Purges for weights that no engine has any more, and for a shared isolation that is over.
    fn collect(&mut self, controller: &Controller) -> Vec<Invalidation> {
        let mut invalidations = Vec::new();
        controller.read_state(|n| {
            for (model, (version, _)) in &n.weights {
                let all_there = !n.engines.values().any(|e| {
                    e.state() == EngineState::Ready
                        && fleet_core::fleet::version_of(e, model).is_some_and(|x| x < *version)
                });
                if all_there && self.weights.insert(model.clone(), *version) != Some(*version) {
                    invalidations.push(Invalidation::Weights(Weights {
                        model: model.clone(),
                        version: *version,
                    }));
                }
            }
            if let Some((_, isolation)) = n.config
                && isolation > self.isolation
            {
                if self.isolation > 0 {
                    invalidations.push(Invalidation::Isolation(isolation));
                }
                self.isolation = isolation;
            }
        });
        invalidations
    }
}

fn stores(controller: &Controller) -> Vec<(String, Source)> {
    let learned = controller.learned.lock();
    let Some((_, v)) = learned.get(crate::consensus::state_machine::CONFIG) else {
        return Vec::new();
    };
    let Ok(c) = <fleet_core::wire::ConfigValue as prost::Message>::decode(v.clone()) else {
        return Vec::new();
    };
    drop(learned);
    let addresses = controller.config_distribution.kv_stores(&c).into_iter();
    addresses.map(|a| (a.clone(), Source { address: a, engine: false })).collect()
}
