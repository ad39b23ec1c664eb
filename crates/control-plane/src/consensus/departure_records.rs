//! Records of departed engines in the value of the key `departures`: adding and expiring them.
//!
//! There is one record per engine, the oldest first. A record is removed once a controller has known it for
//! `DEPARTURE_RETENTION`, or when there are more than `DEPARTURES_CAPACITY`; both happen only with the next change.

use fleet_core::constants;
use fleet_core::wire::{Departure, DeparturesValue, EngineState, RecordDepartures};

/// Adds the new departures of a request and removes expired records. Returns false, and changes nothing, if the request
/// contains nothing new.
pub fn record(value: &mut DeparturesValue, request: &RecordDepartures) -> bool {
    let recorded_before = value.last_number;
    for departure in &request.departures {
        add(value, departure);
    }
    if value.last_number == recorded_before {
        return false;
    }
    value.departures.retain(|existing| existing.number > request.forget_through);
    let excess = value.departures.len().saturating_sub(constants::DEPARTURES_CAPACITY);
    value.departures.drain(..excess);
    true
}

fn add(value: &mut DeparturesValue, departure: &Departure) {
    let known = value.departures.iter().position(|existing| existing.engine == departure.engine);
    let mut newest = departure.clone();
    if let Some(index) = known {
        if covers(&value.departures[index], departure) {
            return;
        }
        let replaced = value.departures.remove(index);
        newest.call_seq = newest.call_seq.max(replaced.call_seq);
        newest.state = newest.state.max(replaced.state);
    }
    value.last_number += 1;
    newest.number = value.last_number;
    value.departures.push(newest);
}

/// Whether a record already covers a departure: its state and call number are at least as high. Deregistration is final
/// and covers every departure.
pub fn covers(record: &Departure, departure: &Departure) -> bool {
    record.state() == EngineState::Deregistered
        || (record.state >= departure.state && record.call_seq >= departure.call_seq)
}

#[cfg(test)]
#[path = "departure_records_tests.rs"]
mod tests;
