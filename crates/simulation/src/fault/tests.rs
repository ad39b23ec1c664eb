//! Plans drawn from seeds.

use super::*;

#[test]
fn a_seed_draws_the_same_plan_again() {
    for point in Point::EVERY {
        assert_eq!(Plan::random(7, point), Plan::random(7, point));
        assert_ne!(Plan::random(7, point), Plan::random(8, point));
    }
}

#[test]
fn a_plan_is_read_back_as_it_was_written() {
    let plan = Plan::random(11, Point::All);
    let text = serde_json::to_string(&plan).expect("a plan can be written");
    assert_eq!(serde_json::from_str::<Plan>(&text).expect("and read"), plan);
}

#[test]
fn no_more_machines_are_lost_at_once_than_may_be() {
    for seed in 0..300 {
        let plan = Plan::random(seed, Point::All);
        for at in (0..60_000).step_by(50) {
            let lost: std::collections::BTreeSet<usize> = plan
                .faults
                .iter()
                .filter(|f| f.from_ms <= at && at < f.until_ms() + constants::CATCH_UP_MS)
                .filter_map(|f| f.kind.machine_lost())
                .collect();
            assert!(lost.len() <= plan.losses(), "seed {seed} at {at}: {lost:?}");
        }
    }
}

#[test]
fn a_machine_that_is_gone_has_no_later_fault() {
    for seed in 0..300 {
        let plan = Plan::random(seed, Point::SecondLoss);
        for removal in &plan.faults {
            let FaultKind::Replace { machine } = removal.kind else { continue };
            let later = |fault: &&Fault| {
                fault.kind.machine_lost() == Some(machine) && fault.from_ms > removal.from_ms
            };
            assert_eq!(plan.faults.iter().find(later), None, "seed {seed}");
        }
    }
}

#[test]
fn points_are_named_as_on_the_command_line() {
    for point in Point::EVERY {
        assert_eq!(point.name().parse::<Point>().ok(), Some(point));
    }
    assert!("nonesuch".parse::<Point>().is_err());
}
