//! Tests how long a request may be dispatched to an engine with older weights: until `versionMs` after the
//! acknowledgement of the first version that the engine lacks, whatever is announced or restarted since.

use data_plane::Router;
use data_plane::fleet_view::routing_table::RoutingTable;
use data_plane::load_balancer::choose_engine;
use data_plane::load_balancer::prompt::Prompt;
use fleet_core::settings::Settings;
use fleet_core::wire::{Engine, FleetUpdate, TargetWeights, WeightsVersion};
use std::sync::Arc;
use std::time::Duration;

/// `versionMs` of the deployment in these tests.
const BOUND: Duration = Duration::from_secs(8);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A router that knows one engine with version 1 of the model, and a configuration with the engine's service.
fn router() -> (Arc<Router>, Arc<RoutingTable>) {
    let text = "nodeName=r1\nip=127.0.0.1\nzone=z\nportRange=1,9\nbounds.versionMs=8000\n";
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let router = Router::assemble(Settings::parse(text).unwrap(), log);
    let configuration = serde_json::json!({
        "revision": 1,
        "routes": [{"host": "h.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 20000,
            "service": "s", "maxAttempts": 1}],
        "services": [{"name": "s", "maxConns": 100, "engine": {"slots": 8, "kvCapacity": 100_000,
            "kvTokenBytes": 300_000, "linkMbps": 1_000_000.0}}],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 9000},
    });
    let table = RoutingTable::compile(configuration.to_string().as_bytes(), 1).unwrap();
    router.fleet_view.set_routing_table(table);
    router
        .fleet_view
        .apply_update(&FleetUpdate { engines: vec![engine(1, 1)], ..Default::default() });
    let table = router.fleet_view.routing_table().unwrap();
    (router, table)
}

fn engine(call_seq: u64, version: u64) -> Engine {
    Engine {
        id: "e1".into(),
        call_seq,
        service: "s".into(),
        address: "127.0.0.1:1".into(),
        zone: "z".into(),
        slots: 8,
        weights: vec![WeightsVersion { model: "m".into(), version }],
        ..Default::default()
    }
}

fn announce_target(router: &Router, version: u64, age_ms: u64) {
    let weights = vec![TargetWeights { model: "m".into(), version, age_ms }];
    router.fleet_view.apply_update(&FleetUpdate { weights, ..Default::default() });
}

fn prompt() -> Prompt {
    let mut headers = http::HeaderMap::new();
    headers.insert("x-model", http::HeaderValue::from_static("m"));
    headers.insert("x-token-count", http::HeaderValue::from_static("30,5"));
    Prompt::from_headers(&headers)
}

fn can_dispatch((router, table): &(Arc<Router>, Arc<RoutingTable>)) -> bool {
    choose_engine(router, table, "s", None, &prompt(), &[]).is_ok()
}

#[tokio::test(start_paused = true)]
async fn a_newer_version_does_not_extend_the_bound_of_an_earlier_one() {
    let fixture = router();
    announce_target(&fixture.0, 2, 0);
    tokio::time::advance(ms(4400)).await;
    assert!(
        can_dispatch(&fixture),
        "requests may run under older weights until shortly before the bound"
    );
    announce_target(&fixture.0, 3, 0);
    tokio::time::advance(BOUND - ms(4400)).await;
    assert!(
        !can_dispatch(&fixture),
        "nothing may begin under version 1 from 8 s after version 2 was acknowledged"
    );
}

#[tokio::test(start_paused = true)]
async fn the_bound_of_an_engine_counts_from_the_first_version_that_it_lacks() {
    let fixture = router();
    announce_target(&fixture.0, 2, 0);
    tokio::time::advance(ms(4400)).await;
    announce_target(&fixture.0, 3, 0);
    fixture
        .0
        .fleet_view
        .apply_update(&FleetUpdate { engines: vec![engine(2, 2)], ..Default::default() });
    tokio::time::advance(BOUND - ms(4400)).await;
    assert!(
        can_dispatch(&fixture),
        "requests may run under version 2 until the bound set by version 3"
    );
    tokio::time::advance(ms(4400)).await;
    assert!(!can_dispatch(&fixture));
}

#[tokio::test(start_paused = true)]
async fn the_bound_counts_from_the_earliest_announcement_that_any_controller_reports() {
    let fixture = router();
    announce_target(&fixture.0, 2, 0);
    announce_target(&fixture.0, 2, 5000);
    tokio::time::advance(BOUND - ms(5000)).await;
    assert!(!can_dispatch(&fixture), "a controller has known the version for 8 s");
}

#[tokio::test(start_paused = true)]
async fn the_newest_weights_have_no_bound() {
    let fixture = router();
    announce_target(&fixture.0, 2, 0);
    fixture
        .0
        .fleet_view
        .apply_update(&FleetUpdate { engines: vec![engine(2, 2)], ..Default::default() });
    tokio::time::advance(BOUND * 10).await;
    assert!(can_dispatch(&fixture));
}
