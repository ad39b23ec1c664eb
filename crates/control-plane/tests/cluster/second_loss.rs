//! A second loss after the first one was made good, where no two machines share a zone.

use super::{Cluster, read_everywhere, replace};
use std::time::Duration;

/// As the settings have it where they name none: a removed machine counts as lost until its successor
/// has run for so long.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Three members and one that has stood by since long.
async fn with_standby(seed: u64) -> Cluster {
    let mut cluster = Cluster::found(3, seed).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.start_empty(4).await;
    cluster.wait_until_settled().await;
    assert_eq!(cluster.members(1), [1, 2, 3]);
    cluster
}

/// Each member is the first to go in turn; the successor comes up to 2.5 s after.
#[tokio::test(start_paused = true)]
async fn a_successor_has_its_place_when_the_lost_one_stops_counting() {
    for (first, second) in [(1, 2), (2, 1), (3, 1), (2, 3)] {
        for successor_after in [100, 1200, 2261].map(Duration::from_millis) {
            let mut cluster = with_standby(104).await;
            cluster.crash(first);
            tokio::time::sleep(successor_after).await;
            cluster.start_empty(5).await;
            tokio::time::sleep(CATCH_UP).await;
            cluster.crash(second);
            let survivor = 6 - first - second;
            replace(&cluster, survivor, 7, 8).await;
            read_everywhere(&cluster, &[survivor, 5], 8).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_stand_by_takes_no_place_of_a_member_that_restarts_within_seconds() {
    let mut cluster = with_standby(105).await;
    for member in [1, 2, 3] {
        cluster.crash(member);
        tokio::time::sleep(Duration::from_secs(5)).await;
        cluster.start(member).await;
        cluster.wait_until_settled().await;
        assert_eq!(cluster.members(member), [1, 2, 3]);
    }
}
