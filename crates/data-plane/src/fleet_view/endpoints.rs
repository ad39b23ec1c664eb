//! The engines of a service as a dense array, rebuilt only when one of them changes.

use super::EngineHandles;
use crate::pool::EngineHandle;
use fleet_core::constants;
use fleet_core::wire::{Engine, EngineState};
use prompt_index::{Index, IndexLocation};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// One engine, with the properties that the load balancer uses.
pub struct Endpoint {
    /// Handle of the engine, with its current load and health.
    pub engine: Arc<EngineHandle>,
    /// Position of the engine in the prompt index.
    pub index_location: IndexLocation,
    /// State that controllers had reported when the set was built.
    pub state: Engine,
    /// Whether the engine is in the router's zone.
    pub same_zone: bool,
    /// Whether prefill-heavy requests are preferably routed to this engine. All routers make the same choice, and it is
    /// stable as engines join and leave.
    pub prefill_heavy: bool,
    /// Position of the engine in this router's preference order, from 0 (first) to 1.
    pub distance: f64,
    rank: u64,
}

/// The router for which engines are ranked: each router ranks the same engines differently.
#[derive(Clone, Copy)]
pub struct Viewpoint<'a> {
    /// Zone of the router.
    pub zone: &'a str,
    /// Node name of the router.
    pub router: &'a str,
}

impl Viewpoint<'_> {
    /// Position of an engine in the router's preference order, from 0 to 1. Rendezvous hashing spreads the engines
    /// evenly over the routers, and changes few positions when a router or an engine joins or leaves. Engines in the
    /// router's zone are scaled towards 0.
    fn distance(&self, engine: &str, same_zone: bool) -> f64 {
        let hash = fleet_core::node::stable_hash(&[self.router.as_bytes(), engine.as_bytes()]);
        let uniform = hash as f64 / u64::MAX as f64;
        if same_zone { uniform * constants::SAME_ZONE_DISTANCE_SCALE } else { uniform }
    }
}

impl Endpoint {
    /// Rendezvous hash of a prompt part and this engine; the part is preferably routed to the engine with the highest
    /// rank.
    pub fn rank(&self, part: u64) -> u64 {
        let mixed = (self.rank ^ part).wrapping_mul(0xff51_afd7_ed55_8ccd);
        let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        mixed ^ (mixed >> 33)
    }
}

/// Number of engines for prefill-heavy requests: [`constants::PREFILL_HEAVY_SHARE`] of them, or fewer if interactive
/// requests need more than the rest, but at least [`constants::PREFILL_HEAVY_MIN_SHARE`]. `interactive` is the number
/// of interactive requests in flight at all routers.
pub fn prefill_heavy_count(engines: usize, slots: u32, interactive: f64) -> usize {
    let all = engines as f64;
    let interactive_engines =
        (interactive / (f64::from(slots.max(1)) * constants::INTERACTIVE_SLOT_UTILIZATION)).ceil();
    (all * constants::PREFILL_HEAVY_SHARE)
        .min(all - interactive_engines)
        .max(all * constants::PREFILL_HEAVY_MIN_SHARE)
        .ceil() as usize
}

/// Marks a holder without an endpoint; no endpoint has this index.
const NO_ENDPOINT: u16 = u16::MAX;

/// Counters of what a set was built from: the set is stale once one of them has increased.
#[derive(Clone, Copy, PartialEq, Eq)]
struct CacheKey {
    /// Number of updates of engines.
    engine_updates: u64,
    /// Number of reassignments of locations in the prompt index.
    location_changes: u64,
}

/// The engines of one service.
pub struct EndpointSet {
    key: CacheKey,
    /// All engines of the service that are not deregistered.
    pub endpoints: Vec<Endpoint>,
    /// Maps a cell of the prompt index and the number of a holder in it to an index into `endpoints`.
    endpoint_by_holder: Vec<[u16; 256]>,
}

impl EndpointSet {
    /// Builds the set; `engine_updates` is the number of updates that `engines` includes.
    pub fn new(
        engines: Vec<(Arc<EngineHandle>, Engine)>,
        viewpoint: Viewpoint<'_>,
        index: &Index,
        interactive: f64,
        engine_updates: u64,
    ) -> Self {
        let mut endpoints: Vec<Endpoint> = engines
            .into_iter()
            .map(|(engine, state)| Endpoint {
                index_location: index.admit(&engine.id),
                same_zone: state.zone == viewpoint.zone,
                prefill_heavy: false,
                distance: viewpoint.distance(&engine.id, state.zone == viewpoint.zone),
                rank: fleet_core::node::stable_hash(&[engine.id.as_bytes()]),
                engine,
                state,
            })
            .collect();
        Self::assign_prefill_heavy(&mut endpoints, interactive);
        let cells =
            endpoints.iter().map(|endpoint| endpoint.index_location.cell + 1).max().unwrap_or(0);
        let mut endpoint_by_holder = vec![[NO_ENDPOINT; 256]; cells];
        for (i, endpoint) in endpoints.iter().enumerate() {
            endpoint_by_holder[endpoint.index_location.cell]
                [usize::from(endpoint.index_location.slot.index)] = i as u16;
        }
        EndpointSet {
            key: CacheKey { engine_updates, location_changes: index.location_changes() },
            endpoints,
            endpoint_by_holder,
        }
    }

