//! Every field of the `fleetctl --json` output, and the exit codes: other programs depend on them.

mod harness;

use fleetctl::findings::{Finding, Severity};
use fleetctl::{members, report, rollout};
use harness::{ok, stub_node, unreachable_address};
use serde_json::{Value, json};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// A controller's report on the control plane, with a single voter.
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
    let node = stub_node(|_| ok(&view().to_string())).await;
    let members = members::query(&[node], TIMEOUT).await.unwrap();
    let expected = json!({
        "verdict": "atRisk", "voting": 1, "quorum": 1, "view": view(),
        "nodes": [{"node": node.to_string(), "view": view(), "error": null}],
    });
    assert_eq!(serde_json::from_str::<Value>(&members.json()).unwrap(), expected);
    assert_eq!(members.exit_code(), 1);
}

#[tokio::test]
async fn a_rollout_is_printed_as_one_object() {
    let states = ["ready", "waiting", "fading", "turning", "silent"];
    let engines: Vec<Value> = states.into_iter().map(engine).collect();
    let rollout = json!({"holds": true, "width": 4, "models": [
        {"model": "m", "revision": 2, "ageMs": 900, "leftMs": 10, "engines": engines}]});
    let body = rollout.to_string();
    let node = stub_node(move |_| ok(&body)).await;
    let parsed = rollout::query(&[node], TIMEOUT).await.unwrap();
    let expected = json!({"rollout": rollout, "done": false});
    assert_eq!(serde_json::from_str::<Value>(&parsed.json()).unwrap(), expected);
    assert_eq!(parsed.exit_code(), 0);
}

#[test]
fn findings_are_printed_as_one_object() {
    let findings = [Severity::Error, Severity::Warning].map(|weight| Finding {
        weight,
        code: "no_weight",
        place: "routes[0]".into(),
        text: "text".into(),
    });
    let finding = |weight| json!({"weight": weight, "code": "no_weight", "place": "routes[0]", "text": "text"});
    let expected = json!({"findings": [finding("error"), finding("warning")]});
    assert_eq!(serde_json::from_str::<Value>(&report::json(&findings)).unwrap(), expected);
    assert_eq!((report::EXIT_CLEAN, report::EXIT_FINDINGS, report::EXIT_FAILURE), (0, 1, 2));
}

#[tokio::test]
async fn queries_fail_if_no_node_can_be_reached() {
    assert!(members::query(&[unreachable_address()], TIMEOUT).await.is_err());
    assert!(rollout::query(&[unreachable_address()], TIMEOUT).await.is_err());
    assert!(fleetctl::query::fetch(&[unreachable_address()], TIMEOUT).await.is_err());
}
