//! Loss of a second machine after the first one was replaced, with each machine in a zone of its own.

use super::{Cluster, assert_config_at, replace};
use std::time::Duration;

/// Default catch-up time of the settings: a removed machine counts as lost until its successor has run for this
/// long.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Three members and a settled standby node.
async fn with_standby(seed: u64) -> Cluster {
    let mut cluster = Cluster::bootstrap(3, seed).await;
    replace(&cluster, 1, 0, 7).await;
    cluster.start_empty(4).await;
    cluster.wait_until_settled().await;
    assert_eq!(cluster.members(1), [1, 2, 3]);
    cluster
}

/// Each member is lost first in turn; its successor starts up to 2.3 s later.
#[tokio::test(start_paused = true)]
async fn successor_is_a_member_when_the_lost_machine_stops_counting() {
    for (first, second) in [(1, 2), (2, 1), (3, 1), (2, 3)] {
        for successor_delay in [100, 1200, 2261].map(Duration::from_millis) {
            let mut cluster = with_standby(104).await;
            cluster.crash(first);
            tokio::time::sleep(successor_delay).await;
            cluster.start_empty(5).await;
            tokio::time::sleep(CATCH_UP).await;
            cluster.crash(second);
            let survivor = 6 - first - second;
            replace(&cluster, survivor, 7, 8).await;
            assert_config_at(&cluster, &[survivor, 5], 8).await;
        }
    }
}

#[tokio::test(start_paused = true)]
async fn standby_does_not_replace_a_member_that_restarts_within_seconds() {
    let mut cluster = with_standby(105).await;
    for member in [1, 2, 3] {
        cluster.crash(member);
        tokio::time::sleep(Duration::from_secs(5)).await;
        cluster.start(member).await;
        cluster.wait_until_settled().await;
        assert_eq!(cluster.members(member), [1, 2, 3]);
    }
}
