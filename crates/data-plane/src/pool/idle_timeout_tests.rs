use super::*;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn idle_closes_lower_the_safe_idle_time_and_it_recovers_over_time() {
    let (idle_timeout, start) = (IdleTimeout::default(), Instant::now());
    assert_eq!(idle_timeout.safe_idle_time(start), constants::IDLE_TIMEOUT_DEFAULT);
    idle_timeout.record_idle_close(ms(1000), start);
    assert_eq!(idle_timeout.safe_idle_time(start), ms(600));
    idle_timeout.record_idle_close(ms(1500), start);
    assert_eq!(
        idle_timeout.safe_idle_time(start),
        ms(600),
        "a close after a longer idle time changes nothing"
    );
    assert_eq!(
        idle_timeout.safe_idle_time(start + constants::IDLE_TIMEOUT_DOUBLING_PERIOD),
        ms(1200)
    );
    let later = start + constants::IDLE_TIMEOUT_DOUBLING_PERIOD * 20;
    assert_eq!(idle_timeout.safe_idle_time(later), constants::IDLE_TIMEOUT_DEFAULT);
}

#[test]
fn estimate_has_a_minimum_and_ignores_shorter_idle_times() {
    let (idle_timeout, now) = (IdleTimeout::default(), Instant::now());
    idle_timeout.record_idle_close(constants::IDLE_TIMEOUT_MIN - ms(1), now);
    assert_eq!(idle_timeout.safe_idle_time(now), constants::IDLE_TIMEOUT_DEFAULT);
    idle_timeout.record_idle_close(constants::IDLE_TIMEOUT_MIN, now);
    assert_eq!(idle_timeout.safe_idle_time(now), constants::IDLE_TIMEOUT_MIN);
}

#[test]
fn successful_reuse_raises_the_estimate_gradually() {
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
fn services_have_separate_estimates() {
    let idle_timeouts = IdleTimeouts::default();
    let now = Instant::now();
    idle_timeouts.for_service("a").record_idle_close(ms(500), now);
    assert_eq!(idle_timeouts.for_service("a").safe_idle_time(now), ms(300));
    assert_eq!(idle_timeouts.for_service("b").safe_idle_time(now), constants::IDLE_TIMEOUT_DEFAULT);
}
