//! Requests of operators and routers to controllers that run as in the program, except that disks and network are
//! simulated.

use super::harness::Cluster;
use control_plane::service::{Rejection, configuration};
use fleet_core::compression;
use fleet_core::delta;
use fleet_core::digest::BodyDigest;
use fleet_core::link::{Link, Pushed};
use fleet_core::wire::{Body, ConfigDelta, ConfigPayload, ConfigRequest, ConfigResponse};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

const ROUTE_COUNT: u64 = 60;
const VOTERS: [usize; 3] = [1, 2, 3];
/// Number of a controller without a disk, which therefore doesn't vote.
const NON_VOTER: usize = 9;
/// Number of the router's machine.
const ROUTER: usize = 20;
/// Time after which all controllers have links to each other.
const LINK_TIME: Duration = Duration::from_secs(2);

/// Three voters whose disks write instantly, and a controller that doesn't vote.
async fn start_cluster() -> Cluster {
    let mut cluster = Cluster::bootstrap_with_instant_disks(VOTERS.len(), 1).await;
    cluster.start_without_disk(NON_VOTER).await;
    tokio::time::sleep(LINK_TIME).await;
    cluster
}

fn route(number: u64, timeout: u64) -> serde_json::Value {
    serde_json::json!({"name": format!("r-{}", number * 7919), "host": "h.example", "kind": "safe",
        "pathPrefix": format!("/{number}/"), "timeoutMs": timeout, "service": "s"})
}

fn config_body(revision: u64, timeout: u64) -> serde_json::Value {
    serde_json::json!({
        "revision": revision,
        "routes": (0..ROUTE_COUNT).map(|n| route(n, if n == 7 { timeout } else { 50 })).collect::<Vec<_>>(),
        "services": [{"name": "s"}],
        "tenants": [{"name": "t", "apiKeys": ["k1"]}, {"name": "u", "apiKeys": ["k2"]}],
    })
}

async fn replace(
    cluster: &Cluster,
    at: usize,
    base: &str,
    body: impl ToString,
) -> Result<u64, Rejection> {
    let body = body.to_string().into();
    let replaced =
        configuration::replace(cluster.controller(at).consensus(), Some(base), body).await?;
    Ok(replaced.version)
}

