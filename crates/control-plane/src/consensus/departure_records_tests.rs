use super::{covers, record};
use fleet_core::constants::DEPARTURES_CAPACITY;
use fleet_core::wire::{Departure, DeparturesValue, EngineState, RecordDepartures};
use prost::Message;

fn departure(engine: &str, call_seq: u64, state: EngineState) -> Departure {
    Departure { engine: engine.to_owned(), call_seq, state: state as i32, number: 0 }
}

fn request(departures: Vec<Departure>, forget_through: u64) -> RecordDepartures {
    RecordDepartures { departures, forget_through }
}

fn summary(value: &DeparturesValue) -> Vec<(&str, u64, EngineState, u64)> {
    let records = value.departures.iter();
    records
        .map(|entry| (entry.engine.as_str(), entry.call_seq, entry.state(), entry.number))
        .collect()
}

#[test]
fn engine_has_one_record_with_its_highest_call_and_latest_state() {
    use EngineState::{Deregistered, Draining};
    let mut value = DeparturesValue::default();
    let both = vec![departure("a", 3, Draining), departure("b", 5, Draining)];
    assert!(record(&mut value, &request(both.clone(), 0)));
    assert!(!record(&mut value, &request(both, 0)), "no new departure");
    assert!(!record(&mut value, &request(vec![departure("a", 2, Draining)], 0)), "an earlier call");
    assert!(record(&mut value, &request(vec![departure("a", 2, Deregistered)], 0)));
    assert!(
        !record(&mut value, &request(vec![departure("a", 9, Draining)], 0)),
        "deregistration is final"
    );
    assert_eq!(summary(&value), [("b", 5, Draining, 2), ("a", 3, Deregistered, 3)]);
}

#[test]
fn expired_records_are_removed_only_with_the_next_change() {
    let mut value = DeparturesValue::default();
    let draining = |engine| departure(engine, 1, EngineState::Draining);
    for engine in ["a", "b", "c"] {
        assert!(record(&mut value, &request(vec![draining(engine)], 0)));
    }
    assert!(!record(&mut value, &request(vec![draining("c")], 2)));
    assert_eq!(value.departures.len(), 3, "expiry alone is no change");
    assert!(record(&mut value, &request(vec![draining("d")], 2)));
    assert_eq!(summary(&value).iter().map(|entry| entry.0).collect::<Vec<_>>(), ["c", "d"]);
}

#[test]
fn number_of_records_is_bounded_and_the_oldest_are_removed_first() {
    let mut value = DeparturesValue::default();
    for number in 0..DEPARTURES_CAPACITY + 3 {
        let engine = format!("i-{number:08x}");
        let draining = departure(&engine, 1 << 20, EngineState::Draining);
        assert!(record(&mut value, &request(vec![draining], 0)));
    }
    assert_eq!(value.departures.len(), DEPARTURES_CAPACITY);
    assert_eq!(value.departures[0].engine, "i-00000003");
    let bytes = value.encoded_len() / DEPARTURES_CAPACITY;
    println!("{} bytes in total, {bytes} per record", value.encoded_len());
    assert!(bytes <= 26, "{bytes} bytes per record");
}

#[test]
fn drain_record_covers_neither_a_later_call_nor_deregistration() {
    let existing = departure("a", 4, EngineState::Draining);
    assert!(covers(&existing, &departure("a", 4, EngineState::Draining)));
    assert!(!covers(&existing, &departure("a", 5, EngineState::Draining)));
    assert!(!covers(&existing, &departure("a", 4, EngineState::Deregistered)));
}
