//! Acknowledged changes survive the loss of all memory, a wiped disk, and the replacement of all voters.

use super::{Cluster, assert_config_at, replace};
use bytes::Bytes;
use control_plane::Controller;
use control_plane::service::{instances, weights};
use fleet_core::wire::EngineState;
use std::sync::Arc;
use std::time::Duration;

/// Sequence number of the call that ends an engine.
const DEPARTURE_CALL_SEQ: u64 = 20;
/// Ids of two engines: one starts draining, one is deregistered.
const DRAINED: &str = "drained";
const DEREGISTERED: &str = "deregistered";

fn heartbeat(state: &str, call_seq: u64) -> Bytes {
    let body = serde_json::json!({"service": "s", "address": "10.0.1.1:80", "state": state, "callSeq": call_seq});
    body.to_string().into()
}

/// Makes one change of each kind that a controller acknowledges: the configuration, the target version of a model,
/// and the departures of both engines after they were ready.
async fn make_acknowledged_changes(cluster: &Cluster) {
    replace(cluster, 1, 0, 7).await;
    let set_target = |controller: Arc<Controller>| async move {
        let target = serde_json::json!({"model": "m", "revision": 3}).to_string();
        weights::put(controller.consensus(), target.into()).await
    };
    cluster.retry_until_ok(2, set_target).await;
    for engine in [DRAINED, DEREGISTERED] {
        send_heartbeat(cluster, 1, engine, "ready", 10).await;
    }
    let drain = |controller: Arc<Controller>| async move {
        let body = heartbeat("draining", DEPARTURE_CALL_SEQ);
        instances::heartbeat(controller.registry(), DRAINED.into(), body).await
    };
    cluster.retry_until_ok(1, drain).await;
    let deregister = |controller: Arc<Controller>| async move {
        let body = Bytes::from(format!("{{\"callSeq\":{DEPARTURE_CALL_SEQ}}}"));
        instances::deregister(controller.registry(), DEREGISTERED.into(), body).await
    };
    cluster.retry_until_ok(2, deregister).await;
}

async fn send_heartbeat(cluster: &Cluster, node: usize, engine: &str, state: &str, call_seq: u64) {
    let send = |controller: Arc<Controller>| async move {
        instances::heartbeat(controller.registry(), engine.into(), heartbeat(state, call_seq)).await
    };
    cluster.retry_until_ok(node, send).await;
}

fn state_of(cluster: &Cluster, node: usize, engine: &str) -> Option<EngineState> {
    let controller = cluster.controller(node);
    controller.cluster_state().read(|state| state.engines.get(engine).map(|e| e.state()))
}

/// Sends late heartbeats from before the departures to each of these nodes, and asserts that they undo no acknowledged
/// change.
async fn assert_changes_survived(cluster: &Cluster, nodes: &[usize]) {
    assert_config_at(cluster, nodes, 7).await;
    for (node, call_seq) in nodes.iter().zip(DEPARTURE_CALL_SEQ - 5..) {
        for engine in [DRAINED, DEREGISTERED] {
            send_heartbeat(cluster, *node, engine, "ready", call_seq).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for node in nodes {
        assert_eq!(state_of(cluster, *node, DRAINED), Some(EngineState::Draining), "n{node}");
        let deregistered = state_of(cluster, *node, DEREGISTERED);
        assert_eq!(deregistered, Some(EngineState::Deregistered), "n{node}");
        let target = cluster.controller(*node).cluster_state().read(|s| s.target_version("m"));
        assert_eq!(target, 3, "n{node}");
    }
}

async fn cluster_with_changes(seed: u64) -> Cluster {
    let cluster = Cluster::bootstrap(3, seed).await;
    make_acknowledged_changes(&cluster).await;
    cluster
}

/// Guards against acknowledged departures that are kept only in memory.
#[tokio::test(start_paused = true)]
async fn acknowledged_changes_survive_a_crash_of_all_nodes() {
    let mut cluster = cluster_with_changes(71).await;
    (1..=3).for_each(|node| cluster.crash(node));
    for node in 1..=3 {
        cluster.start(node).await;
    }
    assert_changes_survived(&cluster, &[1, 2, 3]).await;
}

/// All nodes crash, and the maximum tolerated number of disks is lost.
#[tokio::test(start_paused = true)]
async fn acknowledged_changes_survive_a_crash_of_all_nodes_with_one_disk_wiped() {
    for wiped in 1..=3 {
        let mut cluster = cluster_with_changes(72).await;
        (1..=3).for_each(|node| cluster.crash(node));
        for node in 1..=3 {
            if node == wiped {
                cluster.start_empty(node).await;
            } else {
                cluster.start(node).await;
            }
        }
        assert_changes_survived(&cluster, &[1, 2, 3]).await;
    }
}

/// All voters that stored the changes are replaced, and then all nodes crash.
#[tokio::test(start_paused = true)]
async fn acknowledged_changes_survive_the_replacement_of_every_voter() {
    let mut cluster = cluster_with_changes(73).await;
    // Node 1 is the last of the seeds. Its successor starts while it still runs and has to find the others through it.
    for (lost, successor) in [(2, 4), (3, 5), (1, 6)] {
        cluster.start_empty(successor).await;
        cluster.wait_until_settled().await;
        cluster.crash(lost);
        cluster.wait_until_settled().await;
    }
    assert_eq!(cluster.members(4), [4, 5, 6]);
    (4..=6).for_each(|node| cluster.crash(node));
    for node in 4..=6 {
        cluster.start(node).await;
    }
    assert_changes_survived(&cluster, &[4, 5, 6]).await;
}

/// A controller restarts after departures that it has missed.
#[tokio::test(start_paused = true)]
async fn restarted_controller_receives_the_departures_that_it_missed() {
    let mut cluster = Cluster::bootstrap(3, 74).await;
    cluster.wait_until_settled().await;
    cluster.crash(3);
    make_acknowledged_changes(&cluster).await;
    cluster.start(3).await;
    assert_changes_survived(&cluster, &[3]).await;
}

/// A majority that has a departure only in memory would lose it in a crash.
#[tokio::test(start_paused = true)]
async fn departure_that_no_majority_can_store_is_not_acknowledged() {
    let cluster = Cluster::bootstrap(3, 75).await;
    cluster.wait_until_settled().await;
    send_heartbeat(&cluster, 1, DRAINED, "ready", 10).await;
    cluster.stop_disk(2);
    cluster.stop_disk(3);
    let body = heartbeat("draining", DEPARTURE_CALL_SEQ);
    let registry = cluster.controller(1).registry();
    let answer = instances::heartbeat(registry, DRAINED.into(), body).await;
    assert_eq!(answer.unwrap_err().status, http::StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        state_of(&cluster, 1, DRAINED),
        Some(EngineState::Draining),
        "the node that received it applies it"
    );
}
