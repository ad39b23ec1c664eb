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

#[test]
fn an_engine_is_in_the_subsets_of_as_many_routers_however_many_there_are() {
    for (routers, engines) in [(78, 140), (300, 240), (300, 3000), (2000, 240)] {
        let size = Subset::among(routers, IDLE).size(engines);
        let least = constants::SUBSET_ENGINES_LEAST;
        let subsets = (size * routers) as f64 / engines as f64;
        let wanted = constants::SUBSET_ROUTERS as f64;
        assert!(
            size == least || (wanted..wanted * 1.5).contains(&subsets),
            "{routers}, {engines}: {size}"
        );
        assert!(size >= least && size <= engines);
    }
}

#[test]
fn few_routers_or_engines_have_them_all() {
    assert_eq!(Subset::among(9, IDLE).size(18), 18);
    assert_eq!(Subset::among(300, IDLE).size(5), 5);
    assert_eq!(Subset::among(300, IDLE).size(0), 0);
}

#[test]
fn a_subset_ends_at_its_last_engine_and_is_filled_from_those_that_are_left() {
    let subset = Subset::among(2000, IDLE);
    let distances: Vec<f64> = (0..100).rev().map(|n| f64::from(n) / 100.0).collect();
    let inside = |distances: &[f64]| {
        let border = subset.border(distances.to_vec());
        distances.iter().filter(|distance| **distance <= border).count()
    };
    assert_eq!(inside(&distances), constants::SUBSET_ENGINES_LEAST);
    assert_eq!(
        inside(&distances[..50]),
        constants::SUBSET_ENGINES_LEAST,
        "the first ones have gone"
    );
    assert_eq!(subset.border(Vec::new()), 0.0);
}
