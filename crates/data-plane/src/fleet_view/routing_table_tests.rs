use super::*;

fn compiled() -> RoutingTable {
    let configuration = serde_json::json!({
        "revision": 3,
        "routes": [
            {"host": "H.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 10, "service": "s"},
            {"host": "h.example", "pathPrefix": "/a/b/", "kind": "streaming", "timeoutMs": 10, "resumable": true,
             "split": [{"service": "s", "weight": 1}, {"service": "u", "weight": 0}]},
        ],
        "services": [{"name": "s", "maxConns": 5}, {"name": "u"}, {"name": "k", "kvStore": "10.0.0.1:80"}],
        "tenants": [{"name": "t", "apiKeys": ["k1"]}],
    });
    RoutingTable::compile(configuration.to_string().as_bytes(), 1).unwrap()
}

#[test]
fn the_longest_matching_path_prefix_of_the_host_wins() {
    let table = compiled();
    assert_eq!(table.route("h.example", "/a/b/c").unwrap().path_prefix, "/a/b/");
    assert_eq!(table.route("H.EXAMPLE:80", "/a/x").unwrap().path_prefix, "/a/");
    assert!(table.route("h.example", "/a").is_none());
    assert!(table.route("other", "/a/").is_none());
}

#[test]
fn picks_services_by_weight_and_finds_tenants_and_stores() {
    let table = compiled();
    let route = table.route("h.example", "/a/b/").unwrap();
    assert!((0..10).all(|random| table.pick_service(route, random) == Some("s")));
    assert_eq!(retry_mode(route), RetryMode::ResumeOnly);
    assert_eq!(table.tenants.by_key("k1").unwrap().name, "t");
    assert!(table.tenants.by_key("k2").is_none());
    assert_eq!(table.stores()[0].name, "k");
}
