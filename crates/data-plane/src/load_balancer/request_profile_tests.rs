//! Tests of `request_profile`: the cost of distance and the choice of engine subsets.

use super::*;

const MAX_IDLE: Duration = Duration::from_secs(2);

#[test]
fn distance_costs_nothing_for_a_single_router() {
    assert_eq!(Subset::new(1, MAX_IDLE).cost_ms(1.0, true), 0.0);
    assert_eq!(Subset::new(0, MAX_IDLE).cost_ms(1.0, true), 0.0);
}

#[test]
fn distance_cost_grows_with_the_number_of_routers_up_to_a_limit() {
    let costs = [2, 10, 80, 300, 100_000].map(|n| Subset::new(n, MAX_IDLE).cost_ms(1.0, true));
    assert!(costs.is_sorted() && costs[0] > 0.0, "{costs:?}");
    assert!(costs.iter().all(|ms| *ms <= constants::SUBSET_DISTANCE_COST_MS), "{costs:?}");
}

#[test]
fn an_idle_connection_costs_less_than_a_new_one_at_the_same_distance() {
    let subset = Subset::new(300, MAX_IDLE);
    assert_eq!(
        subset.cost_ms(0.3, false) - subset.cost_ms(0.3, true),
        constants::NEW_CONNECTION_COST_MS
    );
}

#[test]
fn each_engine_is_in_the_subsets_of_about_the_same_number_of_routers() {
    for (routers, engines) in [(78, 140), (300, 240), (300, 3000), (2000, 240)] {
        let size = Subset::new(routers, MAX_IDLE).size(engines);
        let min_size = constants::SUBSET_MIN_ENGINES;
        let subsets_per_engine = (size * routers) as f64 / engines as f64;
        let expected = constants::SUBSET_ROUTERS_PER_ENGINE as f64;
        assert!(
            size == min_size || (expected..expected * 1.5).contains(&subsets_per_engine),
            "{routers}, {engines}: {size}"
        );
        assert!(size >= min_size && size <= engines);
    }
}

#[test]
fn a_subset_holds_all_engines_if_routers_or_engines_are_few() {
    assert_eq!(Subset::new(9, MAX_IDLE).size(18), 18);
    assert_eq!(Subset::new(300, MAX_IDLE).size(5), 5);
    assert_eq!(Subset::new(300, MAX_IDLE).size(0), 0);
}

#[test]
fn a_subset_has_a_fixed_size_and_is_refilled_from_the_remaining_engines() {
    let subset = Subset::new(2000, MAX_IDLE);
    let distances: Vec<f64> = (0..100).rev().map(|n| f64::from(n) / 100.0).collect();
    let inside = |distances: &[f64]| {
        let max_distance = subset.max_distance(distances.to_vec());
        distances.iter().filter(|distance| **distance <= max_distance).count()
    };
    assert_eq!(inside(&distances), constants::SUBSET_MIN_ENGINES);
    assert_eq!(
        inside(&distances[..50]),
        constants::SUBSET_MIN_ENGINES,
        "the nearest engines are no longer candidates"
    );
    assert_eq!(subset.max_distance(Vec::new()), 0.0);
}
