use super::*;

/// Indices of the engines that are retained; each is given by whether its heartbeats are missed and by its health.
fn retained(engines: &[(bool, Health)]) -> Vec<usize> {
    let candidate = |(endpoint, (heartbeat_missed, health)): (usize, &(bool, Health))| Candidate {
        endpoint,
        version: None,
        draining_streams: false,
        liveness: Liveness::of(*heartbeat_missed, *health),
    };
    let mut candidates: Vec<Candidate> = engines.iter().enumerate().map(candidate).collect();
    retain_best_liveness(&mut candidates);
    candidates.iter().map(|candidate| candidate.endpoint).collect()
}

#[test]
fn if_all_engines_miss_heartbeats_those_whose_connections_broke_are_dropped() {
    use Health::{Ejected, Healthy, Unproven};
    assert_eq!(retained(&[(true, Healthy), (true, Ejected), (true, Healthy)]), [0, 2]);
    assert_eq!(retained(&[(true, Healthy), (true, Unproven)]), [0]);
    assert_eq!(retained(&[(true, Ejected), (false, Ejected), (true, Healthy)]), [1, 2]);
}

#[test]
fn engines_with_heartbeats_that_are_not_ejected_are_preferred() {
    use Health::{Ejected, Healthy, Unproven};
    assert_eq!(retained(&[(true, Healthy), (false, Healthy), (false, Ejected)]), [1]);
    assert_eq!(retained(&[(true, Healthy), (false, Unproven), (true, Unproven)]), [1]);
}

#[test]
fn probably_dead_engines_are_kept_if_there_are_no_others() {
    assert_eq!(retained(&[(true, Health::Ejected), (true, Health::Unproven)]), [0, 1]);
}
