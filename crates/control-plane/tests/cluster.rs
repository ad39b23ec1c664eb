//! Three real controllers in one process: what an operator puts in force is read at each of them,
//! also over a crash and a restart, and a seed gives the same run again.

#[path = "cluster/departures.rs"]
mod departures;
mod harness;
#[path = "cluster/hung_disk.rs"]
mod hung_disk;
#[path = "cluster/leases.rs"]
mod leases;
#[path = "cluster/membership_view.rs"]
mod membership_view;
#[path = "cluster/operator.rs"]
mod operator;
#[path = "cluster/relay.rs"]
mod relay;
#[path = "cluster/resignation.rs"]
mod resignation;
#[path = "cluster/rollout.rs"]
mod rollout;
#[path = "cluster/second_loss.rs"]
mod second_loss;
#[path = "cluster/shutdown.rs"]
mod shutdown;

use bytes::Bytes;
use control_plane::Controller;
use control_plane::service::{configuration, instances};
use harness::Cluster;
use std::sync::Arc;

/// Enough for tables of them to have more than one order.
const ENGINES: usize = 9;

fn sheet(version: u64) -> Bytes {
    serde_json::json!({
        "revision": version,
        "routes": [{"name": "a", "host": "h", "pathPrefix": "/", "kind": "safe",
            "timeoutMs": 1000, "service": "s"}],
        "services": [{"name": "s", "maxConns": 5}],
        "tenants": [],
    })
    .to_string()
    .into()
}

async fn replace(cluster: &Cluster, node: usize, base: u64, version: u64) {
    let base = base.to_string();
    let call = |controller: Arc<Controller>| {
        let base = base.clone();
        async move { configuration::replace(controller.consensus(), Some(&base), sheet(version)).await }
    };
    assert_eq!(cluster.retry_until_ok(node, call).await.version, version);
}

/// One read of each node, as soon as it answers, gives this version.
async fn read_everywhere(cluster: &Cluster, nodes: &[usize], version: u64) {
    for node in nodes {
        let call = |controller: Arc<Controller>| async move {
            configuration::fetch(controller.consensus()).await
        };
        assert_eq!(cluster.retry_until_ok(*node, call).await, sheet(version), "n{node}");
    }
}

/// Engines of one service tell a node that they are there.
async fn heartbeats(cluster: &Cluster, node: usize) {
    for engine in 1..=ENGINES {
        let heartbeat = serde_json::json!({"service": "s", "address": format!("10.0.1.{engine}:80"),
            "state": "ready", "callSeq": 1});
        let controller = cluster.controller(node);
        let answer = instances::heartbeat(
            controller.registry(),
            format!("e{engine}"),
            heartbeat.to_string().into(),
        );
        answer.await.unwrap();
    }
}

async fn replace_over_a_crash(size: usize, seed: u64) -> Vec<String> {
    let mut cluster = Cluster::found(size, seed).await;
    let all: Vec<usize> = (1..=size).collect();
    replace(&cluster, 1, 0, 7).await;
    read_everywhere(&cluster, &all, 7).await;
    heartbeats(&cluster, 2).await;
    cluster.crash(1);
    replace(&cluster, 2, 7, 8).await;
    read_everywhere(&cluster, &all[1..], 8).await;
    cluster.start(1).await;
    read_everywhere(&cluster, &all, 8).await;
    cluster.wait_until_settled().await;
    let cluster_state = |node: &usize| {
        cluster.controller(*node).cluster_state().read(|cluster_state| cluster_state.engines.len())
    };
    assert!(all.iter().all(|node| cluster_state(node) == ENGINES));
    cluster.trace.lines()
}

#[tokio::test(start_paused = true)]
async fn a_restarted_controller_reads_what_was_put_in_force_without_it() {
    let trace = replace_over_a_crash(3, 1).await;
    assert!(trace.iter().any(|line| line.ends_with("n1 crashed")));
    assert!(trace.iter().any(|line| line.contains("n3 wrote")));
}

#[tokio::test(start_paused = true)]
async fn a_controller_that_lost_its_majority_answers_neither_reads_nor_changes() {
    let mut cluster = Cluster::found(3, 2).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.crash(2);
    cluster.crash(3);
    let alone = cluster.controller(1);
    let read = configuration::fetch(alone.consensus()).await.unwrap_err();
    let changed = configuration::replace(alone.consensus(), Some("7"), sheet(8)).await.unwrap_err();
    assert_eq!((read.status.as_u16(), changed.status.as_u16()), (503, 503));
}

/// Each node in turn, so that the holders of the duties are among them.
#[tokio::test(start_paused = true)]
async fn nothing_of_a_crashed_controller_goes_on() {
    for node in 1..=3 {
        let mut cluster = Cluster::found(3, 3).await;
        replace(&cluster, 1, 0, 7).await;
        cluster.wait_until_settled().await;
        heartbeats(&cluster, node).await;
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        let crashed = std::sync::Arc::downgrade(cluster.controller(node));
        cluster.crash(node);
        cluster.wait_until_settled().await;
        assert_eq!(crashed.strong_count(), 0, "tasks hold n{node} still");
    }
}

