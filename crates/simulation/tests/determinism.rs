//! A seed determines the whole history of a run.

use simulation::fault::{FaultMix, Plan};

#[test]
fn a_seed_always_gives_the_same_history() {
    for mix in [FaultMix::All, FaultMix::SecondLoss] {
        let plan = Plan::random(41, mix);
        let first = simulation::run(&plan, None).expect("runtime starts");
        let again = simulation::run(&plan, None).expect("runtime starts");
        assert!(first.history.writes.len() > 20, "{} updates", first.history.writes.len());
        assert_eq!(first.history.fingerprint(), again.history.fingerprint());
    }
}

#[test]
fn different_seeds_give_different_histories() {
    let fingerprint = |seed| {
        let plan = Plan::random(seed, FaultMix::Isolation);
        simulation::run(&plan, None).expect("runtime starts").history.fingerprint()
    };
    assert_ne!(fingerprint(1), fingerprint(2));
}
