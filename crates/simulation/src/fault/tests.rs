//! Plans drawn from seeds.

use super::*;

#[test]
fn a_seed_always_gives_the_same_plan() {
    for mix in FaultMix::VARIANTS {
        assert_eq!(Plan::random(7, mix), Plan::random(7, mix));
        assert_ne!(Plan::random(7, mix), Plan::random(8, mix));
    }
}

#[test]
fn a_plan_survives_serialization() {
    let plan = Plan::random(11, FaultMix::All);
    let text = serde_json::to_string(&plan).expect("plan serializes");
    assert_eq!(serde_json::from_str::<Plan>(&text).expect("plan deserializes"), plan);
}

#[test]
fn concurrent_losses_stay_within_the_limit() {
    for seed in 0..300 {
        let plan = Plan::random(seed, FaultMix::All);
        for at in (0..60_000).step_by(50) {
            let lost: std::collections::BTreeSet<usize> = plan
                .faults
                .iter()
                .filter(|f| f.from_ms <= at && at < f.end_ms() + constants::CATCH_UP_MS)
                .filter_map(|f| f.kind.unavailable_machine())
                .collect();
            assert!(lost.len() <= plan.max_losses(), "seed {seed} at {at}: {lost:?}");
        }
    }
}

#[test]
fn a_replaced_machine_has_no_later_fault() {
    for seed in 0..300 {
        let plan = Plan::random(seed, FaultMix::SecondLoss);
        for removal in &plan.faults {
            let FaultKind::Replace { machine } = removal.kind else { continue };
            let later = |fault: &&Fault| {
                fault.kind.unavailable_machine() == Some(machine) && fault.from_ms > removal.from_ms
            };
            assert_eq!(plan.faults.iter().find(later), None, "seed {seed}");
        }
    }
}

#[test]
fn mixes_are_parsed_from_their_names() {
    for mix in FaultMix::VARIANTS {
        assert_eq!(mix.name().parse::<FaultMix>().ok(), Some(mix));
    }
    assert!("nonesuch".parse::<FaultMix>().is_err());
}
