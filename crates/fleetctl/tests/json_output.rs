//! What `fleetctl --json` prints, field by field, and its exit codes: programs read them.

mod harness;

use fleetctl::findings::{Finding, Weight};
use fleetctl::{members, report, rollout};
use harness::{node, ok, unreachable_address};
use serde_json::{Value, json};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

/// The control plane as a controller tells it; one voter votes.
fn view() -> Value {
    let ballot = json!({"epoch": 1, "owner": "10.0.0.1", "round": 2});
    json!({
        "name": "n1", "ip": "10.0.0.1", "inContact": true, "votes": true, "leaving": false,
        "disk": "works", "membershipEpoch": 5, "recoveryEpoch": 6, "toleratedLosses": 1,
        "config": ballot,
        "voters": [{"ip": "10.0.0.1", "zone": "z", "control": "", "joinedEpoch": 3,
            "answered": true, "lastAnswerMs": 4, "votes": true, "membershipEpoch": 5,
            "recoveryEpoch": 6, "config": ballot, "behind": {"epochs": 7, "rounds": 8}}],
        "keys": [{"key": "config", "owner": "10.0.0.1", "epoch": 1}],
        "duties": [{"duty": "roll-out", "holder": "n1", "fence": 9, "acts": true,
            "granted": {"node": "n1", "leftMs": 10}}],
    })
}

fn engine(state: &str) -> Value {
    json!({"id": "e1", "zone": "z", "state": state, "revision": 1, "stuck": null})
}

#[tokio::test]
async fn members_are_printed_as_one_object() {
    let at = node(|_| ok(&view().to_string())).await;
    let members = members::query(&[at], LIMIT).await.unwrap();
    let expected = json!({
        "verdict": "atRisk", "voting": 1, "quorum": 1, "view": view(),
        "nodes": [{"node": at.to_string(), "view": view(), "error": null}],
    });
    assert_eq!(serde_json::from_str::<Value>(&members.json()).unwrap(), expected);
    assert_eq!(members.exit(), 1);
}

#[tokio::test]
async fn a_rollout_is_printed_as_one_object() {
    let states = ["ready", "waiting", "fading", "turning", "silent"];
    let engines: Vec<Value> = states.into_iter().map(engine).collect();
    let rollout = json!({"holds": true, "width": 4, "models": [
        {"model": "m", "revision": 2, "ageMs": 900, "leftMs": 10, "engines": engines}]});
    let answer = rollout.to_string();
    let at = node(move |_| ok(&answer)).await;
    let read = rollout::query(&[at], LIMIT).await.unwrap();
    let expected = json!({"rollout": rollout, "done": false});
    assert_eq!(serde_json::from_str::<Value>(&read.json()).unwrap(), expected);
    assert_eq!(read.exit(), 0);
}

#[test]
fn findings_are_printed_as_one_object() {
    let found = [Weight::Error, Weight::Warning].map(|weight| Finding {
        weight,
        code: "no_weight",
        place: "routes[0]".into(),
        text: "text".into(),
    });
    let finding = |weight| json!({"weight": weight, "code": "no_weight", "place": "routes[0]", "text": "text"});
    let expected = json!({"findings": [finding("error"), finding("warning")]});
    assert_eq!(serde_json::from_str::<Value>(&report::json(&found)).unwrap(), expected);
    assert_eq!((report::CLEAN, report::FOUND, report::UNCHECKED), (0, 1, 2));
}

#[tokio::test]
async fn without_an_answer_there_is_an_error_and_no_output() {
    assert!(members::query(&[unreachable_address()], LIMIT).await.is_err());
    assert!(rollout::query(&[unreachable_address()], LIMIT).await.is_err());
    assert!(fleetctl::query::fetch(&[unreachable_address()], LIMIT).await.is_err());
}
