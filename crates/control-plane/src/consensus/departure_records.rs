//! The records of departures that the key `departures` holds: what a request adds, and what is forgotten.
//!
//! There is one record for each engine, the oldest first. A record goes once a controller has known it for
//! `DEPARTURE_RETENTION`, or when there are more than `DEPARTURES_CAPACITY`, in both cases with the next change.

use fleet_core::constants;
use fleet_core::wire::{Departure, DeparturesValue, EngineState, RecordDepartures};

/// Adds what is new in a request, and forgets what is old; false if nothing is new.
pub fn record(value: &mut DeparturesValue, request: &RecordDepartures) -> bool {
    let recorded_before = value.recorded;
    for departure in &request.departures {
        add(value, departure);
    }
    if value.recorded == recorded_before {
        return false;
    }
    value.departures.retain(|kept| kept.number > request.forget_through);
    let surplus = value.departures.len().saturating_sub(constants::DEPARTURES_CAPACITY);
    value.departures.drain(..surplus);
    true
}

fn add(value: &mut DeparturesValue, departure: &Departure) {
    let known = value.departures.iter().position(|kept| kept.engine == departure.engine);
    let mut newest = departure.clone();
    if let Some(index) = known {
        if covers(&value.departures[index], departure) {
            return;
        }
        let replaced = value.departures.remove(index);
        newest.call = newest.call.max(replaced.call);
        newest.state = newest.state.max(replaced.state);
    }
    value.recorded += 1;
    newest.number = value.recorded;
    value.departures.push(newest);
}

/// Whether a record already says all that a departure does. Deregistration is final.
pub fn covers(record: &Departure, departure: &Departure) -> bool {
    record.state() == EngineState::Deregistered
        || (record.state >= departure.state && record.call >= departure.call)
}

#[cfg(test)]
#[path = "departure_records_tests.rs"]
mod tests;
