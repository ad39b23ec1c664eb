//! Tests of several real controllers in one process, over simulated disks and a simulated network. The tests in this
//! file cover changes of the configuration across crashes, restarts and lost disks, and check that runs are
//! deterministic per seed.

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
use std::time::Duration;
use tokio::time::Instant;

/// Number of engines; enough that hash tables of them iterate in different orders.
const ENGINES: usize = 9;

fn config_body(version: u64) -> Bytes {
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
        async move {
            configuration::replace(controller.consensus(), Some(&base), config_body(version)).await
        }
    };
    assert_eq!(cluster.retry_until_ok(node, call).await.version, version);
}

/// Replaces the configuration of version `base` with the next one by one request, without retries, and asserts that it
/// succeeds in less than `limit`.
async fn replace_once_within(cluster: &Cluster, node: usize, base: u64, limit: Duration) {
    let (version, started_at) = (base + 1, Instant::now());
    let base = base.to_string();
    let answer = configuration::replace(
        cluster.controller(node).consensus(),
        Some(&base),
        config_body(version),
    )
    .await;
    let elapsed = started_at.elapsed();
    assert_eq!(
        answer.map(|replaced| replaced.version).ok(),
        Some(version),
        "n{node} after {elapsed:?}"
    );
    assert!(elapsed < limit, "n{node} answered after {elapsed:?}");
}

/// Asserts that the first successful read at each node returns this version.
async fn assert_config_at(cluster: &Cluster, nodes: &[usize], version: u64) {
    for node in nodes {
        let call = |controller: Arc<Controller>| async move {
            configuration::fetch(controller.consensus()).await
        };
        assert_eq!(cluster.retry_until_ok(*node, call).await, config_body(version), "n{node}");
    }
}

