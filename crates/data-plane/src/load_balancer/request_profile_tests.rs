//! Tests of `request_profile`.

use super::*;

const IDLE: Duration = Duration::from_secs(2);

#[test]
fn a_router_alone_has_no_subset() {
    assert_eq!(Subset::among(1, IDLE).ms(1.0, true), 0.0);
    assert_eq!(Subset::among(0, IDLE).ms(1.0, true), 0.0);
}

#[test]
fn the_subset_weighs_more_the_more_routers_there_are_and_never_more_than_its_bound() {
    let weights = [2, 10, 80, 300, 100_000].map(|n| Subset::among(n, IDLE).ms(1.0, true));
    assert!(weights.is_sorted() && weights[0] > 0.0, "{weights:?}");
    assert!(weights.iter().all(|ms| *ms <= constants::SUBSET_SPREAD_MS), "{weights:?}");
}

#[test]
fn an_idle_connection_costs_less_than_a_new_one_at_the_same_distance() {
    let subset = Subset::among(300, IDLE);
    assert_eq!(subset.ms(0.3, false) - subset.ms(0.3, true), constants::NEW_CONNECTION_COST_MS);
}
