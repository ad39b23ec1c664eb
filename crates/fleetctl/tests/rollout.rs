//! A roll-out as several nodes tell it, some of them wrong, gone or not the one that carries it out.

mod harness;

use fleetctl::query::QueryError;
use fleetctl::rollout::{Rollout, query};
use harness::{ok, unreachable_address};
use std::net::SocketAddr;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

async fn node(body: String) -> SocketAddr {
    harness::node(move |head| {
        assert!(head.starts_with("GET /anisedyke/Rollout.Look "));
        ok(&body)
    })
    .await
}

fn rollout_view(holds: bool, remaining: u64, states: &[(&str, Option<&str>)]) -> String {
    let engines: Vec<_> = states
        .iter()
        .enumerate()
        .map(|(i, (state, stuck))| {
            serde_json::json!({"id": format!("e{i}"), "zone": "z", "state": state, "revision": 1, "stuck": stuck})
        })
        .collect();
    let model = serde_json::json!({"model": "m", "revision": 2, "ageMs": 900, "leftMs": remaining, "engines": engines});
    serde_json::json!({"holds": holds, "width": 4, "models": [model]}).to_string()
}

fn read(text: &str) -> Rollout {
    serde_json::from_str(text).unwrap()
}

#[tokio::test]
async fn the_node_that_carries_it_out_is_believed_before_others() {
    let other = node(rollout_view(false, 10, &[("waiting", None)])).await;
    let holder = node(rollout_view(true, 10, &[("turning", None)])).await;
    let garbled = node("{".to_owned()).await;
    let r = query(&[unreachable_address(), garbled, other, holder], LIMIT).await.unwrap();
    assert!(r.holds && r.text().contains("1 turning"));
    let r = query(&[garbled, other], LIMIT).await.unwrap();
    assert!(!r.holds && r.text().contains("did not answer"));
}

#[tokio::test]
async fn nobody_to_ask_is_a_error_that_names_each() {
    let garbled = node("[]".to_owned()).await;
    let unreachable = unreachable_address();
    let Err(QueryError::Unreachable(why)) = query(&[unreachable, garbled], LIMIT).await else {
        panic!("nobody answered well");
    };
    assert!(why.contains(&unreachable.to_string()) && why.contains("can't be read"), "{why}");
}

#[test]
fn only_what_is_stuck_or_late_counts_as_a_finding() {
    let table: Vec<(String, u8, bool)> = vec![
        (rollout_view(true, 10, &[("ready", None)]), 0, true),
        (rollout_view(true, 0, &[("ready", None)]), 0, true),
        (rollout_view(true, 10, &[("ready", None), ("fading", None)]), 0, false),
        (rollout_view(true, 0, &[("ready", None), ("waiting", None)]), 1, false),
        (rollout_view(true, 10, &[("silent", Some("sends no heartbeats"))]), 1, false),
        (r#"{"holds":false,"width":0,"models":[]}"#.to_owned(), 0, true),
    ];
    for (text, exit, done) in table {
        let r = read(&text);
        assert_eq!((r.exit(), r.is_done()), (exit, done), "{text}");
    }
    let r = read(&rollout_view(true, 10, &[("turning", Some("turns since 5000 ms"))]));
    assert!(r.text().contains("stuck: e0 in z: turns since 5000 ms"));
}
