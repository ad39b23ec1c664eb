//! Tests of `table`.

use super::*;

fn table() -> Table {
    let sheet = serde_json::json!({
        "revision": 3,
        "routes": [
            {"host": "H.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 10, "service": "s"},
            {"host": "h.example", "pathPrefix": "/a/b/", "kind": "streaming", "timeoutMs": 10, "resumable": true,
             "split": [{"service": "s", "weight": 1}, {"service": "u", "weight": 0}]},
        ],
        "services": [{"name": "s", "maxConns": 5}, {"name": "u"}, {"name": "k", "kvStore": "10.0.0.1:80"}],
        "tenants": [{"name": "t", "apiKeys": ["k1"]}],
    });
    Table::compile(sheet.to_string().as_bytes(), 1).unwrap()
}

#[test]
fn longest_prefix_of_the_host_wins() {
    let t = table();
    assert_eq!(t.route("h.example", "/a/b/c").unwrap().path_prefix, "/a/b/");
    assert_eq!(t.route("H.EXAMPLE:80", "/a/x").unwrap().path_prefix, "/a/");
    assert!(t.route("h.example", "/a").is_none());
    assert!(t.route("other", "/a/").is_none());
}

#[test]
fn picks_by_weight_and_knows_tenants_and_store() {
    let t = table();
    let r = t.route("h.example", "/a/b/").unwrap();
    assert!((0..10).all(|d| t.pick(r, d) == Some("s")));
    assert_eq!(repeat(r), Repeat::ByResuming);
    assert_eq!(t.tenant("k1").unwrap().name, "t");
    assert!(t.tenant("k2").is_none());
    assert_eq!(t.stores()[0].name, "k");
}
