//! What an operator is answered by controllers that run as in the program, but for disks and lines.

use super::harness::Cluster;
use control_plane::service::{Rejection, configuration};
use fleet_core::delta;
use fleet_core::digest::BodyDigest;
use fleet_core::link::Link;
use fleet_core::packing;
use fleet_core::wire::{Body, ConfigDelta, ConfigForm, ConfigRequest, ConfigResponse};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

const ROUTES: u64 = 60;
const VOTERS: [usize; 3] = [1, 2, 3];
/// A controller without a disk, and so without a vote.
const WITHOUT_VOTE: usize = 9;
/// Last number of a router's address.
const ROUTER: usize = 20;
/// Time after which all controllers are linked.
const LINKED: Duration = Duration::from_secs(2);

/// Three voters whose disks take no time, and a controller without a vote.
async fn start_fleet() -> Cluster {
    let mut fleet = Cluster::found_with_instant_disks(VOTERS.len(), 1).await;
    fleet.start_without_disk(WITHOUT_VOTE).await;
    tokio::time::sleep(LINKED).await;
    fleet
}

fn route(number: u64, timeout: u64) -> serde_json::Value {
    serde_json::json!({"name": format!("r-{}", number * 7919), "host": "h.example", "kind": "safe",
        "pathPrefix": format!("/{number}/"), "timeoutMs": timeout, "service": "s"})
}

fn sheet(revision: u64, timeout: u64) -> serde_json::Value {
    serde_json::json!({
        "revision": revision,
        "routes": (0..ROUTES).map(|n| route(n, if n == 7 { timeout } else { 50 })).collect::<Vec<_>>(),
        "services": [{"name": "s"}],
        "tenants": [{"name": "t", "apiKeys": ["k1"]}, {"name": "u", "apiKeys": ["k2"]}],
    })
}

async fn replace(
    fleet: &Cluster,
    at: usize,
    base: &str,
    body: impl ToString,
) -> Result<u64, Rejection> {
    let body = body.to_string().into();
    let replaced =
        configuration::replace(fleet.controller(at).consensus(), Some(base), body).await?;
    Ok(replaced.version)
}

