//! A controller that shuts down gives up ownership of its keys before it ends.

use super::{Cluster, assert_config_at, config_body, replace, replace_once_within};
use control_plane::service::configuration;
use std::time::Duration;
use tokio::time::Instant;

/// Enough for leaving, or for an election and a round, each with disk syncs at two nodes. Far shorter than the time
/// after an owner's last round during which voters elect no other owner.
const CHANGE_TIMEOUT: Duration = Duration::from_millis(100);

/// A cluster whose first node owns the configuration and has just changed it.
async fn owned_by_first(seed: u64) -> Cluster {
    let cluster = Cluster::bootstrap(3, seed).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    replace(&cluster, 1, 7, 8).await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn change_after_the_owner_left_does_not_wait_for_its_timeout() {
    for node in [2, 3] {
        let mut cluster = owned_by_first(51).await;
        let stop_requested = Instant::now();
        cluster.stop(1).await;
        assert!(
            stop_requested.elapsed() < CHANGE_TIMEOUT,
            "node 1 ended after {:?}",
            stop_requested.elapsed()
        );
        replace_once_within(&cluster, node, 8, CHANGE_TIMEOUT).await;
        cluster.start(1).await;
        assert_config_at(&cluster, &[1, 2, 3], 9).await;
        replace(&cluster, 1, 9, 10).await;
    }
}

#[tokio::test(start_paused = true)]
async fn leaving_controller_forwards_changes_and_owns_no_key() {
    for node in [1, 2, 3] {
        let cluster = owned_by_first(52).await;
        cluster.leave(1).await;
        replace_once_within(&cluster, node, 8, CHANGE_TIMEOUT).await;
        let owner = cluster
            .controller(2)
            .consensus()
            .with_acceptor(|acceptor| acceptor.promised_node("config"));
        let former_owner = cluster.controller(1).node().id();
        assert!(owner.is_some_and(|id| id != former_owner), "{owner:?}");
    }
}

/// A change that is in progress when its owner leaves is completed by the owner or by its successor.
#[tokio::test(start_paused = true)]
async fn change_in_progress_while_its_owner_leaves_is_acknowledged() {
    for node in [1, 2, 3] {
        for lead_ms in 0..6 {
            let cluster = owned_by_first(53).await;
            let controller = cluster.controller(node).clone();
            let request = tokio::spawn(async move {
                configuration::replace(controller.consensus(), Some("8"), config_body(9)).await
            });
            tokio::time::sleep(Duration::from_millis(lead_ms)).await;
            cluster.leave(1).await;
            let version = request.await.unwrap().map(|replaced| replaced.version).ok();
            assert_eq!(version, Some(9), "n{node}, {lead_ms} ms before");
        }
    }
}
