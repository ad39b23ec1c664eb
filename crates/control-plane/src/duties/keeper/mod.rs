//! The index-keeper: follows what engines and stores tell of their kept parts,
//! and derives invalidations from it (docs/purge.md).

mod give;
mod index;
mod pace;
mod tail;

pub use give::{give, hear_found};

use super::INDEX_KEEPER;
use crate::Controller;
use crate::facts::Fact;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{
    Body, EngineState, FleetUpdate, Invalidation, RingEntry, RingHead, Weights,
};
use index::Index;
use invalidation::draft::Draft;
use invalidation::ring::Ring;
use pace::Pace;
use std::collections::BTreeMap;
use std::sync::Arc;
use tail::Source;
use tokio::time::Instant;

/// All state of one holding of the duty: a ring of its own, and an index that starts empty.
pub struct Keeper {
    started: Instant,
    fence: u64,
    incarnation: u64,
    ring: Ring<RingEntry>,
    index: parking_lot::Mutex<Index>,
    readers: parking_lot::Mutex<hashbrown::HashMap<u64, Instant>>,
    pace: parking_lot::Mutex<Pace>,
    /// bounds what is taken in at once from holders that are met
    first_reads: tokio::sync::Semaphore,
}

impl Keeper {
    fn new(fence: u64, incarnation: u64) -> Keeper {
        Keeper {
            started: Instant::now(),
            fence,
            incarnation,
            ring: Ring::new(constants::RING_SLOTS, constants::RING_BATCH, constants::RING_LAG),
            index: parking_lot::Mutex::default(),
            readers: parking_lot::Mutex::default(),
            pace: parking_lot::Mutex::default(),
            first_reads: tokio::sync::Semaphore::new(constants::FIRST_READS),
        }
    }

    fn head(&self, s: &Controller) -> RingHead {
        RingHead {
            fence: self.fence,
            incarnation: self.incarnation,
            head: self.ring.head(),
            keeper: s.node.ip.to_string(),
            found: self.index.lock().found_so_far(),
        }
    }

    /// One change: applied here as it comes, published when whole.
    pub fn commit(&self, s: &Controller, entries: impl IntoIterator<Item = Invalidation>) {
        let nudged = {
            let mut index = self.index.lock();
            let mut d = Draft::open(&mut *index);
            for what in entries {
                d.add(RingEntry { scope: 0, what: Some(what) });
            }
            d.commit(&self.ring)
        };
        for reader in nudged {
            if let Some(o) = s.members.router_links.lock().get(&reader) {
                let _ =
                    o.push(Body::FleetUpdate(FleetUpdate { nudge: true, ..Default::default() }));
            }
        }
    }

    /// Readers that have not come for long lose their cursors.
    fn drop_stuck_readers(&self) {
        let mut stuck = Vec::new();
        self.readers.lock().retain(|id, seen| {
            let stays = seen.elapsed() <= constants::READER_LIMIT;
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
pub async fn keeping(s: Arc<Controller>) {
    loop {
        tokio::time::sleep(constants::DUTY_TICK).await;
        let Some(fence) = s.duties.fence(INDEX_KEEPER) else { continue };
        let keeper = Arc::new(Keeper::new(fence, s.draw() | 1));
        *s.duties.keeper.lock() = Some(keeper.clone());
        fleet_core::log_event!(s.log, Event::RingStarted, "fence" => fence, "incarnation" => keeper.incarnation);
        s.append(Fact::Ring(keeper.head(&s)));
        keep(&s, &keeper).await;
        *s.duties.keeper.lock() = None;
    }
}

/// Until the duty ends: follows all holders, and publishes what other changes void.
async fn keep(s: &Arc<Controller>, keeper: &Arc<Keeper>) {
    let mut tails = Tails::default();
    let mut voided = Voided::default();
    let mut told = (0, 0);
    while s.duties.fence(INDEX_KEEPER) == Some(keeper.fence) {
        let mut purges = tails.follow(s, keeper);
        purges.extend(voided.look(s));
        keeper.commit(s, purges);
        keeper.drop_stuck_readers();
        let head = keeper.head(s);
        if (head.head, head.found) != told {
            told = (head.head, head.found);
            s.append(Fact::Ring(head));
        }
        tokio::time::sleep(constants::RING_TELL_PAUSE).await;
    }
}

/// One task for each holder; they end with this.
#[derive(Default)]
struct Tails {
    tasks: tokio::task::JoinSet<()>,
    by_holder: BTreeMap<String, tokio::task::AbortHandle>,
}

impl Tails {
    /// Follows those that are there now; gives the purges of those that are no longer.
    fn follow(&mut self, s: &Arc<Controller>, keeper: &Arc<Keeper>) -> Vec<Invalidation> {
        let mut want = s.look(|n| tail::engines(n.engines.values()));
        want.extend(stores(s));
        while self.tasks.try_join_next().is_some() {}
        let mut purges = Vec::new();
        self.by_holder.retain(|holder, task| {
            let stays = want.contains_key(holder);
            if !stays {
                task.abort();
                purges.push(Invalidation::Holder(holder.clone()));
            }
            stays
        });
        for (holder, source) in want {
            self.by_holder.entry(holder.clone()).or_insert_with(|| {
                self.tasks.spawn(tail::tail(s.clone(), keeper.clone(), holder, source))
            });
        }
        purges
    }
}

/// What has been published of weights and isolation.
#[derive(Default)]
struct Voided {
    weights: hashbrown::HashMap<String, u64>,
    isolation: u64,
}

impl Voided {
    /// Purges for weights that no engine has any more, and for a shared isolation that is over.
    fn look(&mut self, s: &Controller) -> Vec<Invalidation> {
        let mut purges = Vec::new();
        s.look(|n| {
            for (model, (version, _)) in &n.weights {
                let all_there = !n.engines.values().any(|e| {
                    e.state() == EngineState::Ready
                        && fleet_core::fleet::version_of(e, model).is_some_and(|x| x < *version)
                });
                if all_there && self.weights.insert(model.clone(), *version) != Some(*version) {
                    purges.push(Invalidation::Weights(Weights {
                        model: model.clone(),
                        version: *version,
                    }));
                }
            }
            if let Some((_, isolation)) = n.config
                && isolation > self.isolation
            {
                if self.isolation > 0 {
                    purges.push(Invalidation::Isolation(isolation));
                }
                self.isolation = isolation;
            }
        });
        purges
    }
}

fn stores(s: &Controller) -> Vec<(String, Source)> {
    let learned = s.learned.lock();
    let Some((_, v)) = learned.get(crate::control::values::CONFIG) else { return Vec::new() };
    let Ok(c) = <fleet_core::wire::ConfigValue as prost::Message>::decode(v.clone()) else {
        return Vec::new();
    };
    drop(learned);
    let addresses = s.distribution.kv_stores(&c).into_iter();
    addresses.map(|a| (a.clone(), Source { address: a, engine: false })).collect()
}
