//! Tests of `idle_life`.

use super::*;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

#[test]
fn forgetting_shortens_the_safe_rest_and_time_brings_it_back() {
    let (life, start) = (IdleLife::default(), Instant::now());
    assert_eq!(life.safe_rest(start), constants::IDLE_LIFE_UNPROVEN);
    life.forgotten_after(ms(1000), start);
    assert_eq!(life.safe_rest(start), ms(600));
    life.forgotten_after(ms(1500), start);
    assert_eq!(life.safe_rest(start), ms(600), "a longer life tells nothing new");
    assert_eq!(life.safe_rest(start + constants::IDLE_LIFE_DOUBLES), ms(1200));
    let later = start + constants::IDLE_LIFE_DOUBLES * 20;
    assert_eq!(life.safe_rest(later), constants::IDLE_LIFE_UNPROVEN);
}

#[test]
fn never_shorter_than_the_least_and_not_by_busy_connections() {
    let (life, now) = (IdleLife::default(), Instant::now());
    life.forgotten_after(constants::IDLE_LIFE_LEAST - ms(1), now);
    assert_eq!(life.safe_rest(now), constants::IDLE_LIFE_UNPROVEN);
    life.forgotten_after(constants::IDLE_LIFE_LEAST, now);
    assert_eq!(life.safe_rest(now), constants::IDLE_LIFE_LEAST);
}

#[test]
fn proven_lives_lengthen_it_little_by_little() {
    let (life, now) = (IdleLife::default(), Instant::now());
    let mut last = life.safe_rest(now);
    for _ in 0..50 {
        life.served_after(ms(3500), now);
        let safe = life.safe_rest(now);
        assert!(safe >= last && safe <= ms(3500));
        last = safe;
    }
    assert!(last > ms(3400), "{last:?}");
    life.served_after(ms(10), now);
    assert_eq!(life.safe_rest(now), last);
}

#[test]
fn services_learn_apart() {
    let lives = IdleLives::default();
    let now = Instant::now();
    lives.of("a").forgotten_after(ms(500), now);
    assert_eq!(lives.of("a").safe_rest(now), ms(300));
    assert_eq!(lives.of("b").safe_rest(now), constants::IDLE_LIFE_UNPROVEN);
}
