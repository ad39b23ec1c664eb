//! A request that waits at an engine with outdated weights is cancelled before the version bound, whenever that becomes
//! known.

use super::harness::{
    AfterResponse, Fleet, StubEngine, advance_time, complete_stream, engine_state, request, status,
    wait_until,
};
use fleet_core::constants;
use fleet_core::wire::{EngineState, FleetUpdate, TargetWeights, WeightsVersion};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// `versionMs` of the harness's deployment.
const BOUND: Duration = Duration::from_secs(8);

/// Announces version 3, so that the weights of the harness's engines are outdated.
fn announce_newer_weights(fleet: &Fleet) {
    let weights = vec![TargetWeights { model: "m".into(), version: 3, age_ms: 0 }];
    fleet.router.fleet_view.apply_update(&FleetUpdate { weights, ..Default::default() });
}

/// When version 3 is announced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Announced {
    BeforeDispatch,
    WhileWaiting,
}

/// The engine at which a request waits, and so is not ordered to load version 3, leaves: it drains.
fn drain(fleet: &Fleet, engine: &StubEngine) {
    let mut draining = engine_state(engine);
    draining.call_seq = 2;
    draining.set_state(EngineState::Draining);
    let update = FleetUpdate { engines: vec![draining], ..Default::default() };
    fleet.router.fleet_view.apply_update(&update);
}

/// Sends a request to an engine that never responds, and lets the version bound pass. Returns the status, and how
/// many requests reached an engine with the newest weights.
async fn status_after_version_bound(path: &str, announced: Announced) -> (u16, usize) {
    let silent = StubEngine::start("e1", |_, _| (Vec::new(), AfterResponse::KeepOpen)).await;
    let updated =
        StubEngine::start("e2", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&silent]).await;
    if announced == Announced::BeforeDispatch {
        announce_newer_weights(&fleet);
    }
    let request = request(path, "");
    let sending = fleet.send_raw(request.as_bytes());
    let pass_bound = async {
        wait_until(|| silent.received_count() == 1).await;
        if announced == Announced::WhileWaiting {
            drain(&fleet, &silent);
            announce_newer_weights(&fleet);
        }
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
    assert_eq!(status_after_version_bound("/safe/", Announced::BeforeDispatch).await, (200, 1));
}

#[tokio::test]
async fn non_repeatable_request_fails_without_a_retry() {
    assert_eq!(status_after_version_bound("/once/", Announced::BeforeDispatch).await, (502, 0));
}

/// Guards against a request that begins on outdated weights after the version bound (rule VERSION): the newer version
/// became known only while the request waited in the queue of an engine that leaves.
#[tokio::test]
async fn version_that_is_announced_while_a_request_waits_cancels_it_at_its_bound() {
    let announced = Announced::WhileWaiting;
    assert_eq!(status_after_version_bound("/safe/", announced).await, (200, 1), "safe");
    assert_eq!(status_after_version_bound("/on/", announced).await, (200, 1), "resumable");
    assert_eq!(status_after_version_bound("/once/", announced).await, (502, 0), "not repeatable");
}

/// Guards against a response that is lost without need: a controller is lost while the request waits, which moves the
/// bound of the version to later.
#[tokio::test]
async fn loss_of_a_controller_while_a_request_waits_moves_its_cutoff() {
    let silent = StubEngine::start("e1", |_, _| (Vec::new(), AfterResponse::KeepOpen)).await;
    let fleet = Fleet::start(&[&silent]).await;
    announce_newer_weights(&fleet);
    let cutoffs = || fleet.router.counters.version_cutoffs.load(Ordering::Relaxed);
    let pass_bound = async {
        wait_until(|| silent.received_count() == 1).await;
        advance_time(BOUND / 2).await;
        fleet.router.fleet_view.record_controller_loss(Instant::now());
        advance_time(BOUND / 2).await;
        for _ in 0..100 {
            tokio::task::yield_now().await;
        }
        assert_eq!(cutoffs(), 0, "cancelled at the bound before the loss");
        advance_time(BOUND / 2).await;
    };
    let raw_request = request("/once/", "");
    let (response, ()) = tokio::join!(fleet.send_raw(raw_request.as_bytes()), pass_bound);
    assert_eq!((status(&response), cutoffs()), (502, 1), "{response}");
}
