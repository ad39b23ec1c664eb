//! Tests of leases that move between controllers, and of contact with a majority.

use super::harness::Cluster;
use super::{replace, send_heartbeats};
use control_plane::leases::ROLLOUT_LEASE;
use control_plane::service::{configuration, instances};
use std::time::Duration;
use tokio::time::Instant;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Default lease duration of the settings.
pub const LEASE: Duration = Duration::from_secs(3);

/// The node that holds the rollout lease, with its fencing token. Asserts that there is at most one.
fn holder(cluster: &Cluster, nodes: &[usize]) -> Option<(usize, u64)> {
    let fencing_token =
        |node: &usize| cluster.controller(*node).leases().fencing_token(ROLLOUT_LEASE);
    let mut all = nodes.iter().filter_map(|node| Some((*node, fencing_token(node)?)));
    let first = all.next();
    assert_eq!(all.next(), None, "second holder beside {first:?}");
    first
}

/// Waits until one of the nodes holds the rollout lease.
pub async fn next_holder(cluster: &Cluster, nodes: &[usize]) -> (usize, u64) {
    let end = Instant::now() + LEASE * 5;
    loop {
        if let Some(held) = holder(cluster, nodes) {
            return held;
        }
        assert!(Instant::now() < end, "no node holds the lease");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The nodes 1 to `size` except one.
pub fn other_nodes(size: usize, node: usize) -> Vec<usize> {
    (1..=size).filter(|n| *n != node).collect()
}

#[tokio::test(start_paused = true)]
async fn lease_of_a_crashed_holder_moves_to_another_node_after_it_expires() {
    for (size, seed) in [(3, 11), (3, 12), (5, 13)] {
        let mut cluster = Cluster::bootstrap(size, seed).await;
        let all: Vec<usize> = (1..=size).collect();
        let (first, fencing_token) = next_holder(&cluster, &all).await;
        cluster.wait_until_settled().await;
        assert_eq!(
            holder(&cluster, &all),
            Some((first, fencing_token)),
            "the holder keeps the lease"
        );
        cluster.crash(first);
        let crashed_at = Instant::now();
        let (second, new_token) = next_holder(&cluster, &other_nodes(size, first)).await;
        assert!(
            second != first && new_token > fencing_token,
            "{first}: {fencing_token}, {second}: {new_token}"
        );
        assert!(crashed_at.elapsed() >= LEASE, "after {:?}", crashed_at.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn restarted_holder_reacquires_its_lease_before_it_expires() {
    let mut cluster = Cluster::bootstrap(3, 21).await;
    let (first, fencing_token) = next_holder(&cluster, &[1, 2, 3]).await;
    cluster.crash(first);
    cluster.start(first).await;
    let restarted_at = Instant::now();
    let (reacquired_by, new_token) = next_holder(&cluster, &[1, 2, 3]).await;
    assert!(
        reacquired_by == first && new_token > fencing_token,
        "{first}: {fencing_token}, {reacquired_by}: {new_token}"
    );
    assert!(restarted_at.elapsed() < LEASE, "after {:?}", restarted_at.elapsed());
}

#[tokio::test(start_paused = true)]
async fn released_lease_is_held_by_another_node_only_after_it_would_have_expired() {
    let cluster = Cluster::bootstrap(3, 31).await;
    let (first, fencing_token) = next_holder(&cluster, &[1, 2, 3]).await;
    cluster.leave(first).await;
    let released_at = Instant::now();
    let (second, new_token) = next_holder(&cluster, &other_nodes(3, first)).await;
    assert!(new_token > fencing_token && second != first);
    assert!(released_at.elapsed() >= LEASE, "after {:?}", released_at.elapsed());
    assert_eq!(cluster.controller(first).leases().fencing_token(ROLLOUT_LEASE), None);
}

#[tokio::test(start_paused = true)]
async fn released_lease_is_logged() {
    let cluster = Cluster::bootstrap(3, 32).await;
    let (first, _) = next_holder(&cluster, &[1, 2, 3]).await;
    let log_line = format!("n{first} lease released");
    assert!(cluster.trace.lines().iter().all(|line| !line.ends_with(&log_line)));
    cluster.leave(first).await;
    assert!(cluster.trace.lines().iter().any(|line| line.ends_with(&log_line)));
}

#[tokio::test(start_paused = true)]
async fn contact_is_lost_and_regained_with_the_majority() {
    let mut cluster = Cluster::bootstrap(3, 41).await;
    replace(&cluster, 1, 0, 7).await;
    send_heartbeats(&cluster, 1).await;
    cluster.crash(2);
    tokio::time::sleep(LEASE).await;
    send_heartbeats(&cluster, 1).await;
    cluster.crash(3);
    tokio::time::sleep(Duration::from_millis(1600)).await;
    let heartbeat = r#"{"service":"s","address":"10.0.1.99:80","state":"ready","callSeq":1}"#;
    let isolated = cluster.controller(1);
    let asked_at = Instant::now();
    let answer = instances::heartbeat(isolated.registry(), "late".into(), heartbeat.into())
        .await
        .unwrap_err();
    let read = configuration::fetch(isolated.consensus()).await.unwrap_err();
    assert_eq!((answer.code, read.code), ("no_contact", "no_contact"));
    assert_eq!(asked_at.elapsed(), Duration::ZERO, "answered without waiting for other nodes");
    assert!(
        isolated.cluster_state().read(|cluster_state| cluster_state.engines.contains_key("late")),
        "the rejected heartbeat is recorded all the same"
    );
    cluster.start(2).await;
    cluster
        .retry_until_ok(1, |controller| async move {
            configuration::fetch(controller.consensus()).await
        })
        .await;
    send_heartbeats(&cluster, 1).await;
}