/// Sends an order until it is taken, as operators do after 503.
async fn taken(fleet: &Cluster, at: usize, base: u64, body: &serde_json::Value) -> u64 {
    for _ in 0..20 {
        match replace(fleet, at, &base.to_string(), body).await {
            Ok(version) => return version,
            Err(rejection) => assert_eq!(rejection.status, 503, "{}", rejection.message),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    panic!("not taken in 20 tries");
}

/// An order that may not be taken while version 5 is in force.
struct BadOrder {
    what: &'static str,
    base: &'static str,
    body: String,
    status: u16,
    code: &'static str,
}

/// A change of 5 with another value at one place of its body.
fn patched(
    what: &'static str,
    place: &str,
    value: serde_json::Value,
    code: &'static str,
) -> BadOrder {
    let mut body = sheet(9, 10);
    *body.pointer_mut(place).expect("a place of the sheet") = value;
    BadOrder { what, base: "5", body: body.to_string(), status: 400, code }
}

fn invalid_bodies() -> Vec<BadOrder> {
    let no_weight = serde_json::json!([{"service": "s", "weight": 0}]);
    let mut split = sheet(9, 10);
    split["routes"][3]["split"] = no_weight;
    let complete = sheet(9, 10).to_string();
    let unreadable =
        |what, body| BadOrder { what, base: "5", body, status: 400, code: "unreadable" };
    vec![
        unreadable("cut short", complete[..complete.len() - 1].to_owned()),
        unreadable("empty", String::new()),
        unreadable("more behind it", format!("{complete}x")),
        patched("no number", "/revision", serde_json::Value::Null, "unreadable"),
        patched("negative number", "/revision", (-9).into(), "unreadable"),
        patched("broken number", "/revision", 9.5.into(), "unreadable"),
        patched("unknown service", "/routes/3/service", "x".into(), "unknown_service"),
        patched("same place", "/routes/3/pathPrefix", "/4/".into(), "same_place"),
        patched("no time", "/routes/3/timeoutMs", 0.into(), "out_of_bounds"),
        patched("shared key", "/tenants/1/apiKeys/0", "k1".into(), "shared_key"),
        BadOrder {
            what: "no weight",
            base: "5",
            body: split.to_string(),
            status: 400,
            code: "no_weight",
        },
    ]
}

fn wrong_numbers() -> Vec<BadOrder> {
    let order = |what, base, body: serde_json::Value, status, code| BadOrder {
        what,
        base,
        body: body.to_string(),
        status,
        code,
    };
    vec![
        order("other body under the number", "5", sheet(5, 11), 400, "version_not_above"),
        order("number below", "5", sheet(4, 10), 400, "version_not_above"),
        order("followed base", "0", sheet(9, 10), 412, "stale_base"),
        order("followed base, number in use", "0", sheet(5, 11), 412, "stale_base"),
        order("base ahead of all", "7", sheet(9, 10), 503, "unknown"),
    ]
}

#[tokio::test(start_paused = true)]
async fn bad_orders_are_never_acknowledged_and_change_nothing() {
    let fleet = start_fleet().await;
    assert_eq!(taken(&fleet, 1, 0, &sheet(5, 10)).await, 5);
    for order in invalid_bodies().into_iter().chain(wrong_numbers()) {
        for at in [1, 2, WITHOUT_VOTE] {
            let what = format!("{} at {at}", order.what);
            let rejection = replace(&fleet, at, order.base, &order.body).await.expect_err(&what);
            let got = (rejection.status.as_u16(), rejection.code);
            assert_eq!(got, (order.status, order.code), "{what}");
        }
    }
    let body = configuration::fetch(fleet.controller(2).consensus()).await.unwrap_or_default();
    assert_eq!(body, sheet(5, 10).to_string());
}

#[test]
fn a_base_is_a_whole_number_without_a_sign() {
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
        let rejection = configuration::base_of(text).expect_err("no version");
        assert_eq!((rejection.status.as_u16(), rejection.code), (400, "no_base"), "{text:?}");
    }
    assert_eq!(configuration::base_of(Some(" 5 ")).ok(), Some(5));
}

#[tokio::test(start_paused = true)]
async fn an_order_sent_again_anywhere_after_100_others_is_acknowledged() {
    let fleet = start_fleet().await;
    for version in 1..=101 {
        taken(&fleet, VOTERS[version as usize % 3], version - 1, &sheet(version, version)).await;
    }
    for at in [1, 2, 3, WITHOUT_VOTE] {
        assert_eq!(taken(&fleet, at, 0, &sheet(1, 1)).await, 1);
        let other = replace(&fleet, at, "0", sheet(1, 2)).await.expect_err("another body");
        assert_eq!(other.status, 412);
    }
}

/// A router's link; what is pushed to it goes to `pushed`.
fn link(fleet: &Cluster, to: usize, pushed: Option<mpsc::Sender<Body>>) -> Arc<Link> {
    fleet.router_link(ROUTER, to, pushed)
}

async fn request_config(link: &Link, digest: &bytes::Bytes) -> ConfigResponse {
    link.watch().wait_for(|up| *up).await.unwrap();
    let request_config = Body::ConfigRequest(ConfigRequest { digest: digest.clone() });
    match link.call(request_config, Duration::from_secs(2)).await.unwrap() {
        Body::ConfigResponse(response) => response,
        other => panic!("{other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn any_controller_gives_a_router_the_confirmed_configuration_and_then_a_delta() {
    let fleet = start_fleet().await;
    taken(&fleet, 1, 0, &sheet(5, 10)).await;
    let mut links = Vec::new();
    for to in VOTERS.into_iter().chain([WITHOUT_VOTE]) {
        let link = link(&fleet, to, None);
        let response = request_config(&link, &bytes::Bytes::new()).await;
        let Some(ConfigForm::Full(packed)) = response.form else { panic!("it has none as yet") };
        let body = packing::unpack(&packed, 1 << 20).unwrap();
        assert_eq!((response.version, body), (5, sheet(5, 10).to_string().into()));
        links.push((to, link, response.digest));
    }
    taken(&fleet, 2, 5, &sheet(6, 11)).await;
    let (former, new) = (sheet(5, 10).to_string(), sheet(6, 11).to_string());
    for (to, link, digest) in links {
        let response = request_config(&link, &digest).await;
        let Some(ConfigForm::Delta(packed)) = response.form else {
            panic!("{to} gave {response:?}")
        };
        let plain = packing::unpack(&packed, 1 << 20).unwrap();
        let delta = ConfigDelta::decode(plain).unwrap();
        assert_eq!(delta::apply(&delta, former.as_bytes(), 1 << 20).unwrap(), new);
        assert_eq!(response.digest, BodyDigest::of(new.as_bytes()).as_bytes());
    }
}

/// Time stands still here unless all wait for it: what sleeps before the answer would show.
#[tokio::test(start_paused = true)]
async fn an_operator_is_answered_when_the_change_is_chosen_also_beside_a_router_that_hangs() {
    let fleet = start_fleet().await;
    taken(&fleet, 1, 0, &sheet(5, 10)).await;
    // nobody receives from these, so the links stop reading with the second push
    let (pushed, _never_received) = mpsc::channel(1);
    let hung = VOTERS.map(|to| link(&fleet, to, Some(pushed.clone())));
    for link in &hung {
        link.watch().wait_for(|up| *up).await.unwrap();
    }
    for at in VOTERS {
        let base = 4 + at as u64;
        let begun = Instant::now();
        assert_eq!(
            replace(&fleet, at, &base.to_string(), sheet(base + 1, 10)).await.ok(),
            Some(base + 1)
        );
        assert_eq!(begun.elapsed(), Duration::ZERO, "at {at}");
    }
    assert!(hung.iter().all(|link| link.is_up()), "they hang and aren't gone");
}

#[tokio::test(start_paused = true)]
async fn a_controller_without_a_majority_hands_out_and_takes_nothing() {
    let mut fleet = start_fleet().await;
    taken(&fleet, 1, 0, &sheet(5, 10)).await;
    let link = link(&fleet, 1, None);
    assert_eq!(request_config(&link, &bytes::Bytes::new()).await.version, 5);
    fleet.crash(2);
    fleet.crash(3);
    assert_eq!(request_config(&link, &bytes::Bytes::new()).await, ConfigResponse::default());
    assert_eq!(
        configuration::fetch(fleet.controller(1).consensus()).await.map_err(|r| r.status.as_u16()),
        Err(503)
    );
    for body in [sheet(6, 10), sheet(5, 10)] {
        let rejection = replace(&fleet, 1, "5", body).await.expect_err("no majority");
        assert_eq!(rejection.status, 503);
    }
}
