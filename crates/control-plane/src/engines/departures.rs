//! Departures of engines that are known to be recorded by a majority, and their effect on the engines' state.
//!
//! The records survive a restart of all controllers, whereas the engines themselves are known only from heartbeats. A
//! heartbeat sent before its engine departed may arrive after such a restart. It must not make the engine ready again,
//! so the recorded departure takes precedence.

use crate::consensus::departure_records::covers;
use fleet_core::constants;
use fleet_core::wire::{Departure, DeparturesValue, Engine, EngineState};
use hashbrown::HashMap;
use std::collections::VecDeque;
use tokio::time::Instant;

/// Time at which this controller learned of all records up to a number.
#[derive(Debug)]
struct LearnedThrough {
    number: u64,
    learned_at: Instant,
}

/// Whether an engine has reported itself ready in a later call than the recorded drain.
pub fn is_resumed(engine: &Engine, departure: &Departure) -> bool {
    departure.state() == EngineState::Draining
        && engine.state() == EngineState::Ready
        && engine.call_seq > departure.call_seq
}

/// Departures of engines that are known to be recorded by a majority.
#[derive(Debug, Default)]
pub struct Departures {
    by_engine: HashMap<String, Departure>,
    /// Ordered by number; at most `DEPARTURES_CAPACITY` entries. While it is full, new records are not entered, and
    /// expire later.
    learned: VecDeque<LearnedThrough>,
    /// Records up to this number have been known for longer than `DEPARTURE_RETENTION`.
    expired_through: u64,
}

impl Departures {
    /// Replaces the known records by those of a majority, without those whose engine has resumed since.
    pub fn learn(&mut self, value: &DeparturesValue, is_resumed: impl Fn(&Departure) -> bool) {
        let kept = value.departures.iter().filter(|departure| !is_resumed(departure));
        self.by_engine =
            kept.map(|departure| (departure.engine.clone(), departure.clone())).collect();
        let known = self.learned.back().map_or(self.expired_through, |newest| newest.number);
        if value.last_number > known && self.learned.len() < constants::DEPARTURES_CAPACITY {
            self.learned.push_back(LearnedThrough {
                number: value.last_number,
                learned_at: Instant::now(),
            });
        }
    }

    /// Adds a departure that was just recorded. Its record number becomes known with the next call of `learn`.
    pub fn add(&mut self, departure: Departure) {
        self.by_engine.insert(departure.engine.clone(), departure);
    }

    /// Whether a departure is recorded, so that no call of its engine up to that one can revert it.
    pub fn is_recorded(&self, departure: &Departure) -> bool {
        let record = self.by_engine.get(&departure.engine);
        record.is_some_and(|record| covers(record, departure))
    }

    /// Whether this or a stronger departure of the engine is recorded, whichever call reported it first.
    pub fn is_leaving(&self, engine: &Engine) -> bool {
        let record = self.by_engine.get(&engine.id);
        record.is_some_and(|record| record.state >= engine.state)
    }

    /// Applies the recorded departure to an update that was sent before it. If the engine has reported itself ready in
    /// a later call, its record is dropped instead, unless it was deregistered.
    pub fn apply(&mut self, update: &mut Engine) {
        let Some(record) = self.by_engine.get(&update.id) else { return };
        let is_final = record.state() == EngineState::Deregistered;
        if is_final || update.call_seq <= record.call_seq {
            update.state = update.state.max(record.state);
            update.call_seq = update.call_seq.max(record.call_seq);
        } else if update.state() == EngineState::Ready {
            self.by_engine.remove(&update.id);
        }
    }

    /// The number up to which records have expired and may be deleted.
    pub fn forget_through(&mut self) -> u64 {
        let is_expired =
            |entry: &LearnedThrough| entry.learned_at.elapsed() > constants::DEPARTURE_RETENTION;
        while let Some(entry) = self.learned.pop_front_if(|entry| is_expired(entry)) {
            self.expired_through = entry.number;
        }
        self.expired_through
    }
}

#[cfg(test)]
#[path = "departures_tests.rs"]
mod tests;
