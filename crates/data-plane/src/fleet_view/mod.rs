//! The router's view of the fleet, from updates of controllers and from its own requests.
//!
//! Within an incarnation of the process no state is replaced by an older one: versions, epochs and tokens only
//! increase, and updates of an engine are ordered by their call number. Updates may therefore come from several
//! controllers, late and repeatedly.
//!
//! | module | purpose |
//! |---|---|
//! | [`links`] | links to controllers: sends heartbeats, receives updates |
//! | [`config_fetch`], [`routing_table`], [`tenants`] | fetch and compile the configuration in force |
//! | [`endpoints`] | the engines of a service, prepared for the load balancer |
//! | [`load_reports`] | reports this router's requests in flight, receives the sum over all routers |
//! | [`version_bound`] | the time until which a request may begin under older weights |
//! | [`invalidations`] | the prompt index, invalidated through the index owner's ring |
//! | [`ring_sources`] | selects the copy of that ring to read from |

pub mod config_fetch;
pub mod endpoints;
pub mod invalidations;
pub mod links;
pub mod load_reports;
pub mod ring_sources;
pub mod routing_table;
pub mod tenants;
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

/// All known engines by instance id. Deregistered engines are kept for a while.
pub type EngineHandles = hashbrown::HashMap<String, Arc<EngineHandle>, ahash::RandomState>;

/// The target versions of each model's weights, by model. Requests hold references to them.
type Targets = hashbrown::HashMap<String, Arc<TargetVersions>, ahash::RandomState>;

/// State of the fleet, as controllers report it and as this router observes it. No part of it reverts to an older
/// state.
pub struct FleetView {
    routing_table: parking_lot::RwLock<Option<Arc<routing_table::RoutingTable>>>,
    /// The highest configuration version that a controller announced.
    announced_config: tokio::sync::watch::Sender<u64>,
    /// All known engines.
    pub engines: parking_lot::RwLock<EngineHandles>,
    targets: parking_lot::RwLock<Targets>,
    /// When a controller was last lost.
    controller_lost_at: parking_lot::Mutex<Option<Instant>>,
    /// Notified after each change of what bounds the wait of a dispatch: the configuration in force, target versions
    /// and losses of controllers.
    dispatch_constraints: tokio::sync::watch::Sender<()>,
    membership: parking_lot::Mutex<Membership>,
    /// The ring of invalidations and its relayed copies.
    pub ring_sources: RingSources,
    /// Wakes the task that reads the ring.
    pub ring_changed: tokio::sync::Notify,
    routers: AtomicUsize,
    /// The prompt index: which holders have which prompt parts cached.
    pub prefix_view: invalidations::PrefixView,
    endpoints: endpoints::Endpoints,
    links: parking_lot::Mutex<hashbrown::HashMap<std::net::Ipv4Addr, Arc<fleet_core::link::Link>>>,
}

impl FleetView {
    /// An empty view, before the first update of a controller.
    pub fn new() -> Self {
        FleetView {
            routing_table: parking_lot::RwLock::new(None),
            announced_config: tokio::sync::watch::channel(0).0,
            engines: parking_lot::RwLock::default(),
            targets: parking_lot::RwLock::default(),
            controller_lost_at: parking_lot::Mutex::default(),
            dispatch_constraints: tokio::sync::watch::Sender::default(),
            membership: parking_lot::Mutex::default(),
            ring_sources: RingSources::default(),
            ring_changed: tokio::sync::Notify::new(),
            routers: AtomicUsize::new(1),
            prefix_view: invalidations::PrefixView::new(),
            endpoints: endpoints::Endpoints::default(),
            links: parking_lot::Mutex::default(),
        }
    }

    /// The compiled configuration in force; none before the first one was fetched.
    pub fn routing_table(&self) -> Option<Arc<routing_table::RoutingTable>> {
        self.routing_table.read().clone()
    }

    /// The configuration in force for a request that was accepted under `accepted`: that one or a newer one.
    pub fn routing_table_since(
        &self,
        accepted: &Arc<routing_table::RoutingTable>,
    ) -> Arc<routing_table::RoutingTable> {
        self.routing_table().unwrap_or_else(|| accepted.clone())
    }

    /// Puts a configuration in force. Returns false, and changes nothing, if the same version or a newer one already
    /// is.
    pub fn set_routing_table(&self, newer: routing_table::RoutingTable) -> bool {
        let mut current = self.routing_table.write();
        if current.as_ref().is_some_and(|routing_table| routing_table.version >= newer.version) {
            return false;
        }
        *current = Some(Arc::new(newer));
        drop(current);
        self.dispatch_constraints.send_replace(());
        true
    }

    /// The newest target version of a model's weights; none if none was announced.
    pub fn target_version(&self, model: &str) -> Option<u64> {
        let targets = self.targets.read();
        targets.get(model)?.newest().map(|target| target.version)
    }

    /// When the newest target version of a model's weights was announced; none if none was.
    pub fn target_announced_at(&self, model: &str) -> Option<Instant> {
        let targets = self.targets.read();
        targets.get(model)?.newest().map(|target| target.since)
    }

    /// The bounds until which requests may begin under each version of a model's weights.
    pub fn version_bound(&self, model: &str, bound: Duration) -> VersionBound {
        let targets = self.targets.read().get(model).cloned().unwrap_or_default();
        VersionBound::new(targets, *self.controller_lost_at.lock(), bound)
    }

    /// The target versions of all models' weights, by model.
    pub fn targets(&self) -> std::collections::BTreeMap<String, Arc<TargetVersions>> {
        let targets = self.targets.read();
        targets.iter().map(|(model, targets)| (model.clone(), targets.clone())).collect()
    }

