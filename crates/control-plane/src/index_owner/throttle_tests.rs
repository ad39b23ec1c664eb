//! Tests of `throttle`: all routers of a large site request a snapshot from a new index owner at the same time.

use super::*;
use std::time::Duration;

/// Number of routers of a large site, all of which request a snapshot from a new index owner at the same time.
const ROUTERS: usize = 78;

fn sent_at_once(bytes: usize) -> usize {
    let mut throttle = SnapshotThrottle::default();
    let now = Instant::now();
    (0..ROUTERS).filter(|_| throttle.try_acquire(now, bytes)).count()
}

#[test]
fn snapshots_in_flight_of_a_new_index_owner_are_bounded_in_bytes() {
    assert_eq!(sent_at_once(1000), ROUTERS, "small snapshots are sent to all");
    for bytes in [50_000, 500_000, constants::SNAPSHOT_BYTES_IN_FLIGHT] {
        let sent = sent_at_once(bytes);
        assert!(
            sent >= 1 && sent * bytes <= constants::SNAPSHOT_BYTES_IN_FLIGHT,
            "{sent} of {bytes}"
        );
    }
    assert_eq!(
        sent_at_once(constants::SNAPSHOT_BYTES_IN_FLIGHT * 2),
        1,
        "a snapshot above the limit is sent alone"
    );
}

#[test]
fn all_routers_get_a_snapshot_at_the_configured_rate() {
    let bytes = 400_000;
    let mut throttle = SnapshotThrottle::default();
    let start = Instant::now();
    let mut now = start;
    let mut sent = 0;
    while sent < ROUTERS {
        sent += usize::from(throttle.try_acquire(now, bytes));
        now += Duration::from_millis(10);
    }
    let took_ms = (now - start).as_millis() as usize;
    let expected_ms = ROUTERS * bytes / constants::SNAPSHOT_BYTES_PER_MS;
    assert!(
        took_ms >= expected_ms / 2 && took_ms <= expected_ms + 1000,
        "{took_ms} ms, expected about {expected_ms} ms"
    );
}
