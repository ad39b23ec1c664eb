//! The departures of engines that are known to be recorded by a majority, and what follows from them.
//!
//! The records outlive every controller; the engines themselves are known from heartbeats alone. A heartbeat that
//! was sent before its engine left may come after all controllers have been started anew: it is taken for what the
//! record says.

use crate::consensus::departure_records::covers;
use fleet_core::constants;
use fleet_core::wire::{Departure, DeparturesValue, Engine, EngineState};
use hashbrown::HashMap;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Records up to a number, and when this controller learned of them.
#[derive(Debug)]
struct Learned {
    through: u64,
    at: Instant,
}

/// Whether an engine has said by a later call than a drain's that it is ready.
pub fn is_resumed(engine: &Engine, departure: &Departure) -> bool {
    departure.state() == EngineState::Draining
        && engine.state() == EngineState::Ready
        && engine.call > departure.call
}

/// Recorded departures by engine.
#[derive(Debug, Default)]
pub struct Departures {
    by_engine: HashMap<String, Departure>,
    /// With rising numbers; at most `DEPARTURES_CAPACITY`, beyond which records become old later.
    learned: VecDeque<Learned>,
    /// Records with this number or a lower one have been known for `DEPARTURE_RETENTION`.
    old_through: u64,
}

impl Departures {
    /// Takes in what a majority holds. A record that an engine has contradicted since by a later call is left out.
    pub fn learn(&mut self, value: &DeparturesValue, is_resumed: impl Fn(&Departure) -> bool) {
        let kept = value.departures.iter().filter(|departure| !is_resumed(departure));
        self.by_engine =
            kept.map(|departure| (departure.engine.clone(), departure.clone())).collect();
        let known = self.learned.back().map_or(self.old_through, |newest| newest.through);
        if value.recorded > known && self.learned.len() < constants::DEPARTURES_CAPACITY {
            self.learned.push_back(Learned { through: value.recorded, at: Instant::now() });
        }
    }

    /// Takes in a departure that was recorded just now; its number comes with the next value.
    pub fn add(&mut self, departure: Departure) {
        self.by_engine.insert(departure.engine.clone(), departure);
    }

    /// Whether a departure is recorded: no call of its engine up to that one can undo it.
    pub fn is_recorded(&self, departure: &Departure) -> bool {
        let record = self.by_engine.get(&departure.engine);
        record.is_some_and(|record| covers(record, departure))
    }

    /// Whether an engine is known to leave in this way, whichever call said so first.
    pub fn is_leaving(&self, engine: &Engine) -> bool {
        let record = self.by_engine.get(&engine.id);
        record.is_some_and(|record| record.state >= engine.state)
    }

    /// Makes of an update from before a departure what it would be after it. An engine that says by a later call that
    /// it is ready does not leave any more, unless it was deregistered.
    pub fn apply(&mut self, update: &mut Engine) {
        let Some(record) = self.by_engine.get(&update.id) else { return };
        let is_final = record.state() == EngineState::Deregistered;
        if is_final || update.call <= record.call {
            update.state = update.state.max(record.state);
            update.call = update.call.max(record.call);
        } else if update.state() == EngineState::Ready {
            self.by_engine.remove(&update.id);
        }
    }

    /// The records that may be forgotten, up to this number.
    pub fn forget_through(&mut self) -> u64 {
        let is_old = |learned: &Learned| learned.at.elapsed() > constants::DEPARTURE_RETENTION;
        while let Some(learned) = self.learned.pop_front_if(|learned| is_old(learned)) {
            self.old_through = learned.through;
        }
        self.old_through
    }
}

#[cfg(test)]
#[path = "departures_tests.rs"]
mod tests;
