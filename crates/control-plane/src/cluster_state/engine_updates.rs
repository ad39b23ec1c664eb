//! Changes of what is known of an engine.
//!
//! Each is one step under the lock of the store: an engine that was read, changed and written back in two steps could undo
//! a drain that came meanwhile.

use super::{ClusterState, ClusterStateStore, StateChange};
use crate::engines::departures::{self, Departures};
use fleet_core::wire::{DeparturesValue, Engine};

/// What an update made of an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MergedEngine {
    /// The engine as it is known now.
    pub engine: Engine,
    /// Whether the update was of a later call than any before.
    pub is_newer: bool,
    /// Whether it changed more than the number of the call.
    pub is_changed: bool,
}

impl ClusterStateStore {
    /// Merges an update of an engine into what is known of it, in one step.
    pub fn merge_engine(&self, mut update: Engine) -> MergedEngine {
        let mut log = self.log.lock();
        log.amend(|state| state.departures.apply(&mut update));
        let current = log.view().engines.get(&update.id).cloned();
        let is_newer = current.as_ref().is_none_or(|engine| update.call > engine.call);
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
            // Routers need no update for a call number alone.
            log.amend(|state| {
                state.engines.insert(engine.id.clone(), engine.clone());
            });
        }
        MergedEngine { engine, is_newer, is_changed }
    }

    /// Changes what is known of an engine, in one step, so that nothing that comes meanwhile is undone; the engine then, none
    /// where it is unknown.
    pub fn change_engine(&self, id: &str, change: impl FnOnce(&mut Engine)) -> Option<Engine> {
        let mut log = self.log.lock();
        let mut engine = log.view().engines.get(id).cloned()?;
        change(&mut engine);
        self.append_locked(&mut log, StateChange::Engine(engine.clone()));
        Some(engine)
    }

    /// Takes in the departures that a majority holds, and what follows for the engines that are known.
    pub fn learn_departures(&self, value: &DeparturesValue) {
        let mut log = self.log.lock();
        log.amend(|state| {
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
            log.amend(|state| state.departures.apply(&mut engine));
            if engine.state != before {
                self.append_locked(&mut log, StateChange::Engine(engine));
            }
        }
    }

    /// Reads or changes what is known of departures.
    pub fn with_departures<T>(&self, use_departures: impl FnOnce(&mut Departures) -> T) -> T {
        self.log.lock().amend(|state| use_departures(&mut state.departures))
    }
}
