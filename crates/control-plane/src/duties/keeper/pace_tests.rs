//! Tests of `pace`.

use super::*;
use std::time::Duration;

/// All routers of a large site ask a new keeper at the same time.
const ROUTERS: usize = 78;

fn given_at_once(bytes: usize) -> usize {
    let mut pace = Pace::default();
    let now = Instant::now();
    (0..ROUTERS).filter(|_| pace.give(now, bytes)).count()
}

#[test]
fn what_a_new_keeper_gives_at_once_is_bounded_in_bytes() {
    assert_eq!(given_at_once(1000), ROUTERS, "small ones go to all");
    for bytes in [50_000, 500_000, constants::REFILL_UNDERWAY] {
        let given = given_at_once(bytes);
        assert!(given >= 1 && given * bytes <= constants::REFILL_UNDERWAY, "{given} of {bytes}");
    }
    assert_eq!(given_at_once(constants::REFILL_UNDERWAY * 2), 1, "a huge one goes alone");
}

#[test]
fn all_routers_get_theirs_at_the_rate_of_the_line() {
    let bytes = 400_000;
    let mut pace = Pace::default();
    let start = Instant::now();
    let mut now = start;
    let mut given = 0;
    while given < ROUTERS {
        given += usize::from(pace.give(now, bytes));
        now += Duration::from_millis(10);
    }
    let took = (now - start).as_millis() as usize;
    let line = ROUTERS * bytes / constants::REFILL_BYTES_PER_MS;
    assert!(took >= line / 2 && took <= line + 1000, "{took} ms, the line takes {line}");
}
