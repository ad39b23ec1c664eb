//! Tests of `findings`.

use super::*;
use crate::query::{EngineView, Fleet};

fn sheet(revision: u64) -> serde_json::Value {
    serde_json::json!({
        "revision": revision,
        "routes": [{"host": "h", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 100, "targetMs": 50, "service": "s"},
                   {"host": "h", "pathPrefix": "/b/", "kind": "safe", "timeoutMs": 100, "service": "s"}],
        "services": [{"name": "s", "maxConns": 9, "engine": {"slots": 8}}, {"name": "u", "maxConns": 9}],
        "tenants": [{"name": "t", "apiKeys": ["k1", "k2"]}],
    })
}

fn now() -> AsItIs {
    let e = |state: &str| EngineView {
        service: "s".into(),
        state: state.into(),
        heartbeat_missed: false,
        slots: 8,
    };
    AsItIs {
        in_force: Some(read(sheet(5).to_string().as_bytes()).unwrap()),
        fleet: Fleet { revision: 5, routers: 3, engines: vec![e("ready"), e("draining")] },
    }
}

fn codes(edit: impl Fn(&mut serde_json::Value)) -> Vec<(&'static str, String)> {
    let mut v = sheet(6);
    edit(&mut v);
    match read(v.to_string().as_bytes()) {
        Err(f) => vec![(f.code, f.place)],
        Ok(c) => findings(&c, &now()).into_iter().map(|f| (f.code, f.place)).collect(),
    }
}

#[test]
fn sound_configuration_has_no_findings() {
    assert!(codes(|_| {}).is_empty());
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
        assert_eq!(codes(edit), vec![(*code, (*place).to_owned())]);
    }
    let moved = codes(|v| v["routes"][1]["service"] = "u".into());
    let both = ["no_ready_engine", "loses_engines"].map(|c| (c, "routes[1]".to_owned()));
    assert_eq!(moved, both);
}