/// Sends a configuration until it is accepted, as operators do after status 503.
async fn replace_until_accepted(
    cluster: &Cluster,
    at: usize,
    base: u64,
    body: &serde_json::Value,
) -> u64 {
    for _ in 0..20 {
        match replace(cluster, at, &base.to_string(), body).await {
            Ok(version) => return version,
            Err(rejection) => assert_eq!(rejection.status, 503, "{}", rejection.message),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    panic!("not accepted in 20 attempts");
}

/// A request that must be rejected while version 5 is the current configuration.
struct InvalidRequest {
    description: &'static str,
    base: &'static str,
    body: String,
    status: u16,
    code: &'static str,
}

/// A change of version 5 with an invalid value at a JSON pointer into its body.
fn invalid_value(
    description: &'static str,
    pointer: &str,
    value: serde_json::Value,
    code: &'static str,
) -> InvalidRequest {
    let mut body = config_body(9, 10);
    *body.pointer_mut(pointer).expect("a pointer into the configuration") = value;
    InvalidRequest { description, base: "5", body: body.to_string(), status: 400, code }
}

fn requests_with_invalid_bodies() -> Vec<InvalidRequest> {
    let no_weight = serde_json::json!([{"service": "s", "weight": 0}]);
    let mut split = config_body(9, 10);
    split["routes"][3]["split"] = no_weight;
    let complete = config_body(9, 10).to_string();
    let unreadable = |description, body| InvalidRequest {
        description,
        base: "5",
        body,
        status: 400,
        code: "unreadable",
    };
    vec![
        unreadable("truncated", complete[..complete.len() - 1].to_owned()),
        unreadable("empty", String::new()),
        unreadable("trailing data", format!("{complete}x")),
        invalid_value("null version", "/revision", serde_json::Value::Null, "unreadable"),
        invalid_value("negative version", "/revision", (-9).into(), "unreadable"),
        invalid_value("fractional version", "/revision", 9.5.into(), "unreadable"),
        invalid_value("unknown service", "/routes/3/service", "x".into(), "unknown_service"),
        invalid_value("duplicate path", "/routes/3/pathPrefix", "/4/".into(), "same_place"),
        invalid_value("zero time-out", "/routes/3/timeoutMs", 0.into(), "out_of_bounds"),
        invalid_value("shared key", "/tenants/1/apiKeys/0", "k1".into(), "shared_key"),
        InvalidRequest {
            description: "zero weights",
            base: "5",
            body: split.to_string(),
            status: 400,
            code: "no_weight",
        },
    ]
}

fn requests_with_invalid_versions() -> Vec<InvalidRequest> {
    let request = |description, base, body: serde_json::Value, status, code| InvalidRequest {
        description,
        base,
        body: body.to_string(),
        status,
        code,
    };
    vec![
        request("same version, other body", "5", config_body(5, 11), 400, "version_not_above"),
        request("lower version", "5", config_body(4, 10), 400, "version_not_above"),
        request("outdated base", "0", config_body(9, 10), 412, "stale_base"),
        request("outdated base, version in use", "0", config_body(5, 11), 412, "stale_base"),
        request("base above the current version", "7", config_body(9, 10), 503, "unknown"),
    ]
}

#[tokio::test(start_paused = true)]
async fn invalid_requests_are_never_acknowledged_and_change_nothing() {
    let cluster = start_cluster().await;
    assert_eq!(replace_until_accepted(&cluster, 1, 0, &config_body(5, 10)).await, 5);
    for request in
        requests_with_invalid_bodies().into_iter().chain(requests_with_invalid_versions())
    {
        for at in [1, 2, NON_VOTER] {
            let context = format!("{} at {at}", request.description);
            let rejection =
                replace(&cluster, at, request.base, &request.body).await.expect_err(&context);
            let got = (rejection.status.as_u16(), rejection.code);
            assert_eq!(got, (request.status, request.code), "{context}");
        }
    }
    let body = configuration::fetch(cluster.controller(2).consensus()).await.unwrap_or_default();
    assert_eq!(body, config_body(5, 10).to_string());
}

#[test]
fn base_version_is_an_integer_without_a_sign() {
    let bad = [
        None,
        Some(""),
        Some("x"),
        Some("-1"),
        Some("+5"),
        Some("5.0"),
        Some("5 6"),
        Some("0x5"),
        Some("99999999999999999999"),
    ];
    for text in bad {
        let rejection = configuration::parse_base_version(text).expect_err("no version");
        assert_eq!((rejection.status.as_u16(), rejection.code), (400, "no_base"), "{text:?}");
    }
    assert_eq!(configuration::parse_base_version(Some(" 5 ")).ok(), Some(5));
}

#[tokio::test(start_paused = true)]
async fn request_repeated_at_any_node_after_100_others_is_acknowledged() {
    let cluster = start_cluster().await;
    for version in 1..=101 {
        replace_until_accepted(
            &cluster,
            VOTERS[version as usize % 3],
            version - 1,
            &config_body(version, version),
        )
        .await;
    }
    for at in [1, 2, 3, NON_VOTER] {
        assert_eq!(replace_until_accepted(&cluster, at, 0, &config_body(1, 1)).await, 1);
        let rejection =
            replace(&cluster, at, "0", config_body(1, 2)).await.expect_err("another body");
        assert_eq!(rejection.status, 412);
    }
}

/// A router's link to a controller; messages that the controller pushes go to `pushed`.
fn link(cluster: &Cluster, to: usize, pushed: Option<mpsc::Sender<Pushed>>) -> Arc<Link> {
    cluster.router_link(ROUTER, to, pushed)
}

async fn request_config(link: &Link, digest: &bytes::Bytes) -> ConfigResponse {
    link.watch().wait_for(|up| *up).await.unwrap();
    let config_request = Body::ConfigRequest(ConfigRequest { digest: digest.clone() });
    match link.call(config_request, Duration::from_secs(2)).await.unwrap() {
        Body::ConfigResponse(response) => response,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn any_controller_sends_a_router_the_full_configuration_and_then_a_delta() {
    let cluster = start_cluster().await;
    replace_until_accepted(&cluster, 1, 0, &config_body(5, 10)).await;
    let mut links = Vec::new();
    for to in VOTERS.into_iter().chain([NON_VOTER]) {
        let link = link(&cluster, to, None);
        let response = request_config(&link, &bytes::Bytes::new()).await;
        let Some(ConfigPayload::Full(compressed)) = response.payload else {
            panic!("expected a full configuration")
        };
        let body = compression::decompress(&compressed, 1 << 20).unwrap();
        assert_eq!((response.version, body), (5, config_body(5, 10).to_string().into()));
        links.push((to, link, response.digest));
    }
    replace_until_accepted(&cluster, 2, 5, &config_body(6, 11)).await;
    let (old, new) = (config_body(5, 10).to_string(), config_body(6, 11).to_string());
    for (to, link, digest) in links {
        let response = request_config(&link, &digest).await;
        let Some(ConfigPayload::Delta(compressed)) = response.payload else {
            panic!("expected a delta from {to}: {response:?}")
        };
        let plain = compression::decompress(&compressed, 1 << 20).unwrap();
        let delta = ConfigDelta::decode(plain).unwrap();
        assert_eq!(delta::apply(&delta, old.as_bytes(), 1 << 20).unwrap(), new);
        assert_eq!(response.digest, BodyDigest::of(new.as_bytes()).as_bytes());
    }
}

/// The clock advances only while all tasks wait, so any sleep before the answer would be measured.
#[tokio::test(start_paused = true)]
async fn change_is_answered_as_soon_as_it_is_chosen_although_a_router_hangs() {
    let cluster = start_cluster().await;
    replace_until_accepted(&cluster, 1, 0, &config_body(5, 10)).await;
    // The channel is never received from, so the links stop reading after the second push.
    let (pushed, _never_read) = mpsc::channel(1);
    let hung = VOTERS.map(|to| link(&cluster, to, Some(pushed.clone())));
    for link in &hung {
        link.watch().wait_for(|up| *up).await.unwrap();
    }
    for at in VOTERS {
        let base = 4 + at as u64;
        let started_at = Instant::now();
        assert_eq!(
            replace(&cluster, at, &base.to_string(), config_body(base + 1, 10)).await.ok(),
            Some(base + 1)
        );
        assert_eq!(started_at.elapsed(), Duration::ZERO, "at {at}");
    }
    assert!(hung.iter().all(|link| link.is_up()), "the hung links are still up");
}

#[tokio::test(start_paused = true)]
async fn controller_without_a_majority_serves_and_accepts_no_configuration() {
    let mut cluster = start_cluster().await;
    replace_until_accepted(&cluster, 1, 0, &config_body(5, 10)).await;
    let link = link(&cluster, 1, None);
    assert_eq!(request_config(&link, &bytes::Bytes::new()).await.version, 5);
    cluster.crash(2);
    cluster.crash(3);
    assert_eq!(request_config(&link, &bytes::Bytes::new()).await, ConfigResponse::default());
    assert_eq!(
        configuration::fetch(cluster.controller(1).consensus())
            .await
            .map_err(|r| r.status.as_u16()),
        Err(503)
    );
    for body in [config_body(6, 10), config_body(5, 10)] {
        let rejection = replace(&cluster, 1, "5", body).await.expect_err("no majority");
        assert_eq!(rejection.status, 503);
    }
}
