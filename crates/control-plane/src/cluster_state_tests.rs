//! Tests of `cluster_state`.

use super::*;
use std::time::Duration;

fn weights(version: u64) -> StateChange {
    StateChange::Weights { model: "m".into(), version }
}

/// Versions and ages that an update tells of.
fn told(update: &FleetUpdate) -> Vec<(u64, u64)> {
    update.weights.iter().map(|target| (target.version, target.age_ms)).collect()
}

#[tokio::test(start_paused = true)]
async fn routers_are_sent_every_version_with_its_own_age() {
    let store = ClusterStateStore::new();
    store.append(weights(2));
    tokio::time::advance(Duration::from_millis(4400)).await;
    let (position, _) = store.update_since(None);
    store.append(weights(3));
    tokio::time::advance(Duration::from_millis(100)).await;
    let (_, complete) = store.update_since(None);
    let (_, delta) = store.update_since(Some(position));
    let expected = vec![(2, 4500), (3, 100)];
    assert_eq!(complete.map(|update| told(&update)), Some(expected.clone()));
    assert_eq!(delta.map(|update| told(&update)), Some(expected));
    assert_eq!(store.read(|state| state.target_version("m")), 3);
}
