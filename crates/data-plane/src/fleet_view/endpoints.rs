//! The engines of a service in dense rows, made anew only when something of them changes.

use super::EngineHandles;
use crate::pool::EngineHandle;
use fleet_core::constants;
use fleet_core::wire::{Engine, EngineState};
use prompt_index::{At, Index};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// One engine, with what the load balancer needs of it.
pub struct Endpoint {
    /// The engine.
    pub engine: Arc<EngineHandle>,
    /// Where the prompt index has it.
    pub at: At,
    /// What was known of it when the row was made.
    pub state: Engine,
    /// Whether it stands in the router's zone.
    pub near: bool,
    /// heavy requests settle here: alike at all routers, and stable as engines come and go
    pub prefill_heavy: bool,
    /// How far down the own order of this router the engine stands, from 0 (first) to 1.
    pub distance: f64,
    rank: u64,
}

/// Who looks at the engines: what the same engines are worth differs from router to router.
#[derive(Clone, Copy)]
pub struct Viewpoint<'a> {
    /// The router's zone.
    pub zone: &'a str,
    /// The router's name.
    pub router: &'a str,
}

impl Viewpoint<'_> {
    /// Where an engine stands in the router's own order, from 0 to 1: rendezvous hashing, so that each engine comes
    /// first for its share of the routers, and few change when a router or an engine comes or goes. Near ones come first
    /// more often.
    fn distance(&self, engine: &str, near: bool) -> f64 {
        let hash = fleet_core::node::stable_hash(&[self.router.as_bytes(), engine.as_bytes()]);
        let drawn = hash as f64 / u64::MAX as f64;
        if near { drawn * constants::NEAR_DISTANCE } else { drawn }
    }
}

impl Endpoint {
    /// Rendezvous of a part with this engine.
    pub fn rank(&self, part: u64) -> u64 {
        let mixed = (self.rank ^ part).wrapping_mul(0xff51_afd7_ed55_8ccd);
        let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        mixed ^ (mixed >> 33)
    }
}

/// Engines that heavy requests settle at: two thirds, or fewer where long streams fill the others.
/// `interactive` is the sum of runs that people wait for.
pub fn prefill_heavy_count(engines: usize, slots: u32, interactive: f64) -> usize {
    let all = engines as f64;
    let light = (interactive / (f64::from(slots.max(1)) * constants::LIGHT_FILL)).ceil();
    (all * constants::PREFILL_HEAVY_SHARE)
        .min(all - light)
        .max(all * constants::PREFILL_HEAVY_MIN_SHARE)
        .ceil() as usize
}

/// No row has this number.
const NONE: u16 = u16::MAX;

/// What a roll was made from: it is out of date once one of them has risen.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Key {
    /// updates of engines
    state: u64,
    /// moves of the index
    moves: u64,
}

/// The engines of one service, one row each.
pub struct EndpointSet {
    key: Key,
    /// All engines that are not deregistered.
    pub endpoints: Vec<Endpoint>,
    /// cell and holder's number, to the row
    numbers: Vec<[u16; 256]>,
}

impl EndpointSet {
    /// Endpoints of these engines; `state` counts the updates that they include.
    pub fn new(
        engines: Vec<(Arc<EngineHandle>, Engine)>,
        viewpoint: Viewpoint<'_>,
        index: &Index,
        interactive: f64,
        state: u64,
    ) -> Self {
        let mut endpoints: Vec<Endpoint> = engines
            .into_iter()
            .map(|(engine, state)| Endpoint {
                at: index.admit(&engine.id),
                near: state.zone == viewpoint.zone,
                prefill_heavy: false,
                distance: viewpoint.distance(&engine.id, state.zone == viewpoint.zone),
                rank: fleet_core::node::stable_hash(&[engine.id.as_bytes()]),
                engine,
                state,
            })
            .collect();
        Self::assign_prefill_heavy(&mut endpoints, interactive);
        let cells = endpoints.iter().map(|endpoint| endpoint.at.cell + 1).max().unwrap_or(0);
        let mut numbers = vec![[NONE; 256]; cells];
        for (i, endpoint) in endpoints.iter().enumerate() {
            numbers[endpoint.at.cell][usize::from(endpoint.at.no.index)] = i as u16;
        }
        EndpointSet { key: Key { state, moves: index.moves() }, endpoints, numbers }
    }

