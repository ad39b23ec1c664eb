use super::{Disruption, draw_disruptions};
use std::time::Duration;

const SPAN: Duration = Duration::from_secs(10);

#[test]
fn a_seed_determines_the_disruptions() {
    let drawn = |seed| draw_disruptions(&mut fastrand::Rng::with_seed(seed), 5, SPAN);
    assert_eq!(drawn(1), drawn(1));
    assert_ne!(drawn(1), drawn(2));
}

#[test]
fn every_run_has_a_departure_before_all_controllers_are_killed() {
    for seed in 0..50 {
        let planned = draw_disruptions(&mut fastrand::Rng::with_seed(seed), 5, SPAN);
        assert!(planned.is_sorted_by_key(|planned| planned.at), "seed {seed}");
        let departs =
            planned.iter().position(|p| matches!(p.disruption, Disruption::ReplaceEngine { .. }));
        let killed = planned
            .iter()
            .rposition(|p| matches!(p.disruption, Disruption::KillControllers { .. }));
        assert!(departs < killed, "seed {seed}: {planned:?}");
    }
}
