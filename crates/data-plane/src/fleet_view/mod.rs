//! What a router knows of the fleet: sent by controllers, and seen in its own requests.
//!
//! Within an incarnation of the process nothing goes back to an older state: versions, epochs and tokens only rise, and
//! an update of an engine counts by its call number. So updates may come from several controllers, late and more than once.
//!
//! | file | what it is |
//! |---|---|
//! | [`links`] | links to controllers: heartbeats out, updates in |
//! | [`config_fetch`], [`routing_table`] | fetches the configuration in force and compiles it |
//! | [`endpoints`] | the engines of a service, as the load balancer weighs them |
//! | [`load_reports`] | own requests in flight out, the sum of all routers in |
//! | [`version_bound`] | until when a request may begin under older weights |
//! | [`invalidations`] | the prompt index, kept valid by the ring of the index owner |
//! | [`ring_sources`] | which copy of that ring is read |

pub mod config_fetch;
pub mod endpoints;
pub mod invalidations;
pub mod links;
pub mod load_reports;
pub mod ring_sources;
pub mod routing_table;
pub mod version_bound;

use crate::pool::EngineHandle;
use endpoints::Viewpoint;
use fleet_core::constants;
use fleet_core::target_versions::TargetVersions;
use fleet_core::wire::{Engine, EngineState, FleetUpdate, Member, Membership, TargetWeights};
use ring_sources::{RingReader, RingSources};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::time::Instant;
use version_bound::VersionBound;

/// All engines that are known, by instance id; deregistered ones for a while.
pub type EngineHandles = hashbrown::HashMap<String, Arc<EngineHandle>, ahash::RandomState>;

/// The versions named for the weights of each model. A request shares them with the view.
type Targets = hashbrown::HashMap<String, Arc<TargetVersions>, ahash::RandomState>;

/// What this router was sent of the fleet, and what it saw itself. Nothing in it goes back to an older
/// state.
pub struct FleetView {
    routing_table: parking_lot::RwLock<Option<Arc<routing_table::Table>>>,
    /// The highest version of a configuration that a controller announced.
    announced_config: tokio::sync::watch::Sender<u64>,
    /// All engines that are known.
    pub engines: parking_lot::RwLock<EngineHandles>,
    /// By model.
    targets: parking_lot::RwLock<Targets>,
    /// When a controller was lost last.
    disturbed: parking_lot::Mutex<Option<Instant>>,
    membership: parking_lot::Mutex<Membership>,
    /// The ring of invalidations and its copies.
    pub ring_sources: RingSources,
    /// Wakes the reader of the ring.
    pub ring_moved: tokio::sync::Notify,
    routers: AtomicUsize,
    /// What holders have cached.
    pub prefix_view: invalidations::PrefixView,
    endpoints: endpoints::Endpoints,
    links: parking_lot::Mutex<hashbrown::HashMap<std::net::Ipv4Addr, Arc<fleet_core::link::Link>>>,
}

impl FleetView {
    /// A view that knows nothing.
    pub fn new() -> Self {
        FleetView {
            routing_table: parking_lot::RwLock::new(None),
            announced_config: tokio::sync::watch::channel(0).0,
            engines: parking_lot::RwLock::default(),
            targets: parking_lot::RwLock::default(),
            disturbed: parking_lot::Mutex::default(),
            membership: parking_lot::Mutex::default(),
            ring_sources: RingSources::default(),
            ring_moved: tokio::sync::Notify::new(),
            routers: AtomicUsize::new(1),
            prefix_view: invalidations::PrefixView::new(),
            endpoints: endpoints::Endpoints::default(),
            links: parking_lot::Mutex::default(),
        }
    }

    /// The configuration in force, compiled; none before the first.
    pub fn routing_table(&self) -> Option<Arc<routing_table::Table>> {
        self.routing_table.read().clone()
    }

    /// Puts a configuration in force; false if a newer one, or the same, is.
    pub fn set_table(&self, newer: routing_table::Table) -> bool {
        let mut current = self.routing_table.write();
        if current.as_ref().is_some_and(|routing_table| routing_table.version >= newer.version) {
            return false;
        }
        *current = Some(Arc::new(newer));
        true
    }

    /// The newest version that was named for a model's weights.
    pub fn target_version(&self, model: &str) -> Option<u64> {
        let targets = self.targets.read();
        targets.get(model)?.newest().map(|target| target.version)
    }

    /// When the newest version was named for a model's weights.
    pub fn target_named_at(&self, model: &str) -> Option<Instant> {
        let targets = self.targets.read();
        targets.get(model)?.newest().map(|target| target.since)
    }

    /// Until when requests may begin under the weights of each version of a model.
    pub fn version_bound(&self, model: &str, bound: Duration) -> VersionBound {
        let targets = self.targets.read().get(model).cloned().unwrap_or_default();
        VersionBound::new(targets, *self.disturbed.lock(), bound)
    }

    /// The versions named for the weights of all models, by name.
    pub fn targets(&self) -> std::collections::BTreeMap<String, Arc<TargetVersions>> {
        let targets = self.targets.read();
        targets.iter().map(|(model, targets)| (model.clone(), targets.clone())).collect()
    }