    /// Marks the engines that heavy requests settle at.
    fn assign_prefill_heavy(endpoints: &mut [Endpoint], interactive: f64) {
        let ready = |endpoint: &Endpoint| {
            endpoint.state.state() == EngineState::Ready && !endpoint.state.heartbeat_missed
        };
        let mut order: Vec<usize> =
            (0..endpoints.len()).filter(|i| ready(&endpoints[*i])).collect();
        order.sort_unstable_by_key(|i| (endpoints[*i].rank, *i));
        let slots = endpoints.iter().map(|endpoint| endpoint.state.slots).max().unwrap_or(0);
        let prefill_heavy_count = prefill_heavy_count(order.len(), slots, interactive);
        for i in order.into_iter().take(prefill_heavy_count) {
            endpoints[i].prefill_heavy = true;
        }
    }

    /// The row of a holder, by its cell and its number there.
    pub fn endpoint(&self, cell: usize, number: u8) -> Option<usize> {
        let endpoint = *self.numbers.get(cell)?.get(usize::from(number))?;
        (endpoint != NONE).then_some(usize::from(endpoint))
    }
}

/// Sums of runs that people wait for.
#[derive(Default)]
struct Interactive {
    /// as they are, smoothed
    smoothed: f64,
    /// as the division between engines goes by
    applied: f64,
}

/// The sets in use; a count that rises with each update of engines shows when one is out of date.
#[derive(Default)]
pub struct Endpoints {
    state: AtomicU64,
    interactive: parking_lot::Mutex<Interactive>,
    made: parking_lot::Mutex<hashbrown::HashMap<String, Arc<EndpointSet>, ahash::RandomState>>,
}

impl Endpoints {
    /// Something of the engines has changed.
    pub fn stale(&self) {
        self.state.fetch_add(1, Ordering::Release);
    }

    /// The newest sum of runs that people wait for, at so many engines.
    pub fn record_interactive(&self, runs: u32, engines: usize, slots: u32) {
        let mut sums = self.interactive.lock();
        sums.smoothed += (f64::from(runs) - sums.smoothed) * constants::DIVISION_WEIGHT;
        let wanted = prefill_heavy_count(engines, slots, sums.smoothed);
        let off = wanted.abs_diff(prefill_heavy_count(engines, slots, sums.applied));
        if off as f64 >= (engines as f64 * constants::DIVISION_STEP).max(1.0) {
            sums.applied = sums.smoothed;
            drop(sums);
            self.stale();
        }
    }

    /// The roll of a service, made anew if it is out of date.
    pub fn of(
        &self,
        service: &str,
        viewpoint: Viewpoint<'_>,
        handles: &parking_lot::RwLock<EngineHandles>,
        index: &Index,
    ) -> Arc<EndpointSet> {
        let key = Key { state: self.state.load(Ordering::Acquire), moves: index.moves() };
        if let Some(endpoint_set) =
            self.made.lock().get(service).filter(|endpoint_set| endpoint_set.key == key)
        {
            return endpoint_set.clone();
        }
        let engines = handles
            .read()
            .values()
            .filter_map(|engine| {
                let state = engine.state();
                let wanted = state.service == service && state.state() != EngineState::Deregistered;
                wanted.then(|| (engine.clone(), state.clone()))
            })
            .collect();
        let interactive = self.interactive.lock().applied;
        let endpoint_set =
            Arc::new(EndpointSet::new(engines, viewpoint, index, interactive, key.state));
        self.made.lock().insert(service.to_owned(), endpoint_set.clone());
        endpoint_set
    }
}
