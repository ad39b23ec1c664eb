//! Leases over real controllers: duties that change hands, and contact with a majority.

use super::harness::Cluster;
use super::{heartbeats, replace};
use control_plane::leases::ROLLOUT_LEASE;
use control_plane::service::{configuration, instances};
use std::time::Duration;
use tokio::time::Instant;

const TICK: Duration = Duration::from_millis(20);
/// As the settings have it where they name none.
pub const LEASE: Duration = Duration::from_secs(3);

/// Who may give orders now, and under which fence.
fn holder(cluster: &Cluster, nodes: &[usize]) -> Option<(usize, u64)> {
    let fencing_token =
        |node: &usize| cluster.controller(*node).leases().fencing_token(ROLLOUT_LEASE);
    let mut all = nodes.iter().filter_map(|node| Some((*node, fencing_token(node)?)));
    let one = all.next();
    assert_eq!(all.next(), None, "beside {one:?}");
    one
}

/// Waits for somebody who may give orders.
pub async fn next_holder(cluster: &Cluster, nodes: &[usize]) -> (usize, u64) {
    let end = Instant::now() + LEASE * 5;
    loop {
        if let Some(held) = holder(cluster, nodes) {
            return held;
        }
        assert!(Instant::now() < end, "nobody holds it");
        tokio::time::sleep(TICK).await;
    }
}

pub fn others(size: usize, node: usize) -> Vec<usize> {
    (1..=size).filter(|n| *n != node).collect()
}

#[tokio::test(start_paused = true)]
async fn a_duty_goes_to_another_node_a_lease_after_its_holder_died() {
    for (size, seed) in [(3, 11), (3, 12), (5, 13)] {
        let mut cluster = Cluster::found(size, seed).await;
        let all: Vec<usize> = (1..=size).collect();
        let (first, fencing_token) = next_holder(&cluster, &all).await;
        cluster.wait_until_settled().await;
        assert_eq!(holder(&cluster, &all), Some((first, fencing_token)), "it is kept");
        cluster.crash(first);
        let died = Instant::now();
        let (second, higher) = next_holder(&cluster, &others(size, first)).await;
        assert!(
            second != first && higher > fencing_token,
            "{first}: {fencing_token}, {second}: {higher}"
        );
        assert!(died.elapsed() >= LEASE, "after {:?}", died.elapsed());
    }
}

#[tokio::test(start_paused = true)]
async fn a_restarted_holder_has_its_duty_again_before_others_could() {
    let mut cluster = Cluster::found(3, 21).await;
    let (first, fencing_token) = next_holder(&cluster, &[1, 2, 3]).await;
    cluster.crash(first);
    cluster.start(first).await;
    let restarted = Instant::now();
    let (again, higher) = next_holder(&cluster, &[1, 2, 3]).await;
    assert!(
        again == first && higher > fencing_token,
        "{first}: {fencing_token}, {again}: {higher}"
    );
    assert!(restarted.elapsed() < LEASE, "after {:?}", restarted.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_duty_given_back_is_held_by_another_no_sooner_than_a_lease_later() {
    let cluster = Cluster::found(3, 31).await;
    let (first, fencing_token) = next_holder(&cluster, &[1, 2, 3]).await;
    cluster.leave(first).await;
    let stopped_at = Instant::now();
    let (second, higher) = next_holder(&cluster, &others(3, first)).await;
    assert!(higher > fencing_token && second != first);
    assert!(stopped_at.elapsed() >= LEASE, "after {:?}", stopped_at.elapsed());
    assert_eq!(cluster.controller(first).leases().fencing_token(ROLLOUT_LEASE), None);
}

#[tokio::test(start_paused = true)]
async fn a_duty_given_back_is_logged_as_ended() {
    let cluster = Cluster::found(3, 32).await;
    let (first, _) = next_holder(&cluster, &[1, 2, 3]).await;
    let ended = format!("n{first} lease released");
    assert!(cluster.trace.lines().iter().all(|line| !line.ends_with(&ended)));
    cluster.leave(first).await;
    assert!(cluster.trace.lines().iter().any(|line| line.ends_with(&ended)));
}

#[tokio::test(start_paused = true)]
async fn contact_ends_with_the_majority_and_comes_back_with_it() {
    let mut cluster = Cluster::found(3, 41).await;
    replace(&cluster, 1, 0, 7).await;
    heartbeats(&cluster, 1).await;
    cluster.crash(2);
    tokio::time::sleep(LEASE).await;
    heartbeats(&cluster, 1).await;
    cluster.crash(3);
    tokio::time::sleep(Duration::from_millis(1600)).await;
    let heartbeat = r#"{"service":"s","address":"10.0.1.99:80","state":"ready","callSeq":1}"#;
    let alone = cluster.controller(1);
    let asked = Instant::now();
    let answer =
        instances::heartbeat(alone.registry(), "late".into(), heartbeat.into()).await.unwrap_err();
    let read = configuration::fetch(alone.consensus()).await.unwrap_err();
    assert_eq!((answer.code, read.code), ("no_contact", "no_contact"));
    assert_eq!(asked.elapsed(), Duration::ZERO, "nobody was asked first");
    assert!(
        alone.cluster_state().read(|cluster_state| cluster_state.engines.contains_key("late")),
        "heard all the same"
    );
    cluster.start(2).await;
    cluster.retry_until_ok(1, |s| async move { configuration::fetch(s.consensus()).await }).await;
    heartbeats(&cluster, 1).await;
}
