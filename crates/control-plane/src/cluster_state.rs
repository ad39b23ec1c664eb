//! What a controller knows of the cluster, folded from changes, and pushed to routers as updates.
//!
//! Nothing here is on disk: the configuration, the target weights and the membership are learned from the
//! registers, engines from their heartbeats, and the ring from the index owner.

use fleet_core::change_log::{ChangeLog, Fold};
use fleet_core::wire::{Engine, FleetUpdate, Membership, RingHead, TargetWeights};
use tokio::sync::watch;

/// Changes that are retained for routers that lag behind; more come in a second only while a fleet starts.
const CHANGES_RETAINED: usize = 512;

/// Something that this controller learned and routers may have to hear of.
#[derive(Debug, Clone)]
pub enum StateChange {
    /// A configuration was chosen.
    Config {
        /// its number
        version: u64,
        /// isolation generation of its shared prompt parts
        isolation: u64,
    },
    /// New weights were named.
    Weights {
        /// name of the model
        model: String,
        /// version that engines are to have
        version: u64,
    },
    /// Another membership is in force.
    Membership(Membership),
    /// An engine is known, or something of it has changed.
    Engine(Engine),
    /// The ring of invalidations has moved on.
    Ring(RingHead),
    /// So many routers are alive.
    Routers(u32),
}

/// All that this controller knows, folded from the facts.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// version and isolation generation of the configuration
    pub config: Option<(u64, u64)>,
    /// by model, the version named and when this controller learned of it
    pub weights: std::collections::BTreeMap<String, (u64, Option<tokio::time::Instant>)>,
    /// the membership in force
    pub membership: Membership,
    /// engines by id
    pub engines: std::collections::BTreeMap<String, Engine>,
    /// where the ring of invalidations stands
    pub ring: Option<RingHead>,
    /// how many routers are alive
    pub routers: u32,
}

impl Fold for ClusterState {
    type Event = StateChange;
    fn fold(&mut self, change: &StateChange) {
        match change {
            StateChange::Config { version, isolation } => {
                self.config = Some((*version, *isolation))
            }
            StateChange::Weights { model, version } => {
                let at = Some(tokio::time::Instant::now());
                self.weights.insert(model.clone(), (*version, at));
            }
            StateChange::Membership(r) => self.membership = r.clone(),
            StateChange::Engine(e) => {
                self.engines.insert(e.id.clone(), e.clone());
            }
            StateChange::Ring(h) => self.ring = Some(h.clone()),
            StateChange::Routers(n) => self.routers = *n,
        }
    }
}

impl ClusterState {
    fn target(&self, model: &str) -> Option<TargetWeights> {
        let (version, at) = self.weights.get(model)?;
        let age_ms = at.map_or(0, |t| t.elapsed().as_millis() as u64);
        Some(TargetWeights { model: model.to_owned(), version: *version, age_ms })
    }

    /// Everything, for a router that has nothing yet.
    pub fn complete(&self) -> FleetUpdate {
        FleetUpdate {
            membership: Some(self.membership.clone()),
            config: self.config.map_or(0, |c| c.0),
            weights: self.weights.keys().filter_map(|m| self.target(m)).collect(),
            engines: self.engines.values().cloned().collect(),
            ring: self.ring.clone(),
            routers: self.routers,
            nudge: false,
        }
    }

    /// The newest state of all that these events touched.
    pub fn delta<'a>(&self, changes: impl Iterator<Item = &'a StateChange>) -> FleetUpdate {
        let mut v = FleetUpdate::default();
        for f in changes {
            match f {
                StateChange::Config { .. } => v.config = self.config.map_or(0, |c| c.0),
                StateChange::Weights { model, .. } => {
                    v.weights.retain(|w| w.model != *model);
                    v.weights.extend(self.target(model));
                }
                StateChange::Membership(_) => v.membership = Some(self.membership.clone()),
                StateChange::Engine(e) => {
                    v.engines.retain(|x| x.id != e.id);
                    v.engines.extend(self.engines.get(&e.id).cloned());
                }
                StateChange::Ring(_) => v.ring = self.ring.clone(),
                StateChange::Routers(_) => v.routers = self.routers,
            }
        }
        v
    }
}

/// The cluster state of one controller, with the newest changes to it.
pub struct ClusterStateStore {
    log: parking_lot::Mutex<ChangeLog<ClusterState>>,
    /// Number of changes so far.
    position: watch::Sender<u64>,
}

impl ClusterStateStore {
    /// A store that knows nothing.
    pub fn new() -> ClusterStateStore {
        let log = ChangeLog::new(ClusterState::default(), CHANGES_RETAINED);
        ClusterStateStore { log: parking_lot::Mutex::new(log), position: watch::channel(0).0 }
    }

    /// Folds a change in, and wakes who follows the state.
    pub fn append(&self, change: StateChange) {
        let position = self.log.lock().append(change);
        self.position.send_replace(position);
    }

    /// Changes the state by what no router has to hear of, so that nobody is woken.
    pub fn amend(&self, change: impl FnOnce(&mut ClusterState)) {
        self.log.lock().amend(change);
    }

    /// Reads the state. The lock is held meanwhile, so `read` must take no other one.
    pub fn read<T>(&self, read: impl FnOnce(&ClusterState) -> T) -> T {
        read(self.log.lock().view())
    }

    /// Moves with each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.position.subscribe()
    }

    /// What is new since `position`, and the position now: nothing if nothing is, and the complete state
    /// where the changes since are no longer retained.
    pub fn update_since(&self, position: Option<u64>) -> (u64, Option<FleetUpdate>) {
        let log = self.log.lock();
        let head = log.head();
        let update = match position {
            Some(position) if position == head => None,
            Some(position) => Some(
                log.since(position)
                    .map_or_else(|| log.view().complete(), |changes| log.view().delta(changes)),
            ),
            None => Some(log.view().complete()),
        };
        (head, update)
    }
}

impl Default for ClusterStateStore {
    fn default() -> Self {
        Self::new()
    }
}
