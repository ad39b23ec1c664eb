//! What a router sees of the fleet; it never goes back within an incarnation.

pub mod config_fetch;
pub mod links;
pub mod loads;
pub mod purge;
pub mod roll;
pub mod table;

use crate::pool::EngineHandle;
use fleet_core::constants;
use fleet_core::wire::{Engine, EngineState, FleetUpdate, Membership, RingHead, TargetWeights};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::Instant;

/// All engines that are known, by instance id; gone ones for a while.
pub type EngineHandles = hashbrown::HashMap<String, Arc<EngineHandle>, ahash::RandomState>;

/// Newest named weights of a model, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// The named version.
    pub version: u64,
    /// When it was named, or when the roll-out was last disturbed.
    pub since: Instant,
}

/// What this router was told of the fleet, and what it saw itself. Nothing in it goes back to an older
/// state.
pub struct FleetView {
    table: parking_lot::RwLock<Option<Arc<table::Table>>>,
    /// The highest version of a configuration that a controller told of.
    told_config: tokio::sync::watch::Sender<u64>,
    /// All engines that are known.
    pub engines: parking_lot::RwLock<EngineHandles>,
    named: parking_lot::RwLock<hashbrown::HashMap<String, Named, ahash::RandomState>>,
    /// when a controller was lost last
    disturbed: parking_lot::Mutex<Option<Instant>>,
    membership: parking_lot::Mutex<Membership>,
    /// Where the ring of invalidations stands.
    pub ring: parking_lot::Mutex<Option<RingHead>>,
    /// Wakes the reader of the ring.
    pub news: tokio::sync::Notify,
    routers: AtomicUsize,
    /// What holders keep.
    pub prefix_view: purge::PrefixView,
    rolls: roll::Rolls,
    links: parking_lot::Mutex<hashbrown::HashMap<std::net::Ipv4Addr, Arc<fleet_core::link::Link>>>,
}

impl FleetView {
    /// A view that knows nothing.
    pub fn new() -> Self {
        FleetView {
            table: parking_lot::RwLock::new(None),
            told_config: tokio::sync::watch::channel(0).0,
            engines: parking_lot::RwLock::default(),
            named: parking_lot::RwLock::default(),
            disturbed: parking_lot::Mutex::default(),
            membership: parking_lot::Mutex::default(),
            ring: parking_lot::Mutex::default(),
            news: tokio::sync::Notify::new(),
            routers: AtomicUsize::new(1),
            prefix_view: purge::PrefixView::new(),
            rolls: roll::Rolls::default(),
            links: parking_lot::Mutex::default(),
        }
    }

    /// The configuration in force, compiled; none before the first.
    pub fn table(&self) -> Option<Arc<table::Table>> {
        self.table.read().clone()
    }

    /// Puts a configuration in force; false if a newer one, or the same, is.
    pub fn set_table(&self, newer: table::Table) -> bool {
        let mut current = self.table.write();
        if current.as_ref().is_some_and(|table| table.version >= newer.version) {
            return false;
        }
        *current = Some(Arc::new(newer));
        true
    }

    /// The weights named for a model.
    pub fn named(&self, model: &str) -> Option<Named> {
        let named = self.named.read().get(model).copied()?;
        let since = self.disturbed.lock().map_or(named.since, |at| at.max(named.since));
        Some(Named { since, ..named })
    }

    /// A controller was lost: the roll-out may be held up, and its bound counts anew from here.
    pub fn disturb(&self) {
        *self.disturbed.lock() = Some(Instant::now());
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

    /// Frames and answers of controllers that could not be taken, over the links kept now.
    pub fn links_rejected(&self) -> u64 {
        self.links.lock().values().map(|link| link.rejected()).sum()
    }

    fn hear_engine(&self, news: &Engine) {
        let known = self.engines.read().get(&news.id).cloned();
        self.rolls.stale();
        match known {
            Some(engine) => {
                engine.hear(news);
                if news.state() == EngineState::Deregistered {
                    self.prefix_view.forget(&news.id);
                }
            }
            None => {
                if let Some(engine) = EngineHandle::new(news) {
                    self.engines.write().insert(news.id.clone(), Arc::new(engine));
                }
            }
        }
    }

    /// The engines of a service, as placement weighs them.
    pub fn roll(&self, service: &str, zone: &str) -> Arc<roll::Roll> {
        self.rolls.of(service, zone, &self.engines, self.prefix_view.look())
    }

    /// Weights seen in an answer of an engine.
    pub fn saw_weights(&self, engine: &EngineHandle, model: &str, version: u64) {
        if engine.saw_weights(model, version) {
            self.rolls.stale();
        }
    }

    fn hear_weights(&self, news: &TargetWeights) {
        let since = Instant::now()
            .checked_sub(std::time::Duration::from_millis(news.age_ms))
            .unwrap_or_else(Instant::now);
        let mut all = self.named.write();
        let named = all.entry_ref(news.model.as_str()).or_insert(Named { version: 0, since });
        if news.version > named.version {
            *named = Named { version: news.version, since };
        }
    }

    /// The highest version of a configuration that a controller told of.
    pub fn told_config(&self) -> tokio::sync::watch::Receiver<u64> {
        self.told_config.subscribe()
    }

    /// The links to controllers that are up, in the order of their addresses; those that were
    /// heard lately, unless there is none.
    pub fn links_up(&self) -> Vec<Arc<fleet_core::link::Link>> {
        let links = self.links.lock();
        let mut up: Vec<_> = links.iter().filter(|(_, link)| link.is_up()).collect();
        up.sort_unstable_by_key(|(ip, _)| **ip);
        let fresh = |link: &fleet_core::link::Link| {
            link.time_since_received().is_some_and(|silence| silence < constants::CONTROLLER_FRESH)
        };
        if up.iter().any(|(_, link)| fresh(link)) {
            up.retain(|(_, link)| fresh(link));
        }
        up.into_iter().map(|(_, link)| link.clone()).collect()
    }

    /// Takes what a controller pushed.
    pub fn hear(&self, view: &FleetUpdate) {
        for engine in &view.engines {
            self.hear_engine(engine);
        }
        for weights in &view.weights {
            self.hear_weights(weights);
        }
        if let Some(membership) = &view.membership {
            self.hear_membership(membership);
        }
        if let Some(head) = &view.ring {
            self.hear_ring(head);
        }
        if view.routers > 0 {
            self.routers.store(view.routers as usize, Ordering::Relaxed);
        }
        if view.ring.is_some() || view.nudge {
            self.news.notify_one();
        }
        self.told_config.send_if_modified(|told| {
            let rises = view.config > *told;
            *told = view.config.max(*told);
            rises
        });
    }

    fn hear_membership(&self, news: &Membership) {
        let mut current = self.membership.lock();
        if news.epoch > current.epoch {
            *current = news.clone();
        }
    }

    fn hear_ring(&self, news: &RingHead) {
        let mut current = self.ring.lock();
        let is_older =
            |known: &RingHead| (news.fencing_token, news.head) < (known.fencing_token, known.head);
        if !current.as_ref().is_some_and(is_older) {
            *current = Some(news.clone());
        }
    }
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new()
    }
}
