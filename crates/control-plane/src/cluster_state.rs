//! What a controller knows of the cluster, folded from changes, and pushed to routers as updates.
//!
//! Nothing here is on disk: the configuration, the target weights, the membership and the departures of engines are
//! learned from the registers, engines from their heartbeats, and the ring from the index owner.

mod engine_updates;

pub use engine_updates::MergedEngine;

use crate::engines::departures::Departures;
use fleet_core::change_log::{ChangeLog, Fold};
use fleet_core::target_versions::TargetVersions;
use fleet_core::wire::{Engine, FleetUpdate, Membership, RingHead, TargetWeights};
use std::collections::BTreeMap;
use tokio::sync::watch;
use tokio::time::Instant;

/// Changes that are retained for routers that lag behind; more come in a second only while a fleet starts.
const CHANGES_RETAINED: usize = 512;

/// Something that this controller learned, and that routers may have to be sent.
#[derive(Debug, Clone)]
pub enum StateChange {
    /// A configuration was chosen.
    Config {
        /// Its number.
        version: u64,
        /// Isolation generation of its shared prompt parts.
        isolation: u64,
    },
    /// New weights were named.
    Weights {
        /// Name of the model.
        model: String,
        /// Version that engines are to have.
        version: u64,
    },
    /// Another membership is in force.
    Membership(Membership),
    /// An engine is known, or something of it has changed.
    Engine(Engine),
    /// The ring of invalidations has moved on.
    Ring(RingHead),
    /// This controller has begun to relay the ring.
    RingRelay(RingHead),
    /// So many routers are alive.
    Routers(u32),
}

/// The newest configuration that is known to be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigInForce {
    /// Its number.
    pub version: u64,
    /// Isolation generation of its shared prompt parts.
    pub isolation: u64,
}

/// All that this controller knows, folded from changes.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The configuration in force; none before the first.
    pub config: Option<ConfigInForce>,
    /// Versions named for the weights of each model, with the moments at which this controller learned of them.
    pub weights: BTreeMap<String, TargetVersions>,
    /// The membership in force.
    pub membership: Membership,
    /// Engines by id; none is ready against a recorded departure.
    pub engines: BTreeMap<String, Engine>,
    /// Departures of engines that a majority has recorded.
    pub departures: Departures,
    /// Where the ring of invalidations stands.
    pub ring: Option<RingHead>,
    /// Where the copy of the ring stands that this controller passes on; none while it relays nothing.
    pub ring_relay: Option<RingHead>,
    /// How many routers are alive.
    pub routers: u32,
}

impl Fold for ClusterState {
    type Event = StateChange;
    fn fold(&mut self, change: &StateChange) {
        match change {
            StateChange::Config { version, isolation } => {
                self.config = Some(ConfigInForce { version: *version, isolation: *isolation });
            }
            StateChange::Weights { model, version } => {
                self.weights.entry(model.clone()).or_default().learn(*version, Instant::now());
            }
            StateChange::Membership(membership) => self.membership = membership.clone(),
            StateChange::Engine(engine) => {
                self.engines.insert(engine.id.clone(), engine.clone());
            }
            StateChange::Ring(head) => self.ring = Some(head.clone()),
            StateChange::RingRelay(head) => self.ring_relay = Some(head.clone()),
            StateChange::Routers(count) => self.routers = *count,
        }
    }
}

impl ClusterState {
    /// Version of the configuration in force; 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.config.map_or(0, |config| config.version)
    }

    /// All versions that engines of a model may lack, the oldest first: each has a bound of its own.
    fn targets<'a>(&'a self, model: &'a str) -> impl Iterator<Item = TargetWeights> + 'a {
        let named = self.weights.get(model).map_or(&[][..], TargetVersions::all);
        named.iter().map(|target| TargetWeights {
            model: model.to_owned(),
            version: target.version,
            age_ms: target.since.elapsed().as_millis() as u64,
        })
    }

    /// The newest version that was named for a model's weights; 0 if none was.
    pub fn target_version(&self, model: &str) -> u64 {
        let newest = self.weights.get(model).and_then(TargetVersions::newest);
        newest.map_or(0, |target| target.version)
    }

    /// Everything, for a router that has nothing yet.
    pub fn complete(&self) -> FleetUpdate {
        FleetUpdate {
            membership: Some(self.membership.clone()),
            config: self.config_version(),
            weights: self.weights.keys().flat_map(|model| self.targets(model)).collect(),
            engines: self.engines.values().cloned().collect(),
            ring: self.ring.clone(),
            routers: self.routers,
            nudge: false,
            ring_relay: self.ring_relay.clone(),
        }
    }

    /// The newest state of all that these changes touched.
    pub fn delta<'a>(&self, changes: impl Iterator<Item = &'a StateChange>) -> FleetUpdate {
        let mut update = FleetUpdate::default();
        for change in changes {
            match change {
                StateChange::Config { .. } => update.config = self.config_version(),
                StateChange::Weights { model, .. } => {
                    update.weights.retain(|target| target.model != *model);
                    update.weights.extend(self.targets(model));
                }
                StateChange::Membership(_) => update.membership = Some(self.membership.clone()),
                StateChange::Engine(engine) => {
                    update.engines.retain(|known| known.id != engine.id);
                    update.engines.extend(self.engines.get(&engine.id).cloned());
                }
                StateChange::Ring(_) => update.ring = self.ring.clone(),
                StateChange::RingRelay(_) => update.ring_relay = self.ring_relay.clone(),
                StateChange::Routers(_) => update.routers = self.routers,
            }
        }
        update
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
        self.append_locked(&mut self.log.lock(), change);
    }

    /// Changes the state by what no router has to be sent, so that nobody is woken.
    pub fn amend(&self, change: impl FnOnce(&mut ClusterState)) {
        self.log.lock().amend(change);
    }

    fn append_locked(&self, log: &mut ChangeLog<ClusterState>, change: StateChange) {
        let position = log.append(change);
        self.position.send_replace(position);
    }

    /// Reads the state. The lock is held meanwhile, so `read` must take no other one.
    pub fn read<T>(&self, read: impl FnOnce(&ClusterState) -> T) -> T {
        read(self.log.lock().view())
    }

    /// Moves with each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.position.subscribe()
    }

    /// Whether a router at `position` needs the complete state: it has nothing yet, or the changes since are no longer
    /// retained.
    pub fn needs_complete_state(&self, position: Option<u64>) -> bool {
        let log = self.log.lock();
        position.is_none_or(|position| position != log.head() && log.since(position).is_none())
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

#[cfg(test)]
#[path = "cluster_state_tests.rs"]
mod tests;
