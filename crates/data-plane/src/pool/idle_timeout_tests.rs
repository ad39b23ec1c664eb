//! Tests of `idle_timeout`.

use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn forgetting_shortens_the_safe_rest_and_time_brings_it_back() {
    let (idle_timeout, start) = (IdleTimeout::default(), Instant::now());
    assert_eq!(idle_timeout.safe_idle_time(start), constants::IDLE_TIMEOUT_DEFAULT);
    idle_timeout.record_idle_close(ms(1000), start);
    assert_eq!(idle_timeout.safe_idle_time(start), ms(600));
    idle_timeout.record_idle_close(ms(1500), start);
    assert_eq!(idle_timeout.safe_idle_time(start), ms(600), "a longer life tells nothing new");
    assert_eq!(
        idle_timeout.safe_idle_time(start + constants::IDLE_TIMEOUT_DOUBLING_PERIOD),
        ms(1200)
    );
    let later = start + constants::IDLE_TIMEOUT_DOUBLING_PERIOD * 20;
    assert_eq!(idle_timeout.safe_idle_time(later), constants::IDLE_TIMEOUT_DEFAULT);
}

#[test]
fn never_shorter_than_the_least_and_not_by_busy_connections() {
    let (idle_timeout, now) = (IdleTimeout::default(), Instant::now());
    idle_timeout.record_idle_close(constants::IDLE_TIMEOUT_MIN - ms(1), now);
    assert_eq!(idle_timeout.safe_idle_time(now), constants::IDLE_TIMEOUT_DEFAULT);
    idle_timeout.record_idle_close(constants::IDLE_TIMEOUT_MIN, now);
    assert_eq!(idle_timeout.safe_idle_time(now), constants::IDLE_TIMEOUT_MIN);
}

#[test]
fn proven_lives_lengthen_it_little_by_little() {
    let (idle_timeout, now) = (IdleTimeout::default(), Instant::now());
    let mut last = idle_timeout.safe_idle_time(now);
    for _ in 0..50 {
        idle_timeout.record_reuse(ms(3500), now);
        let safe = idle_timeout.safe_idle_time(now);
        assert!(safe >= last && safe <= ms(3500));
        last = safe;
    }
    assert!(last > ms(3400), "{last:?}");
    idle_timeout.record_reuse(ms(10), now);
    assert_eq!(idle_timeout.safe_idle_time(now), last);
}

#[test]
fn services_learn_apart() {
    let idle_timeouts = IdleTimeouts::default();
    let now = Instant::now();
    idle_timeouts.of("a").record_idle_close(ms(500), now);
    assert_eq!(idle_timeouts.of("a").safe_idle_time(now), ms(300));
    assert_eq!(idle_timeouts.of("b").safe_idle_time(now), constants::IDLE_TIMEOUT_DEFAULT);
}