    /// Sets `prefill_heavy` of the engines, in the order of their rank so that all routers choose the same ones.
    fn assign_prefill_heavy(endpoints: &mut [Endpoint], interactive: f64) {
        let is_ready = |endpoint: &Endpoint| {
            endpoint.state.state() == EngineState::Ready && !endpoint.state.heartbeat_missed
        };
        let mut order: Vec<usize> =
            (0..endpoints.len()).filter(|i| is_ready(&endpoints[*i])).collect();
        order.sort_unstable_by_key(|i| (endpoints[*i].rank, *i));
        let slots = endpoints.iter().map(|endpoint| endpoint.state.slots).max().unwrap_or(0);
        let prefill_heavy_count = prefill_heavy_count(order.len(), slots, interactive);
        for index in order.into_iter().take(prefill_heavy_count) {
            endpoints[index].prefill_heavy = true;
        }
    }

    /// Index into [`endpoints`](Self::endpoints) of a holder, given its cell and its number there.
    pub fn endpoint(&self, cell: usize, number: u8) -> Option<usize> {
        let endpoint = *self.endpoint_by_holder.get(cell)?.get(usize::from(number))?;
        (endpoint != NO_ENDPOINT).then_some(usize::from(endpoint))
    }
}

/// Number of interactive requests in flight at all routers.
#[derive(Default)]
struct InteractiveRuns {
    /// Exponential moving average of the reported numbers.
    smoothed: f64,
    /// The number by which engines are currently divided between prefill-heavy and interactive requests.
    applied: f64,
}

/// Caches the endpoint set of each service. A counter that increases with each update of an engine shows when a set is
/// stale.
#[derive(Default)]
pub struct Endpoints {
    engine_updates: AtomicU64,
    interactive: parking_lot::Mutex<InteractiveRuns>,
    cached: parking_lot::Mutex<hashbrown::HashMap<String, Arc<EndpointSet>, ahash::RandomState>>,
}

impl Endpoints {
    /// Marks all cached sets as stale because an engine has changed.
    pub fn invalidate(&self) {
        self.engine_updates.fetch_add(1, Ordering::Release);
    }

    /// Records the number of interactive requests in flight at `engines` ready engines with `slots` slots each. The
    /// division of the engines changes only once it is off by [`constants::PREFILL_HEAVY_HYSTERESIS`] of them, and by
    /// at least one.
    pub fn record_interactive(&self, in_flight: u32, engines: usize, slots: u32) {
        let mut interactive = self.interactive.lock();
        interactive.smoothed +=
            (f64::from(in_flight) - interactive.smoothed) * constants::INTERACTIVE_SMOOTHING;
        let target_count = prefill_heavy_count(engines, slots, interactive.smoothed);
        let difference =
            target_count.abs_diff(prefill_heavy_count(engines, slots, interactive.applied));
        if difference as f64 >= (engines as f64 * constants::PREFILL_HEAVY_HYSTERESIS).max(1.0) {
            interactive.applied = interactive.smoothed;
            drop(interactive);
            self.invalidate();
        }
    }

    /// The endpoint set of a service, rebuilt if it is stale.
    pub fn get(
        &self,
        service: &str,
        viewpoint: Viewpoint<'_>,
        handles: &parking_lot::RwLock<EngineHandles>,
        index: &Index,
    ) -> Arc<EndpointSet> {
        let key = CacheKey {
            engine_updates: self.engine_updates.load(Ordering::Acquire),
            location_changes: index.location_changes(),
        };
        if let Some(endpoint_set) =
            self.cached.lock().get(service).filter(|endpoint_set| endpoint_set.key == key)
        {
            return endpoint_set.clone();
        }
        let engines = handles
            .read()
            .values()
            .filter_map(|engine| {
                let state = engine.state();
                let included =
                    state.service == service && state.state() != EngineState::Deregistered;
                included.then(|| (engine.clone(), state.clone()))
            })
            .collect();
        let interactive = self.interactive.lock().applied;
        let endpoint_set =
            Arc::new(EndpointSet::new(engines, viewpoint, index, interactive, key.engine_updates));
        self.cached.lock().insert(service.to_owned(), endpoint_set.clone());
        endpoint_set
    }
}