/// Who moves the membership first is the lowest address that votes, not the lowest that is linked.
#[tokio::test(start_paused = true)]
async fn a_member_that_does_not_vote_keeps_no_lost_one_in_the_membership() {
    let mut cluster = Cluster::found(5, 3).await;
    replace(&cluster, 2, 0, 7).await;
    cluster.stop_disk(1);
    cluster.crash(5);
    cluster.start_empty(6).await;
    cluster.wait_until_settled().await;
    cluster.wait_until_settled().await;
    assert_eq!(cluster.members(2), [1, 2, 3, 4, 6]);
    assert!(cluster.controller(6).consensus().votes());
    cluster.crash(4);
    replace(&cluster, 6, 7, 8).await;
    read_everywhere(&cluster, &[2, 3, 6], 8).await;
}

/// Heartbeats are shared in batches: who leaves tells on what it took since the last one.
#[tokio::test(start_paused = true)]
async fn a_node_that_leaves_tells_on_what_only_it_knows() {
    let mut cluster = Cluster::found(3, 6).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    heartbeats(&cluster, 1).await;
    cluster.stop(1).await;
    let cluster_state = |node| {
        cluster.controller(node).cluster_state().read(|cluster_state| cluster_state.engines.len())
    };
    assert_eq!((cluster_state(2), cluster_state(3)), (ENGINES, ENGINES));
}

/// Whoever heard nothing of an engine for long may not know of its end, and revives it nowhere.
#[tokio::test(start_paused = true)]
async fn an_engine_that_is_silent_at_one_node_is_not_ready_at_another_that_restarts() {
    let mut cluster = Cluster::found(3, 7).await;
    replace(&cluster, 1, 0, 7).await;
    heartbeats(&cluster, 1).await;
    cluster.wait_until_settled().await;
    assert!(
        cluster
            .controller(3)
            .cluster_state()
            .read(|cluster_state| cluster_state.engines.values().all(|e| e.heartbeat_missed))
    );
    cluster.crash(1);
    cluster.start(1).await;
    read_everywhere(&cluster, &[1], 7).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let ready = |cluster_state: &control_plane::cluster_state::ClusterState| {
        cluster_state.engines.values().any(|e| !e.heartbeat_missed)
    };
    assert!(!cluster.controller(1).cluster_state().read(ready));
}

/// A former member comes back with the disk it had, while others have its place.
#[tokio::test(start_paused = true)]
async fn a_replaced_member_comes_back_as_a_stranger() {
    let mut cluster = Cluster::found(3, 4).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.crash(1);
    cluster.start_empty(4).await;
    cluster.wait_until_settled().await;
    assert_eq!(cluster.members(2), [2, 3, 4]);
    replace(&cluster, 3, 7, 8).await;
    cluster.start(1).await;
    cluster.wait_until_settled().await;
    assert_eq!(cluster.members(1), [2, 3, 4]);
    assert!(!cluster.controller(1).consensus().votes());
    cluster.crash(2);
    cluster.wait_until_settled().await;
    assert_eq!(cluster.members(3), [1, 3, 4]);
    cluster.crash(4);
    read_everywhere(&cluster, &[1, 3], 8).await;
}

/// The seeds in the settings may be older than the members: then only these know where the others are.
#[tokio::test(start_paused = true)]
async fn a_lost_disk_is_read_back_where_all_other_seeds_have_gone() {
    let mut cluster = Cluster::found(3, 8).await;
    replace(&cluster, 1, 0, 7).await;
    for (lost, successor) in [(2, 4), (3, 5)] {
        cluster.crash(lost);
        cluster.start_empty(successor).await;
        cluster.wait_until_settled().await;
    }
    assert_eq!(cluster.members(1), [1, 4, 5]);
    cluster.crash(1);
    cluster.start_empty(1).await;
    cluster.wait_until_settled().await;
    cluster.crash(4);
    read_everywhere(&cluster, &[1, 5], 7).await;
}

#[tokio::test(start_paused = true)]
async fn a_lost_disk_is_read_back_with_a_configuration_of_megabytes() {
    let mut cluster = Cluster::found(3, 5).await;
    let mut large: serde_json::Value = serde_json::from_slice(&sheet(7)).unwrap();
    large["routes"][0]["pathPrefix"] = format!("/{}", "x".repeat(3_000_000)).into();
    let large = Bytes::from(large.to_string());
    let put = |controller: Arc<Controller>| {
        let large = large.clone();
        async move { configuration::replace(controller.consensus(), Some("0"), large).await }
    };
    assert_eq!(cluster.retry_until_ok(1, put).await.version, 7);
    cluster.crash(3);
    cluster.start_empty(3).await;
    cluster.wait_until_settled().await;
    cluster.crash(1);
    let call = |controller: Arc<Controller>| async move {
        configuration::fetch(controller.consensus()).await
    };
    assert!(
        cluster.retry_until_ok(3, call).await == large,
        "read by the one that lost its disk and one other"
    );
}

#[test]
fn a_seed_gives_the_same_run_again_and_another_seed_another() {
    let run = |seed| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(replace_over_a_crash(5, seed))
    };
    let first = run(1);
    for (i, (a, b)) in first.iter().zip(run(1)).enumerate() {
        assert_eq!(*a, b, "line {i}");
    }
    assert_eq!(first.len(), run(1).len());
    assert_ne!(first, run(2));
}