/// Sends one heartbeat from each of [`ENGINES`] engines of a service to a node.
async fn send_heartbeats(cluster: &Cluster, node: usize) {
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

async fn replace_across_crash(size: usize, seed: u64) -> Vec<String> {
    let mut cluster = Cluster::bootstrap(size, seed).await;
    let all: Vec<usize> = (1..=size).collect();
    replace(&cluster, 1, 0, 7).await;
    assert_config_at(&cluster, &all, 7).await;
    send_heartbeats(&cluster, 2).await;
    cluster.crash(1);
    replace(&cluster, 2, 7, 8).await;
    assert_config_at(&cluster, &all[1..], 8).await;
    cluster.start(1).await;
    assert_config_at(&cluster, &all, 8).await;
    cluster.wait_until_settled().await;
    let engine_count = |node: &usize| {
        cluster.controller(*node).cluster_state().read(|cluster_state| cluster_state.engines.len())
    };
    assert!(all.iter().all(|node| engine_count(node) == ENGINES));
    cluster.trace.lines()
}

#[tokio::test(start_paused = true)]
async fn restarted_controller_reads_the_change_that_it_missed() {
    let trace = replace_across_crash(3, 1).await;
    assert!(trace.iter().any(|line| line.ends_with("n1 crashed")));
    assert!(trace.iter().any(|line| line.contains("n3 wrote")));
}

#[tokio::test(start_paused = true)]
async fn controller_without_a_majority_rejects_reads_and_changes() {
    let mut cluster = Cluster::bootstrap(3, 2).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.crash(2);
    cluster.crash(3);
    let isolated = cluster.controller(1);
    let read = configuration::fetch(isolated.consensus()).await.unwrap_err();
    let changed =
        configuration::replace(isolated.consensus(), Some("7"), config_body(8)).await.unwrap_err();
    assert_eq!((read.status.as_u16(), changed.status.as_u16()), (503, 503));
}

/// Crashes each node in turn, so that the lease holders are among them.
#[tokio::test(start_paused = true)]
async fn crashed_controller_leaves_no_tasks_running() {
    for node in 1..=3 {
        let mut cluster = Cluster::bootstrap(3, 3).await;
        replace(&cluster, 1, 0, 7).await;
        cluster.wait_until_settled().await;
        send_heartbeats(&cluster, node).await;
        tokio::time::sleep(std::time::Duration::from_secs(1)).await;
        let crashed = std::sync::Arc::downgrade(cluster.controller(node));
        cluster.crash(node);
        cluster.wait_until_settled().await;
        assert_eq!(crashed.strong_count(), 0, "tasks still hold references to n{node}");
    }
}

/// The member with the lowest address among the voters changes the membership first. Node 1 has a lower address but
/// doesn't vote, so it must not be waited for.
#[tokio::test(start_paused = true)]
async fn non_voting_member_does_not_delay_the_replacement_of_a_lost_one() {
    let mut cluster = Cluster::bootstrap(5, 3).await;
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
    assert_config_at(&cluster, &[2, 3, 6], 8).await;
}

/// Nodes share heartbeats in batches; a leaving node first sends what it has received since the last batch.
#[tokio::test(start_paused = true)]
async fn leaving_node_passes_on_heartbeats_that_only_it_received() {
    let mut cluster = Cluster::bootstrap(3, 6).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    send_heartbeats(&cluster, 1).await;
    cluster.stop(1).await;
    let engine_count = |node| {
        cluster.controller(node).cluster_state().read(|cluster_state| cluster_state.engines.len())
    };
    assert_eq!((engine_count(2), engine_count(3)), (ENGINES, ENGINES));
}

/// A node that has long received no heartbeat of an engine may not know that the engine has ended. What it shares must
/// not make the engine ready at a node that restarts.
#[tokio::test(start_paused = true)]
async fn engine_with_missed_heartbeats_is_not_ready_at_a_restarted_node() {
    let mut cluster = Cluster::bootstrap(3, 7).await;
    replace(&cluster, 1, 0, 7).await;
    send_heartbeats(&cluster, 1).await;
    cluster.wait_until_settled().await;
    assert!(
        cluster
            .controller(3)
            .cluster_state()
            .read(|cluster_state| cluster_state.engines.values().all(|e| e.heartbeat_missed))
    );
    cluster.crash(1);
    cluster.start(1).await;
    assert_config_at(&cluster, &[1], 7).await;
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    let ready = |cluster_state: &control_plane::cluster_state::ClusterState| {
        cluster_state.engines.values().any(|e| !e.heartbeat_missed)
    };
    assert!(!cluster.controller(1).cluster_state().read(ready));
}

/// A former member restarts with its old disk after it has been replaced in the membership.
#[tokio::test(start_paused = true)]
async fn replaced_member_does_not_vote_until_it_is_added_again() {
    let mut cluster = Cluster::bootstrap(3, 4).await;
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
    assert_config_at(&cluster, &[1, 3], 8).await;
}

/// The seeds in the settings may be outdated. If no other seed is left, the addresses of the members must come from
/// the members themselves.
#[tokio::test(start_paused = true)]
async fn lost_disk_is_recovered_when_all_other_seeds_are_gone() {
    let mut cluster = Cluster::bootstrap(3, 8).await;
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
    assert_config_at(&cluster, &[1, 5], 7).await;
}

#[tokio::test(start_paused = true)]
async fn lost_disk_is_recovered_with_a_configuration_of_several_megabytes() {
    let mut cluster = Cluster::bootstrap(3, 5).await;
    let mut large: serde_json::Value = serde_json::from_slice(&config_body(7)).unwrap();
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
        "n3 lost its disk and has one other voter to read from"
    );
}

#[test]
fn runs_are_deterministic_per_seed() {
    let run = |seed| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        runtime.block_on(replace_across_crash(5, seed))
    };
    let first = run(1);
    for (i, (a, b)) in first.iter().zip(run(1)).enumerate() {
        assert_eq!(*a, b, "line {i}");
    }
    assert_eq!(first.len(), run(1).len());
    assert_ne!(first, run(2));
}
