//! The controller of a machine ends together with its router. Otherwise the platform would take a machine with a
//! restarted controller for a running one, while its router is still completing requests accepted earlier.

use super::Cluster;
use fleet_core::link::Link;
use std::sync::Arc;
use std::time::Duration;

/// The grace period (`bounds.graceS`) in these tests.
const GRACE: Duration = Duration::from_secs(8);
/// Maximum time of a shutdown that waits for no router; far less than a router needs to complete its streams.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(500);

/// Three controllers, and a link from the router of a machine to the first controller.
async fn with_router(machine: usize, seed: u64) -> (Cluster, Arc<Link>) {
    let cluster = Cluster::bootstrap(3, seed).await;
    cluster.wait_until_settled().await;
    let router = cluster.router_link(machine, 1, None);
    router.watch().wait_for(|is_up| *is_up).await.unwrap();
    (cluster, router)
}

/// Asks the first controller to leave; returns whether it is done within this time.
async fn ends_within(cluster: &Cluster, time: Duration) -> bool {
    tokio::time::timeout(time, cluster.leave(1)).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn controller_stays_until_the_router_of_its_machine_has_ended() {
    let (cluster, router) = with_router(1, 61).await;
    let leaving = cluster.leave(1);
    tokio::pin!(leaving);
    let ended = tokio::time::timeout(GRACE / 2, &mut leaving).await.is_ok();
    assert!(!ended, "the controller ended before the router of its machine");
    assert!(cluster.controller(1).consensus().votes(), "the controller votes until then");
    drop(router);
    assert!(
        tokio::time::timeout(SHUTDOWN_TIMEOUT, leaving).await.is_ok(),
        "the controller ends once the router of its machine has"
    );
}

#[tokio::test(start_paused = true)]
async fn controller_ends_within_the_grace_period_whatever_its_router_does() {
    let (cluster, _router) = with_router(1, 62).await;
    assert!(ends_within(&cluster, GRACE).await);
}

#[tokio::test(start_paused = true)]
async fn routers_of_other_machines_do_not_delay_the_shutdown() {
    let (cluster, _router) = with_router(9, 63).await;
    assert!(ends_within(&cluster, SHUTDOWN_TIMEOUT).await);
}
