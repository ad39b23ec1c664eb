use super::*;
use crate::fleet_view::routing_table::{RoutingTable, retry_mode};
use crate::load_balancer::choose_engine;
use crate::load_balancer::prompt::Prompt;
use bytes::Bytes;
use fleet_core::settings::Settings;
use fleet_core::wire::{Engine, FleetUpdate, TargetWeights, WeightsVersion};
use http::{HeaderMap, HeaderValue};
use std::sync::Arc;
use std::time::Duration;

/// `versionMs` of the deployment in these tests.
const VERSION_BOUND: Duration = Duration::from_secs(8);

fn routing_table(revision: u64, generation: u64) -> RoutingTable {
    let configuration = serde_json::json!({
        "revision": revision,
        "routes": [{"host": "h.example", "pathPrefix": "/", "kind": "unsafe", "timeoutMs": 20000, "service": "s",
            "maxAttempts": 1}],
        "services": [{"name": "s", "maxConns": 100}],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 9000},
    });
    RoutingTable::compile(configuration.to_string().as_bytes(), generation).unwrap()
}

fn engine(call_seq: u64, state: EngineState) -> Engine {
    let mut engine = Engine {
        id: "e1".into(),
        call_seq,
        service: "s".into(),
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        slots: 8,
        weights: vec![WeightsVersion { model: "m".into(), version: 1 }],
        ..Default::default()
    };
    engine.set_state(state);
    engine
}

fn router() -> Arc<Router> {
    let text = "nodeName=r1\nip=127.0.0.1\nzone=z\nportRange=1,9\nbounds.versionMs=8000\n";
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let router = Router::assemble(Settings::parse(text).unwrap(), log);
    router.fleet_view.set_routing_table(routing_table(1, 1));
    let engines = vec![engine(1, EngineState::Ready)];
    router.fleet_view.apply_update(&FleetUpdate { engines, ..Default::default() });
    router
}

fn request(router: &Router, prompt_prefix: Option<&'static str>) -> ClientRequest {
    let routing_table = router.fleet_view.routing_table().unwrap();
    let route = routing_table.route("h.example", "/").unwrap().clone();
    let mut headers = HeaderMap::new();
    headers.insert("x-model", HeaderValue::from_static("m"));
    if let Some(prefix) = prompt_prefix {
        headers.insert("x-prompt-prefix", HeaderValue::from_static(prefix));
    }
    ClientRequest {
        retry_mode: retry_mode(&route),
        routing_table,
        route,
        tenant: None,
        service: "s".into(),
        prompt: Prompt::from_headers(&headers),
        accepted_at: Instant::now(),
        deadline: Instant::now() + Duration::from_secs(20),
        attempt_id: HeaderValue::from_static("a1"),
        method: http::Method::POST,
        uri: http::Uri::from_static("/"),
        headers,
        body: Bytes::new().into(),
        excluded_engines: Vec::new(),
        dispatches: 0,
        in_flight: router.in_flight.enter(false),
        permit: router.request_permits.clone().try_acquire_owned().unwrap(),
    }
}

/// Whether a choice is superseded by what happens between it and the connection.
fn is_superseded_after(
    prompt_prefix: Option<&'static str>,
    while_connecting: impl FnOnce(&Router),
) -> bool {
    let router = router();
    let request = request(&router, prompt_prefix);
    let choice =
        choose_engine(&router, &request.routing_table, "s", None, &request.prompt, &[]).unwrap();
    while_connecting(&router);
    DispatchCutoff::new(&router, &request, &choice).is_superseded()
}

fn report(router: &Router, state: EngineState) {
    let engines = vec![engine(2, state)];
    router.fleet_view.apply_update(&FleetUpdate { engines, ..Default::default() });
}

fn announce(router: &Router, version: u64, age: Duration) {
    let age_ms = age.as_millis() as u64;
    let weights = vec![TargetWeights { model: "m".into(), version, age_ms }];
    router.fleet_view.apply_update(&FleetUpdate { weights, ..Default::default() });
}

const PREFIX: Option<&str> = Some("aa:10,bb:10");

#[tokio::test(start_paused = true)]
async fn choice_stands_while_nothing_that_it_depends_on_changes() {
    tokio::time::advance(VERSION_BOUND).await;
    assert!(!is_superseded_after(PREFIX, |_| {}));
    assert!(!is_superseded_after(PREFIX, |router| report(router, EngineState::Ready)));
    assert!(!is_superseded_after(PREFIX, |router| announce(router, 2, Duration::ZERO)));
    assert!(!is_superseded_after(PREFIX, |router| announce(router, 1, VERSION_BOUND)));
    let other_change = |router: &Router| {
        router.fleet_view.set_routing_table(routing_table(2, 1));
    };
    assert!(!is_superseded_after(PREFIX, other_change));
}

/// Guards against requests to an engine that has left (rule DRAIN), and against ones that begin on outdated weights
/// (VERSION) or use cached parts of another tenant (WALL): each became known while the connection was established.
#[tokio::test(start_paused = true)]
async fn choice_is_superseded_by_a_drain_a_version_bound_or_an_isolation() {
    tokio::time::advance(VERSION_BOUND).await;
    assert!(is_superseded_after(PREFIX, |router| report(router, EngineState::Draining)));
    assert!(is_superseded_after(PREFIX, |router| report(router, EngineState::Deregistered)));
    assert!(is_superseded_after(PREFIX, |router| announce(router, 2, VERSION_BOUND)));
    let isolation = |router: &Router| {
        router.fleet_view.set_routing_table(routing_table(2, 2));
    };
    assert!(is_superseded_after(PREFIX, isolation));
    assert!(!is_superseded_after(None, isolation), "no prompt parts, nothing is shared");
}
