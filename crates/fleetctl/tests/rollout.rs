//! The status of a rollout from several nodes, some of them unreachable, sending malformed responses, or without the
//! rollout lease.

mod harness;

use fleetctl::query::QueryError;
use fleetctl::rollout::{Rollout, query};
use harness::{ok, unreachable_address};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn stub_node(body: String) -> SocketAddr {
    harness::stub_node(move |head| {
        assert!(head.starts_with("GET /anisedyke/Rollout.Look "));
        ok(&body)
    })
    .await
}

fn rollout_view(holds: bool, remaining_ms: u64, states: &[(&str, Option<&str>)]) -> String {
    let engines: Vec<_> = states
        .iter()
        .enumerate()
        .map(|(i, (state, stuck))| {
            serde_json::json!({"id": format!("e{i}"), "zone": "z", "state": state, "revision": 1, "stuck": stuck})
        })
        .collect();
    let model = serde_json::json!({"model": "m", "revision": 2, "ageMs": 900, "leftMs": remaining_ms, "engines": engines});
    serde_json::json!({"holds": holds, "width": 4, "models": [model]}).to_string()
}

fn parse(body: &str) -> Rollout {
    serde_json::from_str(body).unwrap()
}

#[tokio::test]
async fn the_report_of_the_lease_holder_is_preferred() {
    let other = stub_node(rollout_view(false, 10, &[("waiting", None)])).await;
    let holder = stub_node(rollout_view(true, 10, &[("turning", None)])).await;
    let malformed = stub_node("{".to_owned()).await;
    let rollout = query(&[unreachable_address(), malformed, other, holder], TIMEOUT).await.unwrap();
    assert!(rollout.holds && rollout.text().contains("1 turning"));
    let rollout = query(&[malformed, other], TIMEOUT).await.unwrap();
    assert!(!rollout.holds && rollout.text().contains("did not answer"));
}

#[tokio::test]
async fn an_error_names_every_node_if_no_response_is_usable() {
    let malformed = stub_node("[]".to_owned()).await;
    let unreachable = unreachable_address();
    let Err(QueryError::Unreachable(errors)) = query(&[unreachable, malformed], TIMEOUT).await
    else {
        panic!("no node sent a valid response");
    };
    assert!(
        errors.contains(&unreachable.to_string()) && errors.contains("malformed response"),
        "{errors}"
    );
}

#[test]
fn only_a_stuck_or_late_rollout_is_a_finding() {
    let table: Vec<(String, u8, bool)> = vec![
        (rollout_view(true, 10, &[("ready", None)]), 0, true),
        (rollout_view(true, 0, &[("ready", None)]), 0, true),
        (rollout_view(true, 10, &[("ready", None), ("fading", None)]), 0, false),
        (rollout_view(true, 0, &[("ready", None), ("waiting", None)]), 1, false),
        (rollout_view(true, 10, &[("silent", Some("sends no heartbeats"))]), 1, false),
        (r#"{"holds":false,"width":0,"models":[]}"#.to_owned(), 0, true),
    ];
    for (body, exit_code, is_done) in table {
        let rollout = parse(&body);
        assert_eq!((rollout.exit_code(), rollout.is_done()), (exit_code, is_done), "{body}");
    }
    let rollout = parse(&rollout_view(true, 10, &[("turning", Some("turns since 5000 ms"))]));
    assert!(rollout.text().contains("stuck: e0 in z: turns since 5000 ms"));
}