    /// Records the loss of a controller. It may delay the rollout, so all version bounds are counted from this time at
    /// the earliest.
    pub fn record_controller_loss(&self, at: Instant) {
        let mut controller_lost_at = self.controller_lost_at.lock();
        *controller_lost_at = controller_lost_at.map_or(Some(at), |before| Some(before.max(at)));
        drop(controller_lost_at);
        self.dispatch_constraints.send_replace(());
    }

    /// Watches what bounds the wait of a dispatch that has no response: the configuration in force, target versions and
    /// losses of controllers. Each change wakes the receiver after it can be read.
    pub fn watch_dispatch_constraints(&self) -> tokio::sync::watch::Receiver<()> {
        self.dispatch_constraints.subscribe()
    }

    /// Number of live routers, this one included; at least 1.
    pub fn routers(&self) -> usize {
        self.routers.load(Ordering::Relaxed).max(1)
    }

    /// The link to the controller at an IPv4 address; none if there is no link or the address is invalid.
    pub fn link_to(&self, ip: &str) -> Option<Arc<fleet_core::link::Link>> {
        let ip: std::net::Ipv4Addr = ip.parse().ok()?;
        self.links.lock().get(&ip).cloned()
    }

    /// The address of the controller whose copy of the ring this router reads; none while no copy is available.
    fn ring_to_read(&self, node: &fleet_core::node::Node) -> Option<String> {
        let membership = self.membership.lock().clone();
        let is_up = |member: &Member| self.link_to(&member.ip).is_some_and(|link| link.is_up());
        let reader = RingReader { zone: &node.zone, name: &node.name, routers: self.routers() };
        self.ring_sources.choose(&membership.members, &reader, is_up, Instant::now())
    }

    /// Number of frames and responses of controllers that were rejected, summed over the current links.
    pub fn links_rejected(&self) -> u64 {
        self.links.lock().values().map(|link| link.rejected_count()).sum()
    }

    fn update_engine(&self, update: &Engine) {
        let current = self.engines.read().get(&update.id).cloned();
        match current {
            Some(engine) => {
                // Several controllers send the same update; only the first one changes the engine.
                if engine.update(update) {
                    self.endpoints.invalidate();
                }
                if update.state() == EngineState::Deregistered {
                    self.prefix_view.remove_holder(&update.id);
                }
            }
            None => {
                if let Some(engine) = EngineHandle::new(update) {
                    self.engines.write().insert(update.id.clone(), Arc::new(engine));
                    self.endpoints.invalidate();
                }
            }
        }
    }

    /// The engines of a service, prepared for the load balancer.
    pub fn endpoints_of(
        &self,
        service: &str,
        viewpoint: Viewpoint<'_>,
    ) -> Arc<endpoints::EndpointSet> {
        self.endpoints.get(service, viewpoint, &self.engines, self.prefix_view.current_index())
    }

    /// Records the version of a model's weights that a response of an engine reported.
    pub fn record_weights(&self, engine: &EngineHandle, model: &str, version: u64) {
        if engine.record_weights(model, version) {
            self.endpoints.invalidate();
        }
    }

    fn update_target(&self, update: &TargetWeights) {
        let since = Instant::now()
            .checked_sub(Duration::from_millis(update.age_ms))
            .unwrap_or_else(Instant::now);
        let mut targets_by_model = self.targets.write();
        let targets = targets_by_model.entry_ref(update.model.as_str()).or_default();
        let is_changed = Arc::make_mut(targets).record(update.version, since);
        drop(targets_by_model);
        if is_changed {
            self.dispatch_constraints.send_replace(());
        }
    }

    /// Watches the highest configuration version that a controller announced; 0 before the first.
    pub fn announced_config(&self) -> tokio::sync::watch::Receiver<u64> {
        self.announced_config.subscribe()
    }

    /// The links to controllers that are up, ordered by address. Links without a response within
    /// [`constants::CONTROLLER_RESPONSE_TIMEOUT`] are left out unless there are no others.
    pub fn links_up(&self) -> Vec<Arc<fleet_core::link::Link>> {
        let links = self.links.lock();
        let mut up: Vec<_> = links.iter().filter(|(_, link)| link.is_up()).collect();
        up.sort_unstable_by_key(|(ip, _)| **ip);
        let is_responsive = |link: &fleet_core::link::Link| {
            link.time_since_received()
                .is_some_and(|idle_time| idle_time < constants::CONTROLLER_RESPONSE_TIMEOUT)
        };
        if up.iter().any(|(_, link)| is_responsive(link)) {
            up.retain(|(_, link)| is_responsive(link));
        }
        up.into_iter().map(|(_, link)| link.clone()).collect()
    }

    /// Applies an update from a controller.
    pub fn apply_update(&self, update: &FleetUpdate) {
        for engine in &update.engines {
            self.update_engine(engine);
        }
        for weights in &update.weights {
            self.update_target(weights);
        }
        if let Some(membership) = &update.membership {
            self.update_membership(membership);
        }
        if let Some(head) = &update.ring {
            self.ring_sources.update_owner(head, Instant::now());
        }
        if let Some(head) = &update.ring_relay {
            self.ring_sources.update_relay(head);
        }
        if update.routers > 0 {
            self.routers.store(update.routers as usize, Ordering::Relaxed);
        }
        if update.ring.is_some() || update.ring_relay.is_some() || update.catch_up {
            self.ring_changed.notify_one();
        }
        self.announced_config.send_if_modified(|announced| {
            let is_newer = update.config > *announced;
            *announced = update.config.max(*announced);
            is_newer
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
