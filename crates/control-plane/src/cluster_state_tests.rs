//! Tests of `cluster_state`: updates for routers, and engine states and departures that are learned out of order.

use super::*;
use fleet_core::wire::{Departure, DeparturesValue, EngineState};
use std::time::Duration;

fn weights(version: u64) -> StateChange {
    StateChange::Weights { model: "m".into(), version }
}

/// Target versions in an update, with their ages in milliseconds.
fn target_ages(update: &FleetUpdate) -> Vec<(u64, u64)> {
    update.weights.iter().map(|target| (target.version, target.age_ms)).collect()
}

#[tokio::test(start_paused = true)]
async fn updates_contain_every_target_version_with_its_own_age() {
    let store = ClusterStateStore::new();
    store.append(weights(2));
    tokio::time::advance(Duration::from_millis(4400)).await;
    let (position, _) = store.update_since(None);
    store.append(weights(3));
    tokio::time::advance(Duration::from_millis(100)).await;
    let (_, complete) = store.update_since(None);
    let (_, delta) = store.update_since(Some(position));
    let expected = vec![(2, 4500), (3, 100)];
    assert_eq!(complete.map(|update| target_ages(&update)), Some(expected.clone()));
    assert_eq!(delta.map(|update| target_ages(&update)), Some(expected));
    assert_eq!(store.read(|state| state.target_version("m")), 3);
}

fn engine(call_seq: u64, state: EngineState) -> Engine {
    let mut engine = Engine { id: "e1".into(), call_seq, ..Default::default() };
    engine.set_state(state);
    engine
}

fn drain_recorded_at_call(call_seq: u64) -> DeparturesValue {
    let state = EngineState::Draining as i32;
    let departure = Departure { engine: "e1".into(), call_seq, state, number: 1 };
    DeparturesValue { last_number: 1, departures: vec![departure] }
}

/// Routers accept an engine's state only with a higher call number, so a correction under the same call number would
/// not reach them.
#[test]
fn departure_learned_late_also_corrects_the_engine_at_routers() {
    let store = ClusterStateStore::new();
    let ready_before_drain = engine(6, EngineState::Ready);
    store.merge_engine(ready_before_drain.clone());
    let (position, _) = store.update_since(None);
    store.learn_departures(&drain_recorded_at_call(7));
    let (_, update) = store.update_since(Some(position));
    let corrected = update.unwrap().engines.remove(0);
    let mut at_router = ready_before_drain;
    assert!(fleet_core::fleet::merge(&mut at_router, &corrected));
    assert_eq!(at_router.state(), EngineState::Draining);
}

#[test]
fn changing_an_engine_does_not_revert_a_concurrent_update() {
    let store = ClusterStateStore::new();
    store.merge_engine(engine(6, EngineState::Ready));
    store.merge_engine(engine(7, EngineState::Draining));
    let changed = store.change_engine("e1", |engine| engine.heartbeat_missed = true);
    assert_eq!(
        changed.map(|engine| (engine.call_seq, engine.state())),
        Some((7, EngineState::Draining))
    );
    assert_eq!(store.change_engine("unknown", |_| ()), None);
}

#[test]
fn recorded_drain_does_not_override_a_later_ready_call() {
    let store = ClusterStateStore::new();
    store.merge_engine(engine(8, EngineState::Ready));
    store.learn_departures(&drain_recorded_at_call(7));
    assert_eq!(
        store.merge_engine(engine(9, EngineState::Ready)).engine.state(),
        EngineState::Ready
    );
}
