//! Tests of `configuration`.

use super::*;

fn sheet() -> serde_json::Value {
    serde_json::json!({
        "revision": 3,
        "routes": [
            {"name": "a", "host": "h", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 10, "service": "s"},
            {"name": "b", "host": "h", "pathPrefix": "/b/", "kind": "safe", "timeoutMs": 10,
             "split": [{"service": "s", "weight": 1}, {"service": "s", "weight": 0}]},
        ],
        "services": [{"name": "s", "maxConns": 5}],
        "tenants": [{"name": "t", "apiKeys": ["k1", "k2"]}, {"name": "u", "apiKeys": ["k3"], "isolated": true}],
    })
}

fn read(v: &serde_json::Value) -> Result<Configuration, ConfigError> {
    Configuration::read(v.to_string().as_bytes())
}

#[test]
fn proper_one_is_taken() {
    let c = read(&sheet()).unwrap();
    assert_eq!(c.revision, 3);
    assert_eq!(c.routes[1].shares(), vec![("s", 1), ("s", 0)]);
    assert!(c.tenants[1].isolated);
}

#[test]
fn each_fault_is_named_with_its_place() {
    type Edit = fn(&mut serde_json::Value);
    let table: &[(Edit, &str, &str)] = &[
        (|v| v["routes"][1]["split"][1]["service"] = "x".into(), "unknown_service", "routes[1]"),
        (|v| v["routes"][1]["pathPrefix"] = "/a/".into(), "same_place", "routes[1]"),
        (|v| v["routes"][1]["split"][0]["weight"] = 0.into(), "no_weight", "routes[1]"),
        (|v| v["routes"][0]["timeoutMs"] = 0.into(), "out_of_bounds", "routes[0].timeout_ms"),
        (|v| v["tenants"][1]["apiKeys"][0] = "k2".into(), "shared_key", "tenants[1].apiKeys[0]"),
        (|v| v["revision"] = "x".into(), "unreadable", "line 1"),
    ];
    for (edit, code, place) in table {
        let mut v = sheet();
        edit(&mut v);
        let e = read(&v).unwrap_err();
        assert_eq!(e.code(), *code);
        assert!(e.to_string().contains(place), "{e} lacks {place}");
    }
}

#[test]
fn cut_short_is_unreadable() {
    let text = sheet().to_string();
    let e = Configuration::read(&text.as_bytes()[..text.len() / 2]).unwrap_err();
    assert_eq!(e.code(), "unreadable");
}
