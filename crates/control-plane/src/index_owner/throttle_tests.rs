//! Tests of `throttle`.

use super::*;
use std::time::Duration;

/// All routers of a large site ask a new keeper at the same time.
const ROUTERS: usize = 78;

fn sent_at_once(bytes: usize) -> usize {
    let mut throttle = SnapshotThrottle::default();
    let now = Instant::now();
    (0..ROUTERS).filter(|_| throttle.try_acquire(now, bytes)).count()
}

#[test]
fn what_a_new_keeper_gives_at_once_is_bounded_in_bytes() {
    assert_eq!(sent_at_once(1000), ROUTERS, "small ones go to all");
    for bytes in [50_000, 500_000, constants::REFILL_UNDERWAY] {
        let sent = sent_at_once(bytes);
        assert!(sent >= 1 && sent * bytes <= constants::REFILL_UNDERWAY, "{sent} of {bytes}");
    }
    assert_eq!(sent_at_once(constants::REFILL_UNDERWAY * 2), 1, "a huge one goes alone");
}

#[test]
fn all_routers_get_theirs_at_the_rate_of_the_line() {
    let bytes = 400_000;
    let mut throttle = SnapshotThrottle::default();
    let start = Instant::now();
    let mut now = start;
    let mut sent = 0;
    while sent < ROUTERS {
        sent += usize::from(throttle.try_acquire(now, bytes));
        now += Duration::from_millis(10);
    }
    let took = (now - start).as_millis() as usize;
    let client = ROUTERS * bytes / constants::REFILL_BYTES_PER_MS;
    assert!(took >= client / 2 && took <= client + 1000, "{took} ms, the line takes {client}");
}