    /// A controller was lost at this moment: the roll-out may be held up, and all bounds count from here at the earliest.
    pub fn disturb(&self, at: Instant) {
        let mut disturbed = self.disturbed.lock();
        *disturbed = disturbed.map_or(Some(at), |before| Some(before.max(at)));
    }

    /// Live routers, this one included.
    pub fn routers(&self) -> usize {
        self.routers.load(Ordering::Relaxed).max(1)
    }

    /// The link to a controller, if there is one.
    pub fn link_to(&self, ip: &str) -> Option<Arc<fleet_core::link::Link>> {
        let ip: std::net::Ipv4Addr = ip.parse().ok()?;
        self.links.lock().get(&ip).cloned()
    }

    /// The address of the ring that this router reads; none while there is none to be read.
    fn ring_to_read(&self, node: &fleet_core::node::Node) -> Option<String> {
        let membership = self.membership.lock().clone();
        let is_up = |member: &Member| self.link_to(&member.ip).is_some_and(|link| link.is_up());
        let reader = RingReader { zone: &node.zone, name: &node.name, routers: self.routers() };
        self.ring_sources.choose(&membership.members, &reader, is_up, Instant::now())
    }

    /// Frames and answers of controllers that could not be taken, over the links kept now.
    pub fn links_rejected(&self) -> u64 {
        self.links.lock().values().map(|link| link.rejected()).sum()
    }

    fn update_engine(&self, update: &Engine) {
        let current = self.engines.read().get(&update.id).cloned();
        match current {
            Some(engine) => {
                // each of several controllers sends the same
                if engine.update(update) {
                    self.endpoints.stale();
                }
                if update.state() == EngineState::Deregistered {
                    self.prefix_view.remove_holder(&update.id);
                }
            }
            None => {
                if let Some(engine) = EngineHandle::new(update) {
                    self.engines.write().insert(update.id.clone(), Arc::new(engine));
                    self.endpoints.stale();
                }
            }
        }
    }

    /// The engines of a service, as the load balancer weighs them.
    pub fn endpoints_of(
        &self,
        service: &str,
        viewpoint: Viewpoint<'_>,
    ) -> Arc<endpoints::EndpointSet> {
        self.endpoints.of(service, viewpoint, &self.engines, self.prefix_view.current_index())
    }

    /// Weights seen in an answer of an engine.
    pub fn saw_weights(&self, engine: &EngineHandle, model: &str, version: u64) {
        if engine.saw_weights(model, version) {
            self.endpoints.stale();
        }
    }

    fn update_target(&self, update: &TargetWeights) {
        let since = Instant::now()
            .checked_sub(Duration::from_millis(update.age_ms))
            .unwrap_or_else(Instant::now);
        let mut all = self.targets.write();
        let targets = all.entry_ref(update.model.as_str()).or_default();
        Arc::make_mut(targets).learn(update.version, since);
    }

    /// The highest version of a configuration that a controller announced.
    pub fn announced_config(&self) -> tokio::sync::watch::Receiver<u64> {
        self.announced_config.subscribe()
    }

    /// The links to controllers that are up, in the order of their addresses; those
    /// that answered lately, unless there is none.
    pub fn links_up(&self) -> Vec<Arc<fleet_core::link::Link>> {
        let links = self.links.lock();
        let mut up: Vec<_> = links.iter().filter(|(_, link)| link.is_up()).collect();
        up.sort_unstable_by_key(|(ip, _)| **ip);
        let fresh = |link: &fleet_core::link::Link| {
            link.time_since_received()
                .is_some_and(|silent_for| silent_for < constants::CONTROLLER_FRESH)
        };
        if up.iter().any(|(_, link)| fresh(link)) {
            up.retain(|(_, link)| fresh(link));
        }
        up.into_iter().map(|(_, link)| link.clone()).collect()
    }

    /// Takes what a controller pushed.
    pub fn apply(&self, view: &FleetUpdate) {
        for engine in &view.engines {
            self.update_engine(engine);
        }
        for weights in &view.weights {
            self.update_target(weights);
        }
        if let Some(membership) = &view.membership {
            self.update_membership(membership);
        }
        if let Some(head) = &view.ring {
            self.ring_sources.update_owner(head, Instant::now());
        }
        if let Some(head) = &view.ring_relay {
            self.ring_sources.update_relay(head);
        }
        if view.routers > 0 {
            self.routers.store(view.routers as usize, Ordering::Relaxed);
        }
        if view.ring.is_some() || view.ring_relay.is_some() || view.nudge {
            self.ring_moved.notify_one();
        }
        self.announced_config.send_if_modified(|announced| {
            let rises = view.config > *announced;
            *announced = view.config.max(*announced);
            rises
        });
    }

    fn update_membership(&self, update: &Membership) {
        let mut current = self.membership.lock();
        if update.epoch > current.epoch {
            *current = update.clone();
        }
    }
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new()
    }
}
