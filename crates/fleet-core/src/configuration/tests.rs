use super::*;

fn valid_configuration() -> serde_json::Value {
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

fn read(value: &serde_json::Value) -> Result<Configuration, ConfigError> {
    Configuration::parse(value.to_string().as_bytes())
}

#[test]
fn valid_configuration_is_parsed() {
    let configuration = read(&valid_configuration()).unwrap();
    assert_eq!(configuration.revision, 3);
    assert_eq!(configuration.routes[1].weighted_services(), vec![("s", 1), ("s", 0)]);
    assert!(configuration.tenants[1].isolated);
}

#[test]
fn each_error_reports_its_code_and_path() {
    type Edit = fn(&mut serde_json::Value);
    let table: &[(Edit, &str, &str)] = &[
        (
            |value| value["routes"][1]["split"][1]["service"] = "x".into(),
            "unknown_service",
            "routes[1]",
        ),
        (|value| value["routes"][1]["pathPrefix"] = "/a/".into(), "same_place", "routes[1]"),
        (|value| value["routes"][1]["split"][0]["weight"] = 0.into(), "no_weight", "routes[1]"),
        (
            |value| value["routes"][0]["timeoutMs"] = 0.into(),
            "out_of_bounds",
            "routes[0].timeout_ms",
        ),
        (
            |value| value["tenants"][1]["apiKeys"][0] = "k2".into(),
            "shared_key",
            "tenants[1].apiKeys[0]",
        ),
        (|value| value["revision"] = "x".into(), "unreadable", "line 1"),
    ];
    for (edit, code, path) in table {
        let mut value = valid_configuration();
        edit(&mut value);
        let error = read(&value).unwrap_err();
        assert_eq!(error.code(), *code);
        assert!(error.to_string().contains(path), "{error} lacks {path}");
    }
}

#[test]
fn truncated_body_is_unreadable() {
    let text = valid_configuration().to_string();
    let error = Configuration::parse(&text.as_bytes()[..text.len() / 2]).unwrap_err();
    assert_eq!(error.code(), "unreadable");
}
