//! What a router sees of the fleet; it never goes back within an incarnation.

pub mod config_fetch;
pub mod links;
pub mod loads;
pub mod purge;
pub mod roll;
pub mod table;

use crate::pool::EngineHandle;
use fleet_core::constants;
use fleet_core::wire::{Engine, Membership, NamedWeights, RingHead, Standing, View};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::Instant;

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub type EngineHandles = hashbrown::HashMap<String, Arc<EngineHandle>, ahash::RandomState>;

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
/// Newest named weights of a model, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    pub version: u64,
    pub since: Instant,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub struct FleetView {
    table: parking_lot::RwLock<Option<Arc<table::Table>>>,
    told_config: tokio::sync::watch::Sender<u64>,
    pub engines: parking_lot::RwLock<EngineHandles>,
    named: parking_lot::RwLock<hashbrown::HashMap<String, Named, ahash::RandomState>>,
    disturbed: parking_lot::Mutex<Option<Instant>>,
    membership: parking_lot::Mutex<Membership>,
    pub ring: parking_lot::Mutex<Option<RingHead>>,
    pub news: tokio::sync::Notify,
    routers: AtomicUsize,
    pub prefix_view: purge::PrefixView,
    rolls: roll::Rolls,
    links: parking_lot::Mutex<hashbrown::HashMap<std::net::Ipv4Addr, Arc<fleet_core::link::Link>>>,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
impl FleetView {
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

    pub fn table(&self) -> Option<Arc<table::Table>> {
        self.table.read().clone()
    }

    /// A configuration only ever gives way to a higher one.
    pub fn set_table(&self, t: table::Table) -> bool {
        let mut now = self.table.write();
        if now.as_ref().is_some_and(|n| n.version >= t.version) {
            return false;
        }
        *now = Some(Arc::new(t));
        true
    }

    pub fn named(&self, model: &str) -> Option<Named> {
        let n = self.named.read().get(model).copied()?;
        let since = self.disturbed.lock().map_or(n.since, |t| t.max(n.since));
        Some(Named { since, ..n })
    }

    /// A controller was lost: the roll-out may be held up, and its bound counts anew from here.
    pub fn disturb(&self) {
        *self.disturbed.lock() = Some(Instant::now());
    }

    pub fn routers(&self) -> usize {
        self.routers.load(Ordering::Relaxed).max(1)
    }

    pub fn link_to(&self, ip: &str) -> Option<Arc<fleet_core::link::Link>> {
        let ip: std::net::Ipv4Addr = ip.parse().ok()?;
        self.links.lock().get(&ip).cloned()
    }

    fn hear_engine(&self, news: &Engine) {
        let known = self.engines.read().get(&news.id).cloned();
        self.rolls.stale();
        match known {
            Some(engine) => {
                engine.hear(news);
                if news.standing() == Standing::Gone {
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

    fn hear_weights(&self, w: &NamedWeights) {
        let since = Instant::now()
            .checked_sub(std::time::Duration::from_millis(w.age_ms))
            .unwrap_or_else(Instant::now);
        let mut named = self.named.write();
        let now = named.entry_ref(w.model.as_str()).or_insert(Named { version: 0, since });
        if w.version > now.version {
            *now = Named { version: w.version, since };
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
            link.silent_for().is_some_and(|silence| silence < constants::CONTROLLER_FRESH)
        };
        if up.iter().any(|(_, link)| fresh(link)) {
            up.retain(|(_, link)| fresh(link));
        }
        up.into_iter().map(|(_, link)| link.clone()).collect()
    }

    /// Takes what a controller pushed.
    pub fn hear(&self, v: &View) {
        for e in &v.engines {
            self.hear_engine(e);
        }
        for w in &v.weights {
            self.hear_weights(w);
        }
        if let Some(r) = &v.membership {
            let mut now = self.membership.lock();
            if r.epoch > now.epoch {
                *now = r.clone();
            }
        }
        if let Some(h) = &v.ring {
            let mut now = self.ring.lock();
            if now.as_ref().is_none_or(|n| (h.fence, h.head) >= (n.fence, n.head)) {
                *now = Some(h.clone());
            }
        }
        if v.routers > 0 {
            self.routers.store(v.routers as usize, Ordering::Relaxed);
        }
        if v.ring.is_some() || v.nudge {
            self.news.notify_one();
        }
        self.told_config.send_if_modified(|told| {
            let rises = v.config > *told;
            *told = v.config.max(*told);
            rises
        });
    }
}

impl Default for FleetView {
    fn default() -> Self {
        Self::new()
    }
}
