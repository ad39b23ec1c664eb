//! Tests of `findings`: the code and place of each finding.

use super::*;
use crate::query::{EngineView, Fleet};

fn configuration(revision: u64) -> serde_json::Value {
    serde_json::json!({
        "revision": revision,
        "routes": [{"host": "h", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 100, "targetMs": 50, "service": "s"},
                   {"host": "h", "pathPrefix": "/b/", "kind": "safe", "timeoutMs": 100, "service": "s"}],
        "services": [{"name": "s", "maxConns": 9, "engine": {"slots": 8}}, {"name": "u", "maxConns": 9}],
        "tenants": [{"name": "t", "apiKeys": ["k1", "k2"]}],
    })
}

fn current_state() -> CurrentState {
    let engine = |state: &str| EngineView {
        service: "s".into(),
        state: state.into(),
        heartbeat_missed: false,
        slots: 8,
    };
    CurrentState {
        configuration: Some(parse(configuration(5).to_string().as_bytes()).unwrap()),
        fleet: Fleet {
            revision: 5,
            routers: 3,
            engines: vec![engine("ready"), engine("draining")],
        },
    }
}

fn codes_and_places(edit: impl Fn(&mut serde_json::Value)) -> Vec<(&'static str, String)> {
    let mut json = configuration(6);
    edit(&mut json);
    match parse(json.to_string().as_bytes()) {
        Err(finding) => vec![(finding.code, finding.place)],
        Ok(new) => check(&new, &current_state())
            .into_iter()
            .map(|finding| (finding.code, finding.place))
            .collect(),
    }
}

#[test]
fn a_valid_configuration_has_no_findings() {
    assert!(codes_and_places(|_| {}).is_empty());
}

#[test]
fn each_finding_has_its_code_and_place() {
    type Edit = fn(&mut serde_json::Value);
    let table: &[(Edit, &str, &str)] = &[
        (|v| v["revision"] = 5.into(), "version_not_above", "revision"),
        (|v| v["routes"][0]["timeoutMs"] = 0.into(), "out_of_bounds", "routes[0].timeout_ms"),
        (|v| v["routes"][0]["service"] = "x".into(), "unknown_service", "routes[0]"),
        (|v| v["routes"][0]["timeoutMs"] = 20.into(), "timeout_below_aim", "routes[0].timeoutMs"),
        (|v| v["routes"][1]["pathPrefix"] = "/c/".into(), "removed_route", "routes"),
        (
            |v| v["tenants"][0]["apiKeys"] = serde_json::json!(["k1"]),
            "removed_key",
            "tenants[0].apiKeys",
        ),
        (|v| v["tenants"][0]["isolated"] = true.into(), "newly_isolated", "tenants[0].isolated"),
        (|v| v["services"][0]["maxConns"] = 2.into(), "conns_too_few", "services[0].maxConns"),
        (
            |v| v["services"][0]["engine"]["slots"] = 9.into(),
            "facts_differ",
            "services[0].engine.slots",
        ),
    ];
    for (edit, code, place) in table {
        assert_eq!(codes_and_places(edit), vec![(*code, (*place).to_owned())]);
    }
    let found = codes_and_places(|v| v["routes"][1]["service"] = "u".into());
    let expected = ["no_ready_engine", "loses_engines"].map(|code| (code, "routes[1]".to_owned()));
    assert_eq!(found, expected);
}
