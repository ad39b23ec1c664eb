//! A hung disk returns no error, so its node has to detect by itself that it can't vote.

use super::leases::{LEASE, next_holder, other_nodes};
use super::{Cluster, assert_config_at, replace, replace_once_within};
use control_plane::consensus::state_machine;
use fleet_core::wire::PreVoteRequest;
use std::time::Duration;
use tokio::time::Instant;

/// Time after which an operator sends a change request to another node.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const NODES: [usize; 3] = [1, 2, 3];

async fn replace_with_hung_owner(target_node: usize, hang_duration: Duration) -> Cluster {
    let cluster = Cluster::bootstrap(3, 11).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    cluster.hang_disk(1, true);
    tokio::time::sleep(hang_duration).await;
    replace_once_within(&cluster, target_node, 7, ANSWER_TIMEOUT).await;
    replace_once_within(&cluster, target_node, 8, ANSWER_TIMEOUT).await;
    cluster
}

/// Covers requests right after the disk starts to hang, when no node can have detected it, and requests later on.
#[tokio::test(start_paused = true)]
async fn change_is_acknowledged_within_a_second_while_the_disk_of_its_owner_hangs() {
    for node in NODES {
        for hang_duration in [0, 200, 600, 5000].map(Duration::from_millis) {
            let cluster = replace_with_hung_owner(node, hang_duration).await;
            assert_config_at(&cluster, &[2, 3], 9).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn no_change_is_lost_when_a_hung_disk_recovers() {
    for node in NODES {
        let mut cluster = replace_with_hung_owner(node, Duration::from_secs(2)).await;
        cluster.hang_disk(1, false);
        cluster.wait_until_settled().await;
        assert_config_at(&cluster, &NODES, 9).await;
        cluster.crash(2);
        replace(&cluster, 1, 9, 10).await;
        assert_config_at(&cluster, &[1, 3], 10).await;
    }
}

#[tokio::test(start_paused = true)]
async fn hung_disk_and_its_recovery_are_logged_once() {
    let cluster = replace_with_hung_owner(1, Duration::from_secs(5)).await;
    cluster.hang_disk(1, false);
    cluster.wait_until_settled().await;
    let lines = cluster.trace.lines();
    let logged = |text| lines.iter().filter(|line| line.ends_with(text)).count();
    assert_eq!(logged("n1 disk write failed or hangs"), 1);
    assert_eq!(logged("n1 disk writes succeed again"), 1);
}

#[tokio::test(start_paused = true)]
async fn lease_moves_to_another_node_while_the_disk_of_its_holder_hangs() {
    let cluster = Cluster::bootstrap(3, 12).await;
    let (first, fencing_token) = next_holder(&cluster, &NODES).await;
    cluster.hang_disk(first, true);
    let hung_at = Instant::now();
    let (second, new_token) = next_holder(&cluster, &other_nodes(3, first)).await;
    assert!(new_token > fencing_token, "{first}: {fencing_token}, {second}: {new_token}");
    assert!(hung_at.elapsed() < LEASE * 3, "after {:?}", hung_at.elapsed());
}

#[tokio::test(start_paused = true)]
async fn member_grants_no_pre_vote_while_its_disk_hangs() {
    let cluster = Cluster::bootstrap(3, 13).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    let request = PreVoteRequest { key: state_machine::CONFIG.into(), membership: 1 };
    let grants_pre_vote = || cluster.controller(2).consensus().pre_vote(&request).granted;
    assert!(grants_pre_vote());
    cluster.hang_disk(2, true);
    cluster.wait_until_settled().await;
    assert!(!grants_pre_vote());
    cluster.hang_disk(2, false);
    cluster.wait_until_settled().await;
    assert!(grants_pre_vote());
}
