//! A controller's view of the cluster: built from a log of changes, and pushed to routers as updates.
//!
//! None of it is stored on disk. The configuration, the target weights, the membership and the engines' departures are
//! learned from the replicated registers, the engines from their heartbeats, and the invalidation ring from the index
//! owner.

mod engine_updates;

pub use engine_updates::MergedEngine;

use crate::engines::departures::Departures;
use fleet_core::change_log::{ChangeLog, Projection};
use fleet_core::target_versions::TargetVersions;
use fleet_core::wire::{Engine, FleetUpdate, Membership, RingHead, TargetWeights};
use std::collections::BTreeMap;
use tokio::sync::watch;
use tokio::time::Instant;

/// Number of changes retained for routers that lag behind. A fleet produces more than this per second only while it
/// starts.
const CHANGES_RETAINED: usize = 512;

/// A change to the cluster state that routers may need to be sent.
#[derive(Debug, Clone)]
pub enum StateChange {
    /// A configuration was chosen.
    Config {
        /// Version of the configuration.
        version: u64,
        /// Generation of the prompt-cache isolation that all tenants share that have none of their own.
        isolation: u64,
    },
    /// A new target version was set for a model's weights.
    Weights {
        /// Name of the model.
        model: String,
        /// Target version that engines are to load.
        version: u64,
    },
    /// A new membership took effect.
    Membership(Membership),
    /// An engine was discovered, or its state changed.
    Engine(Engine),
    /// The head of the invalidation ring advanced.
    Ring(RingHead),
    /// This controller relays the ring up to this head.
    RingRelay(RingHead),
    /// The number of live routers changed.
    Routers(u32),
}

/// The newest configuration known to be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfigInForce {
    /// Version of the configuration.
    pub version: u64,
    /// Generation of the prompt-cache isolation that all tenants share that have none of their own.
    pub isolation: u64,
}

/// The cluster as this controller knows it, built by applying changes in order.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The configuration in force; `None` until the first one is learned.
    pub config: Option<ConfigInForce>,
    /// Target versions by model, each with the time at which this controller learned of it.
    pub weights: BTreeMap<String, TargetVersions>,
    /// The membership in force.
    pub membership: Membership,
    /// Engines by ID. An engine whose departure is recorded is never listed as ready.
    pub engines: BTreeMap<String, Engine>,
    /// Departures of engines that are known to be recorded by a majority.
    pub departures: Departures,
    /// Head of the invalidation ring; `None` until the index owner has announced one.
    pub ring: Option<RingHead>,
    /// Head of the copy of the ring that this controller relays; `None` if it relays none.
    pub ring_relay: Option<RingHead>,
    /// Number of live routers.
    pub routers: u32,
}

impl Projection for ClusterState {
    type Event = StateChange;
    fn apply(&mut self, change: &StateChange) {
        match change {
            StateChange::Config { version, isolation } => {
                self.config = Some(ConfigInForce { version: *version, isolation: *isolation });
            }
            StateChange::Weights { model, version } => {
                self.weights.entry(model.clone()).or_default().record(*version, Instant::now());
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
    /// Version of the configuration in force; 0 if none is known.
    pub fn config_version(&self) -> u64 {
        self.config.map_or(0, |config| config.version)
    }

    /// Target versions that engines of a model may still have to load, oldest first. The time limit of each is counted
    /// from its own age.
    fn targets<'a>(&'a self, model: &'a str) -> impl Iterator<Item = TargetWeights> + 'a {
        let versions = self.weights.get(model).map_or(&[][..], TargetVersions::all);
        versions.iter().map(|target| TargetWeights {
            model: model.to_owned(),
            version: target.version,
            age_ms: target.since.elapsed().as_millis() as u64,
        })
    }

    /// The newest target version of a model's weights; 0 if none was set.
    pub fn target_version(&self, model: &str) -> u64 {
        let newest = self.weights.get(model).and_then(TargetVersions::newest);
        newest.map_or(0, |target| target.version)
    }

    /// An update with the complete state, for a router that has none.
    pub fn full_update(&self) -> FleetUpdate {
        FleetUpdate {
            membership: Some(self.membership.clone()),
            config: self.config_version(),
            weights: self.weights.keys().flat_map(|model| self.targets(model)).collect(),
            engines: self.engines.values().cloned().collect(),
            ring: self.ring.clone(),
            routers: self.routers,
            catch_up: false,
            ring_relay: self.ring_relay.clone(),
        }
    }

    /// An update with the current state of everything that the given changes touched.
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

/// The cluster state of one controller together with its most recent changes.
pub struct ClusterStateStore {
    log: parking_lot::Mutex<ChangeLog<ClusterState>>,
    /// Number of changes appended so far.
    position: watch::Sender<u64>,
}

impl ClusterStateStore {
    /// Creates a store with an empty state and no changes.
    pub fn new() -> ClusterStateStore {
        let log = ChangeLog::new(ClusterState::default(), CHANGES_RETAINED);
        ClusterStateStore { log: parking_lot::Mutex::new(log), position: watch::channel(0).0 }
    }

    /// Applies a change and notifies the subscribers.
    pub fn append(&self, change: StateChange) {
        self.append_locked(&mut self.log.lock(), change);
    }

    /// Modifies the state without recording a change: subscribers are not notified, and routers are sent nothing.
    pub fn update_silently(&self, change: impl FnOnce(&mut ClusterState)) {
        self.log.lock().update_silently(change);
    }

    fn append_locked(&self, log: &mut ChangeLog<ClusterState>, change: StateChange) {
        let position = log.append(change);
        self.position.send_replace(position);
    }

    /// Reads the state. The lock is held while `read` runs, so `read` must not take another lock.
    pub fn read<T>(&self, read: impl FnOnce(&ClusterState) -> T) -> T {
        read(self.log.lock().view())
    }

    /// A receiver of the current position, which advances with every change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.position.subscribe()
    }

    /// Whether a router at `position` needs the complete state, because it has none or because the changes since then
    /// are no longer retained.
    pub fn needs_complete_state(&self, position: Option<u64>) -> bool {
        let log = self.log.lock();
        position.is_none_or(|position| position != log.head() && log.since(position).is_none())
    }

    /// The current position and an update with everything that changed since `position`. The update is `None` if
    /// nothing changed, and holds the complete state if the changes since then are no longer retained.
    pub fn update_since(&self, position: Option<u64>) -> (u64, Option<FleetUpdate>) {
        let log = self.log.lock();
        let head = log.head();
        let update = match position {
            Some(position) if position == head => None,
            Some(position) => Some(
                log.since(position)
                    .map_or_else(|| log.view().full_update(), |changes| log.view().delta(changes)),
            ),
            None => Some(log.view().full_update()),
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
