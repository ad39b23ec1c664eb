//! A machine's controller and router end together: the platform takes a machine whose controller has been started again
//! for one that runs, while its router still ends what it accepted before.

use super::Cluster;
use fleet_core::link::Link;
use std::sync::Arc;
use std::time::Duration;

/// `graceS` of the deployment in these tests.
const GRACE: Duration = Duration::from_secs(8);
/// Far less than a router needs to end its streams.
const SOON: Duration = Duration::from_millis(500);

/// Three controllers, and the link of a machine's router to the first.
async fn with_router(machine: usize, seed: u64) -> (Cluster, Arc<Link>) {
    let cluster = Cluster::found(3, seed).await;
    cluster.wait_until_settled().await;
    let router = cluster.router_link(machine, 1, None);
    router.watch().wait_for(|is_up| *is_up).await.unwrap();
    (cluster, router)
}

/// Whether the first controller ends within a time after it was asked to.
async fn ends_within(cluster: &Cluster, time: Duration) -> bool {
    tokio::time::timeout(time, cluster.leave(1)).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_controller_stays_until_the_router_of_its_machine_has_ended() {
    let (cluster, router) = with_router(1, 61).await;
    let leaving = cluster.leave(1);
    tokio::pin!(leaving);
    let ended = tokio::time::timeout(GRACE / 2, &mut leaving).await.is_ok();
    assert!(!ended, "it ended before the router of its machine");
    assert!(cluster.controller(1).consensus().votes(), "it votes meanwhile");
    drop(router);
    assert!(tokio::time::timeout(SOON, leaving).await.is_ok(), "its machine's router has gone");
}

#[tokio::test(start_paused = true)]
async fn a_controller_ends_within_the_grace_period_whatever_its_router_does() {
    let (cluster, _router) = with_router(1, 62).await;
    assert!(ends_within(&cluster, GRACE).await);
}

#[tokio::test(start_paused = true)]
async fn routers_of_other_machines_hold_no_controller_up() {
    let (cluster, _router) = with_router(9, 63).await;
    assert!(ends_within(&cluster, SOON).await);
}
