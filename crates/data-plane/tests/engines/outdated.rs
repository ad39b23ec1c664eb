//! A request that waits at an engine with older weights is taken back before the bound.

use super::harness::{
    Fleet, StubEngine, Then, complete, engine_state, pass, request, status, until,
};
use fleet_core::constants;
use fleet_core::wire::{FleetUpdate, TargetWeights, Weights};
use std::time::Duration;

/// `versionMs` of the harness's deployment.
const BOUND: Duration = Duration::from_secs(8);

/// Names version 3, so that the harness's engines have older weights.
fn name_newer_weights(fleet: &Fleet) {
    let weights = vec![TargetWeights { model: "m".into(), version: 3, age_ms: 0 }];
    fleet.router.fleet_view.apply(&FleetUpdate { weights, ..Default::default() });
}

/// Sends a request to an engine that stays silent, and lets the bound of its weights pass; the answer, and how many
/// requests reached an engine with the newest weights.
async fn answer_past_the_bound(path: &str) -> (u16, usize) {
    let silent = StubEngine::start("e1", |_, _| (Vec::new(), Then::Keep)).await;
    let updated = StubEngine::start("e2", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let fleet = Fleet::start(&[&silent]).await;
    name_newer_weights(&fleet);
    let request = request(path, "");
    let sending = fleet.raw(request.as_bytes());
    let passing = async {
        until(|| silent.arrivals() == 1).await;
        let mut newest = engine_state(&updated);
        newest.weights = vec![Weights { model: "m".into(), version: 3 }];
        fleet.router.fleet_view.apply(&FleetUpdate { engines: vec![newest], ..Default::default() });
        pass(BOUND - constants::VERSION_CUTOFF).await;
    };
    let (answer, ()) = tokio::join!(sending, passing);
    assert_eq!(silent.arrivals(), 1);
    (status(&answer), updated.arrivals())
}

#[tokio::test]
async fn what_may_run_twice_goes_to_an_engine_with_the_newest_weights() {
    assert_eq!(answer_past_the_bound("/safe/").await, (200, 1));
}

#[tokio::test]
async fn what_may_run_only_once_fails_and_is_not_repeated() {
    assert_eq!(answer_past_the_bound("/once/").await, (502, 0));
}
