//! Tests of `stream_pace`.

use super::*;

#[test]
fn a_response_is_expected_to_take_as_long_as_its_tokens_did_before() {
    let paces = StreamPaces::default();
    assert_eq!(paces.expected("s", 100), None, "nothing was seen");
    paces.record("s", 50, Duration::from_secs(2));
    assert_eq!(paces.expected("s", 100), Some(Duration::from_secs(4)));
    assert_eq!(paces.expected("t", 100), None, "another service");
}

#[test]
fn one_slow_response_moves_the_mean_a_little_and_many_move_it_all_the_way() {
    let paces = StreamPaces::default();
    paces.record("s", 10, Duration::from_secs(1));
    paces.record("s", 10, Duration::from_secs(10));
    let after_one = paces.expected("s", 10).unwrap();
    assert!(after_one > Duration::from_secs(1) && after_one < Duration::from_secs(2));
    for _ in 0..200 {
        paces.record("s", 10, Duration::from_secs(10));
    }
    assert!(paces.expected("s", 10).unwrap() > Duration::from_millis(9900));
}

#[test]
fn a_request_that_declares_no_tokens_teaches_nothing() {
    let paces = StreamPaces::default();
    paces.record("s", 0, Duration::from_secs(1));
    assert_eq!(paces.expected("s", 10), None);
}
