//! A request that waits at an engine with outdated weights is cancelled before the version bound.

use super::harness::{
    AfterResponse, Fleet, StubEngine, advance_time, complete_stream, engine_state, request, status,
    wait_until,
};
use fleet_core::constants;
use fleet_core::wire::{FleetUpdate, TargetWeights, WeightsVersion};
use std::time::Duration;

/// `versionMs` of the harness's deployment.
const BOUND: Duration = Duration::from_secs(8);

/// Announces version 3, so that the weights of the harness's engines are outdated.
fn announce_newer_weights(fleet: &Fleet) {
    let weights = vec![TargetWeights { model: "m".into(), version: 3, age_ms: 0 }];
    fleet.router.fleet_view.apply_update(&FleetUpdate { weights, ..Default::default() });
}

/// Sends a request to an engine that never responds, and lets the version bound pass. Returns the status, and how
/// many requests reached an engine with the newest weights.
async fn status_after_version_bound(path: &str) -> (u16, usize) {
    let silent = StubEngine::start("e1", |_, _| (Vec::new(), AfterResponse::KeepOpen)).await;
    let updated =
        StubEngine::start("e2", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&silent]).await;
    announce_newer_weights(&fleet);
    let request = request(path, "");
    let sending = fleet.send_raw(request.as_bytes());
    let pass_bound = async {
        wait_until(|| silent.received_count() == 1).await;
        let mut newest = engine_state(&updated);
        newest.weights = vec![WeightsVersion { model: "m".into(), version: 3 }];
        fleet
            .router
            .fleet_view
            .apply_update(&FleetUpdate { engines: vec![newest], ..Default::default() });
        advance_time(BOUND - constants::VERSION_CUTOFF_MARGIN).await;
    };
    let (response, ()) = tokio::join!(sending, pass_bound);
    assert_eq!(silent.received_count(), 1);
    (status(&response), updated.received_count())
}

#[tokio::test]
async fn repeatable_request_is_retried_at_an_engine_with_the_newest_weights() {
    assert_eq!(status_after_version_bound("/safe/").await, (200, 1));
}

#[tokio::test]
async fn non_repeatable_request_fails_without_a_retry() {
    assert_eq!(status_after_version_bound("/once/").await, (502, 0));
}
