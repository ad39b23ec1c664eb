use super::Departures;
use fleet_core::constants::DEPARTURE_RETENTION;
use fleet_core::wire::{Departure, DeparturesValue, Engine, EngineState};
use std::time::Duration;

fn departure(call_seq: u64, state: EngineState) -> Departure {
    Departure { engine: "e1".to_owned(), call_seq, state: state as i32, number: 1 }
}

fn engine(call_seq: u64, state: EngineState) -> Engine {
    let mut engine = Engine { id: "e1".to_owned(), call_seq, ..Default::default() };
    engine.set_state(state);
    engine
}

fn learned(call_seq: u64, state: EngineState) -> Departures {
    let mut departures = Departures::default();
    let value = DeparturesValue { last_number: 1, departures: vec![departure(call_seq, state)] };
    departures.learn(&value, |_| false);
    departures
}

/// Call number and state of an engine's update after the recorded departure was applied to it.
fn applied(departures: &mut Departures, call_seq: u64, state: EngineState) -> (u64, EngineState) {
    let mut update = engine(call_seq, state);
    departures.apply(&mut update);
    (update.call_seq, update.state())
}

#[test]
fn heartbeat_sent_before_a_recorded_drain_is_applied_as_draining() {
    use EngineState::{Draining, Ready};
    let mut departures = learned(7, Draining);
    assert_eq!(applied(&mut departures, 6, Ready), (7, Draining));
    assert_eq!(applied(&mut departures, 8, Draining), (8, Draining));
    assert_eq!(applied(&mut departures, 9, Ready), (9, Ready), "a later call ends the drain");
    assert!(!departures.is_leaving(&engine(10, Draining)), "the next drain needs a new record");
}

#[test]
fn recorded_deregistration_is_final() {
    use EngineState::{Deregistered, Draining, Ready};
    let mut departures = learned(1, Deregistered);
    for (call_seq, state) in [(0, Ready), (5, Ready), (6, Draining)] {
        assert_eq!(
            applied(&mut departures, call_seq, state).1,
            Deregistered,
            "{call_seq} {state:?}"
        );
    }
    assert!(departures.is_leaving(&engine(9, Deregistered)));
}

#[test]
fn continued_drain_needs_no_new_record_but_deregistration_does() {
    let departures = learned(7, EngineState::Draining);
    assert!(departures.is_leaving(&engine(8, EngineState::Draining)));
    assert!(!departures.is_leaving(&engine(9, EngineState::Deregistered)));
    assert!(!departures.is_recorded(&departure(8, EngineState::Draining)));
}

#[test]
fn drain_that_the_engine_has_ended_is_not_learned_again() {
    let mut departures = Departures::default();
    let record = departure(7, EngineState::Draining);
    let value = DeparturesValue { last_number: 1, departures: vec![record] };
    departures
        .learn(&value, |departure| super::is_resumed(&engine(8, EngineState::Ready), departure));
    assert!(!departures.is_leaving(&engine(9, EngineState::Draining)));
}

#[tokio::test(start_paused = true)]
async fn records_expire_once_they_have_been_known_for_the_retention_period() {
    let mut departures = Departures::default();
    let value = |last_number| DeparturesValue { last_number, departures: Vec::new() };
    departures.learn(&value(4), |_| false);
    tokio::time::advance(DEPARTURE_RETENTION).await;
    departures.learn(&value(4), |_| false);
    departures.learn(&value(6), |_| false);
    assert_eq!(departures.forget_through(), 0, "not yet longer than the retention period");
    tokio::time::advance(Duration::from_millis(1)).await;
    assert_eq!(departures.forget_through(), 4, "later records have not expired");
    tokio::time::advance(DEPARTURE_RETENTION).await;
    assert_eq!(departures.forget_through(), 6);
    assert_eq!(departures.forget_through(), 6, "the result does not decrease");
}
