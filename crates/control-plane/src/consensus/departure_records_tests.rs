use super::{covers, record};
use fleet_core::constants::DEPARTURES_CAPACITY;
use fleet_core::wire::{Departure, DeparturesValue, EngineState, RecordDepartures};
use prost::Message;

fn departure(engine: &str, call: u64, state: EngineState) -> Departure {
    Departure { engine: engine.to_owned(), call, state: state as i32, number: 0 }
}

fn request(departures: Vec<Departure>, forget_through: u64) -> RecordDepartures {
    RecordDepartures { departures, forget_through }
}

fn summary(value: &DeparturesValue) -> Vec<(&str, u64, EngineState, u64)> {
    let records = value.departures.iter();
    records.map(|kept| (kept.engine.as_str(), kept.call, kept.state(), kept.number)).collect()
}

#[test]
fn an_engine_has_one_record_with_its_highest_call_and_its_last_state() {
    use EngineState::{Deregistered, Draining};
    let mut value = DeparturesValue::default();
    let both = vec![departure("a", 3, Draining), departure("b", 5, Draining)];
    assert!(record(&mut value, &request(both.clone(), 0)));
    assert!(!record(&mut value, &request(both, 0)), "nothing is new");
    assert!(!record(&mut value, &request(vec![departure("a", 2, Draining)], 0)), "an earlier call");
    assert!(record(&mut value, &request(vec![departure("a", 2, Deregistered)], 0)));
    assert!(!record(&mut value, &request(vec![departure("a", 9, Draining)], 0)), "it is final");
    assert_eq!(summary(&value), [("b", 5, Draining, 2), ("a", 3, Deregistered, 3)]);
}

#[test]
fn what_is_known_for_long_is_forgotten_with_the_next_change_alone() {
    let mut value = DeparturesValue::default();
    let draining = |engine| departure(engine, 1, EngineState::Draining);
    for engine in ["a", "b", "c"] {
        assert!(record(&mut value, &request(vec![draining(engine)], 0)));
    }
    assert!(!record(&mut value, &request(vec![draining("c")], 2)));
    assert_eq!(value.departures.len(), 3, "no change for forgetting alone");
    assert!(record(&mut value, &request(vec![draining("d")], 2)));
    assert_eq!(summary(&value).iter().map(|kept| kept.0).collect::<Vec<_>>(), ["c", "d"]);
}

#[test]
fn the_records_are_bounded_and_the_oldest_go_first() {
    let mut value = DeparturesValue::default();
    for number in 0..DEPARTURES_CAPACITY + 3 {
        let engine = format!("i-{number:08x}");
        let draining = departure(&engine, 1 << 20, EngineState::Draining);
        assert!(record(&mut value, &request(vec![draining], 0)));
    }
    assert_eq!(value.departures.len(), DEPARTURES_CAPACITY);
    assert_eq!(value.departures[0].engine, "i-00000003");
    let bytes = value.encoded_len() / DEPARTURES_CAPACITY;
    println!("{} bytes in all, {bytes} each", value.encoded_len());
    assert!(bytes <= 26, "{bytes} bytes for a record");
}

#[test]
fn a_record_of_a_drain_does_not_cover_a_later_call_nor_the_deregistration() {
    let kept = departure("a", 4, EngineState::Draining);
    assert!(covers(&kept, &departure("a", 4, EngineState::Draining)));
    assert!(!covers(&kept, &departure("a", 5, EngineState::Draining)));
    assert!(!covers(&kept, &departure("a", 4, EngineState::Deregistered)));
}
