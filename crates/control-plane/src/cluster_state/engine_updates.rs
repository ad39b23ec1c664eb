//! Updates of single engines in the cluster state.
//!
//! Each update reads, modifies and writes the engine under one acquisition of the store's lock. Otherwise the write
//! could revert a drain that was recorded between the read and the write.

use super::{ClusterState, ClusterStateStore, StateChange};
use crate::engines::departures::{self, Departures};
use fleet_core::wire::{DeparturesValue, Engine};

/// Result of merging an update into the known state of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergedEngine {
    /// The engine after the merge.
    pub engine: Engine,
    /// Whether the update has a higher call number than any before it.
    pub is_newer: bool,
    /// Whether the update changed anything besides the call number.
    pub is_changed: bool,
}

impl ClusterStateStore {
    /// Atomically merges an update into the known state of an engine.
    pub fn merge_engine(&self, mut update: Engine) -> MergedEngine {
        let mut log = self.log.lock();
        log.update_silently(|state| state.departures.apply(&mut update));
        let current = log.view().engines.get(&update.id).cloned();
        let is_newer = current.as_ref().is_none_or(|engine| update.call_seq > engine.call_seq);
        let (engine, is_changed) = match current {
            None => (update, true),
            Some(mut engine) => {
                let is_changed = fleet_core::fleet::merge(&mut engine, &update);
                (engine, is_changed)
            }
        };
        if is_changed {
            self.append_locked(&mut log, StateChange::Engine(engine.clone()));
        } else if is_newer {
            // A new call number alone need not be pushed to routers.
            log.update_silently(|state| {
                state.engines.insert(engine.id.clone(), engine.clone());
            });
        }
        MergedEngine { engine, is_newer, is_changed }
    }

    /// Atomically modifies the known state of an engine, so that no concurrent update is lost. Returns the engine after
    /// the change, or `None` if it is unknown.
    pub fn change_engine(&self, id: &str, change: impl FnOnce(&mut Engine)) -> Option<Engine> {
        let mut log = self.log.lock();
        let mut engine = log.view().engines.get(id).cloned()?;
        change(&mut engine);
        self.append_locked(&mut log, StateChange::Engine(engine.clone()));
        Some(engine)
    }

    /// Replaces the known departures by those that a majority has recorded, and updates the engines concerned.
    pub fn learn_departures(&self, value: &DeparturesValue) {
        let mut log = self.log.lock();
        log.update_silently(|state| {
            let ClusterState { engines, departures, .. } = state;
            departures.learn(value, |departure| {
                let engine = engines.get(&departure.engine);
                engine.is_some_and(|engine| departures::is_resumed(engine, departure))
            });
        });
        for departure in &value.departures {
            let known = log.view().engines.get(&departure.engine).cloned();
            let Some(mut engine) = known else { continue };
            let before = engine.state;
            log.update_silently(|state| state.departures.apply(&mut engine));
            if engine.state != before {
                self.append_locked(&mut log, StateChange::Engine(engine));
            }
        }
    }

    /// Gives `use_departures` exclusive access to the known departures; subscribers are not notified.
    pub fn with_departures<T>(&self, use_departures: impl FnOnce(&mut Departures) -> T) -> T {
        self.log.lock().update_silently(|state| use_departures(&mut state.departures))
    }
}
