//! What a controller acknowledges outlives every memory: the death of all, a wiped disk, replaced voters.

use super::{Cluster, read_everywhere, replace};
use bytes::Bytes;
use control_plane::Controller;
use control_plane::service::{instances, weights};
use fleet_core::wire::EngineState;
use std::sync::Arc;
use std::time::Duration;

/// Number of the call by which an engine leaves.
const DEPARTURE: u64 = 20;
/// Engines that leave: one drains, one is deregistered.
const DRAINED: &str = "drained";
const DEREGISTERED: &str = "deregistered";

fn heartbeat(state: &str, call: u64) -> Bytes {
    let body = serde_json::json!({"service": "s", "address": "10.0.1.1:80", "state": state, "callSeq": call});
    body.to_string().into()
}

/// Both engines are ready, and leave; all that a controller acknowledges is acknowledged once.
async fn acknowledge_everything(cluster: &Cluster) {
    replace(cluster, 1, 0, 7).await;
    let name = |controller: Arc<Controller>| async move {
        let target = serde_json::json!({"model": "m", "revision": 3}).to_string();
        weights::put(controller.consensus(), target.into()).await
    };
    cluster.retry_until_ok(2, name).await;
    for engine in [DRAINED, DEREGISTERED] {
        send_heartbeat(cluster, 1, engine, "ready", 10).await;
    }
    let drain = |controller: Arc<Controller>| async move {
        let body = heartbeat("draining", DEPARTURE);
        instances::heartbeat(controller.registry(), DRAINED.into(), body).await
    };
    cluster.retry_until_ok(1, drain).await;
    let deregister = |controller: Arc<Controller>| async move {
        let body = Bytes::from(format!("{{\"callSeq\":{DEPARTURE}}}"));
        instances::deregister(controller.registry(), DEREGISTERED.into(), body).await
    };
    cluster.retry_until_ok(2, deregister).await;
}

async fn send_heartbeat(cluster: &Cluster, node: usize, engine: &str, state: &str, call: u64) {
    let beat = |controller: Arc<Controller>| async move {
        instances::heartbeat(controller.registry(), engine.into(), heartbeat(state, call)).await
    };
    cluster.retry_until_ok(node, beat).await;
}

fn state_of(cluster: &Cluster, node: usize, engine: &str) -> Option<EngineState> {
    let controller = cluster.controller(node);
    controller.cluster_state().read(|state| state.engines.get(engine).map(|e| e.state()))
}

/// Heartbeats from before the departures come late, at each of these nodes; nothing acknowledged is undone by them.
async fn assert_everything_stands(cluster: &Cluster, nodes: &[usize]) {
    read_everywhere(cluster, nodes, 7).await;
    for (node, call) in nodes.iter().zip(DEPARTURE - 5..) {
        for engine in [DRAINED, DEREGISTERED] {
            send_heartbeat(cluster, *node, engine, "ready", call).await;
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    for node in nodes {
        assert_eq!(state_of(cluster, *node, DRAINED), Some(EngineState::Draining), "n{node}");
        let gone = state_of(cluster, *node, DEREGISTERED);
        assert_eq!(gone, Some(EngineState::Deregistered), "n{node}");
        let target = cluster.controller(*node).cluster_state().read(|s| s.target_version("m"));
        assert_eq!(target, 3, "n{node}");
    }
}

async fn founded(seed: u64) -> Cluster {
    let cluster = Cluster::found(3, seed).await;
    acknowledge_everything(&cluster).await;
    cluster
}

/// Guards against DRAIN: acknowledged departures were kept in memory only.
#[tokio::test(start_paused = true)]
async fn everything_acknowledged_outlives_the_death_of_all() {
    let mut cluster = founded(71).await;
    (1..=3).for_each(|node| cluster.crash(node));
    for node in 1..=3 {
        cluster.start(node).await;
    }
    assert_everything_stands(&cluster, &[1, 2, 3]).await;
}

/// As many disks are lost as may be, while all lose their memory.
#[tokio::test(start_paused = true)]
async fn everything_acknowledged_outlives_the_death_of_all_with_one_disk_wiped() {
    for wiped in 1..=3 {
        let mut cluster = founded(72).await;
        (1..=3).for_each(|node| cluster.crash(node));
        for node in 1..=3 {
            if node == wiped {
                cluster.start_empty(node).await;
            } else {
                cluster.start(node).await;
            }
        }
        assert_everything_stands(&cluster, &[1, 2, 3]).await;
    }
}

/// No voter is left of those that held the acknowledgements, and then all lose their memory.
#[tokio::test(start_paused = true)]
async fn everything_acknowledged_outlives_the_replacement_of_every_voter() {
    let mut cluster = founded(73).await;
    // the last one of the seeds goes last: its successor has to find the others
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
    assert_everything_stands(&cluster, &[4, 5, 6]).await;
}

/// A controller that comes back alone, behind the departures, learns of them.
#[tokio::test(start_paused = true)]
async fn a_controller_that_missed_the_departures_learns_of_them() {
    let mut cluster = Cluster::found(3, 74).await;
    cluster.wait_until_settled().await;
    cluster.crash(3);
    acknowledge_everything(&cluster).await;
    cluster.start(3).await;
    assert_everything_stands(&cluster, &[3]).await;
}

/// A majority that holds a departure in memory alone would forget it.
#[tokio::test(start_paused = true)]
async fn a_departure_that_no_majority_can_store_is_not_acknowledged() {
    let cluster = Cluster::found(3, 75).await;
    cluster.wait_until_settled().await;
    send_heartbeat(&cluster, 1, DRAINED, "ready", 10).await;
    cluster.stop_disk(2);
    cluster.stop_disk(3);
    let body = heartbeat("draining", DEPARTURE);
    let registry = cluster.controller(1).registry();
    let answer = instances::heartbeat(registry, DRAINED.into(), body).await;
    assert_eq!(answer.unwrap_err().status, http::StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(state_of(&cluster, 1, DRAINED), Some(EngineState::Draining), "it is known here");
}
