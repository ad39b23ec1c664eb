//! A roll-out as several nodes tell it, some of them wrong, gone or not the one that carries it out.

mod stand;

use fleetctl::ask::AskError;
use fleetctl::rollout::{Rollout, ask};
use stand::{nowhere, ok};
use std::net::SocketAddr;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

async fn node(body: String) -> SocketAddr {
    stand::node(move |head| {
        assert!(head.starts_with("GET /anisedyke/Rollout.Look "));
        ok(&body)
    })
    .await
}

fn told(holds: bool, left: u64, states: &[(&str, Option<&str>)]) -> String {
    let engines: Vec<_> = states
        .iter()
        .enumerate()
        .map(|(i, (state, stuck))| {
            serde_json::json!({"id": format!("e{i}"), "zone": "z", "state": state, "revision": 1, "stuck": stuck})
        })
        .collect();
    let model = serde_json::json!({"model": "m", "revision": 2, "ageMs": 900, "leftMs": left, "engines": engines});
    serde_json::json!({"holds": holds, "width": 4, "models": [model]}).to_string()
}

fn read(text: &str) -> Rollout {
    serde_json::from_str(text).unwrap()
}

#[tokio::test]
async fn the_node_that_carries_it_out_is_believed_before_others() {
    let other = node(told(false, 10, &[("waiting", None)])).await;
    let holder = node(told(true, 10, &[("turning", None)])).await;
    let garbled = node("{".to_owned()).await;
    let r = ask(&[nowhere(), garbled, other, holder], LIMIT).await.unwrap();
    assert!(r.holds && r.text().contains("1 turning"));
    let r = ask(&[garbled, other], LIMIT).await.unwrap();
    assert!(!r.holds && r.text().contains("did not answer"));
}

#[tokio::test]
async fn nobody_to_ask_is_a_error_that_names_each() {
    let garbled = node("[]".to_owned()).await;
    let gone = nowhere();
    let Err(AskError::Unreachable(why)) = ask(&[gone, garbled], LIMIT).await else {
        panic!("nobody answered well");
    };
    assert!(why.contains(&gone.to_string()) && why.contains("can't be read"), "{why}");
}

#[test]
fn only_what_is_stuck_or_late_counts_as_a_finding() {
    let table: Vec<(String, u8, bool)> = vec![
        (told(true, 10, &[("ready", None)]), 0, true),
        (told(true, 0, &[("ready", None)]), 0, true),
        (told(true, 10, &[("ready", None), ("fading", None)]), 0, false),
        (told(true, 0, &[("ready", None), ("waiting", None)]), 1, false),
        (told(true, 10, &[("silent", Some("sends no heartbeats"))]), 1, false),
        (r#"{"holds":false,"width":0,"models":[]}"#.to_owned(), 0, true),
    ];
    for (text, exit, done) in table {
        let r = read(&text);
        assert_eq!((r.exit(), r.is_done()), (exit, done), "{text}");
    }
    let r = read(&told(true, 10, &[("turning", Some("turns since 5000 ms"))]));
    assert!(r.text().contains("stuck: e0 in z: turns since 5000 ms"));
}
