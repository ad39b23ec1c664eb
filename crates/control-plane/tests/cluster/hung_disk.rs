//! A disk that hangs refuses nothing: its member must find out by itself that it can't vote.

use super::leases::{LEASE, next_holder, others};
use super::{Cluster, read_everywhere, replace, sheet};
use control_plane::consensus::state_machine;
use control_plane::service::configuration;
use fleet_core::wire::PreVoteRequest;
use std::time::Duration;
use tokio::time::Instant;

/// Time in which an operator hears of a change, before it goes on to another node.
const ANSWERED: Duration = Duration::from_secs(1);
const NODES: [usize; 3] = [1, 2, 3];

/// One order and its answer; nothing is sent again.
async fn replace_once(cluster: &Cluster, node: usize, base: u64, version: u64) {
    let base = base.to_string();
    let begun = Instant::now();
    let answer =
        configuration::replace(cluster.controller(node).consensus(), Some(&base), sheet(version))
            .await;
    let took = begun.elapsed();
    assert_eq!(answer.map(|taken| taken.version).ok(), Some(version), "n{node} after {took:?}");
    assert!(took < ANSWERED, "n{node} answered after {took:?}");
}

async fn owner_hangs(submitted_at: usize, hangs_for: Duration) -> Cluster {
    let cluster = Cluster::found(3, 11).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    cluster.hang_disk(1, true);
    tokio::time::sleep(hangs_for).await;
    replace_once(&cluster, submitted_at, 7, 8).await;
    replace_once(&cluster, submitted_at, 8, 9).await;
    cluster
}

/// Also in the moment in which it begins to hang, when nobody can know of it yet.
#[tokio::test(start_paused = true)]
async fn a_change_is_acknowledged_within_a_second_while_its_owners_disk_hangs() {
    for node in NODES {
        for hangs_for in [0, 200, 600, 5000].map(Duration::from_millis) {
            let cluster = owner_hangs(node, hangs_for).await;
            read_everywhere(&cluster, &[2, 3], 9).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_lost_when_a_hung_disk_works_again() {
    for node in NODES {
        let mut cluster = owner_hangs(node, Duration::from_secs(2)).await;
        cluster.hang_disk(1, false);
        cluster.wait_until_settled().await;
        read_everywhere(&cluster, &NODES, 9).await;
        cluster.crash(2);
        replace(&cluster, 1, 9, 10).await;
        read_everywhere(&cluster, &[1, 3], 10).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_hung_disk_and_its_end_are_logged_once() {
    let cluster = owner_hangs(1, Duration::from_secs(5)).await;
    cluster.hang_disk(1, false);
    cluster.wait_until_settled().await;
    let lines = cluster.trace.lines();
    let logged = |text| lines.iter().filter(|line| line.ends_with(text)).count();
    assert_eq!(logged("n1 disk write failed or hangs"), 1);
    assert_eq!(logged("n1 disk writes succeed again"), 1);
}

#[tokio::test(start_paused = true)]
async fn the_holder_of_a_duty_lets_it_go_while_its_disk_hangs() {
    let cluster = Cluster::found(3, 12).await;
    let (first, fencing_token) = next_holder(&cluster, &NODES).await;
    cluster.hang_disk(first, true);
    let hung = Instant::now();
    let (second, higher) = next_holder(&cluster, &others(3, first)).await;
    assert!(higher > fencing_token, "{first}: {fencing_token}, {second}: {higher}");
    assert!(hung.elapsed() < LEASE * 3, "after {:?}", hung.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_member_takes_part_in_no_election_while_its_disk_hangs() {
    let cluster = Cluster::found(3, 13).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.wait_until_settled().await;
    let request = PreVoteRequest { key: state_machine::CONFIG.into(), membership: 1 };
    let willing = || cluster.controller(2).consensus().pre_vote(&request).ok;
    assert!(willing());
    cluster.hang_disk(2, true);
    cluster.wait_until_settled().await;
    assert!(!willing());
    cluster.hang_disk(2, false);
    cluster.wait_until_settled().await;
    assert!(willing());
}
