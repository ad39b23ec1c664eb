//! A controller that is told to stop owns nothing any more when it ends.

use super::{Cluster, read_everywhere, replace, sheet};
use control_plane::service::configuration;
use std::time::Duration;
use tokio::time::Instant;

/// Leaving, or an election and a round, each with the syncs of two disks: far less than the quiet that voters keep
/// after an owner's last round.
const SOON: Duration = Duration::from_millis(100);

/// One order and its answer; nothing is sent again.
async fn replaced_soon(cluster: &Cluster, node: usize, base: u64) {
    let (version, begun) = (base + 1, Instant::now());
    let base = base.to_string();
    let answer =
        configuration::replace(cluster.controller(node).consensus(), Some(&base), sheet(version))
            .await;
    let took = begun.elapsed();
    assert_eq!(answer.map(|taken| taken.version).ok(), Some(version), "n{node} after {took:?}");
    assert!(took < SOON, "n{node} answered after {took:?}");
}

/// A cluster whose first node owns the configuration and has just changed it.
async fn owned_by_first(seed: u64) -> Cluster {
    let cluster = Cluster::found(3, seed).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    replace(&cluster, 1, 7, 8).await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn a_change_after_its_owner_left_waits_for_no_silence() {
    for node in [2, 3] {
        let mut cluster = owned_by_first(51).await;
        let stop_requested = Instant::now();
        cluster.stop(1).await;
        assert!(stop_requested.elapsed() < SOON, "it ended after {:?}", stop_requested.elapsed());
        replaced_soon(&cluster, node, 8).await;
        cluster.start(1).await;
        read_everywhere(&cluster, &[1, 2, 3], 9).await;
        replace(&cluster, 1, 9, 10).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_controller_that_leaves_passes_changes_on_and_owns_nothing() {
    for node in [1, 2, 3] {
        let cluster = owned_by_first(52).await;
        cluster.leave(1).await;
        replaced_soon(&cluster, node, 8).await;
        let owner =
            cluster.controller(2).consensus().with_acceptor(|acceptor| acceptor.owner("config"));
        let former_owner = cluster.controller(1).node().id();
        assert!(owner.is_some_and(|id| id != former_owner), "{owner:?}");
    }
}

/// What its owner is deciding when it leaves is decided, or decided by another.
#[tokio::test(start_paused = true)]
async fn a_change_under_way_while_its_owner_leaves_is_acknowledged() {
    for node in [1, 2, 3] {
        for begun_before in 0..6 {
            let cluster = owned_by_first(53).await;
            let controller = cluster.controller(node).clone();
            let order = tokio::spawn(async move {
                configuration::replace(controller.consensus(), Some("8"), sheet(9)).await
            });
            tokio::time::sleep(Duration::from_millis(begun_before)).await;
            cluster.leave(1).await;
            let taken = order.await.unwrap().map(|taken| taken.version).ok();
            assert_eq!(taken, Some(9), "n{node}, {begun_before} ms before");
        }
    }
}
