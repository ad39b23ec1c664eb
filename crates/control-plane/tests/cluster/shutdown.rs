//! A machine's controller and router end together: the platform takes a machine whose controller has been started again
//! for one that runs, while its router still ends what it accepted before.

use super::Cluster;
use std::time::Duration;

/// `graceS` of the deployment in these tests.
const GRACE: Duration = Duration::from_secs(8);
/// Far less than a router needs to end its streams.
const SOON: Duration = Duration::from_millis(500);

async fn until_up(link: &fleet_core::link::Link) {
    link.watch().wait_for(|up| *up).await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_controller_stays_until_the_router_of_its_machine_has_ended() {
    let cluster = Cluster::found(3, 61).await;
    cluster.wait_until_settled().await;
    let router = cluster.router_link(1, 1, None);
    until_up(&router).await;
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
    let cluster = Cluster::found(3, 62).await;
    cluster.wait_until_settled().await;
    let router = cluster.router_link(1, 1, None);
    until_up(&router).await;
    assert!(tokio::time::timeout(GRACE, cluster.leave(1)).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn routers_of_other_machines_hold_no_controller_up() {
    let cluster = Cluster::found(3, 63).await;
    cluster.wait_until_settled().await;
    let router = cluster.router_link(9, 1, None);
    until_up(&router).await;
    assert!(tokio::time::timeout(SOON, cluster.leave(1)).await.is_ok());
}
