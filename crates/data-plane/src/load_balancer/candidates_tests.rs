//! Tests of `candidates`.

use super::*;

/// Rows that stay of these engines, each told as silent or not and with what its connections tell.
fn retained(engines: &[(bool, Health)]) -> Vec<usize> {
    let candidate = |(endpoint, (heartbeat_missed, health)): (usize, &(bool, Health))| Candidate {
        endpoint,
        version: None,
        draining_streams: false,
        liveness: Liveness::of(*heartbeat_missed, *health),
    };
    let mut found: Vec<Candidate> = engines.iter().enumerate().map(candidate).collect();
    retain_liveliest(&mut found);
    found.iter().map(|candidate| candidate.endpoint).collect()
}

#[test]
fn where_no_engine_is_heard_those_that_broke_and_served_nothing_since_are_left_out() {
    use Health::{Ejected, Sound, Unproven};
    assert_eq!(retained(&[(true, Sound), (true, Ejected), (true, Sound)]), [0, 2]);
    assert_eq!(retained(&[(true, Sound), (true, Unproven)]), [0]);
    assert_eq!(retained(&[(true, Ejected), (false, Ejected), (true, Sound)]), [1, 2]);
}

#[test]
fn an_engine_that_is_heard_and_does_not_rest_goes_before_all_others() {
    use Health::{Ejected, Sound, Unproven};
    assert_eq!(retained(&[(true, Sound), (false, Sound), (false, Ejected)]), [1]);
    assert_eq!(retained(&[(true, Sound), (false, Unproven), (true, Unproven)]), [1]);
}

#[test]
fn the_likely_dead_are_tried_where_there_are_no_others() {
    assert_eq!(retained(&[(true, Health::Ejected), (true, Health::Unproven)]), [0, 1]);
}
