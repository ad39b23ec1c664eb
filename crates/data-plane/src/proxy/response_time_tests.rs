use super::*;

#[test]
fn estimate_is_proportional_to_the_output_tokens() {
    let times = ResponseTimes::default();
    assert_eq!(times.estimate("s", 100), None, "no samples");
    times.record("s", 50, Duration::from_secs(2));
    assert_eq!(times.estimate("s", 100), Some(Duration::from_secs(4)));
    assert_eq!(times.estimate("t", 100), None, "another service");
}

#[test]
fn one_slow_response_moves_the_mean_slightly_and_many_move_it_fully() {
    let times = ResponseTimes::default();
    times.record("s", 10, Duration::from_secs(1));
    times.record("s", 10, Duration::from_secs(10));
    let after_one = times.estimate("s", 10).unwrap();
    assert!(after_one > Duration::from_secs(1) && after_one < Duration::from_secs(2));
    for _ in 0..200 {
        times.record("s", 10, Duration::from_secs(10));
    }
    assert!(times.estimate("s", 10).unwrap() > Duration::from_millis(9900));
}

#[test]
fn requests_without_declared_tokens_are_ignored() {
    let times = ResponseTimes::default();
    times.record("s", 0, Duration::from_secs(1));
    assert_eq!(times.estimate("s", 10), None);
}
