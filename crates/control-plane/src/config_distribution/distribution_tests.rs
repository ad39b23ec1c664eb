//! Tests of the configuration responses to routers.

use super::*;
use fleet_core::{compression, delta};

fn text(revision: u64) -> String {
    let routes: Vec<_> =
        (0..200).map(|number| format!("{{\"name\":\"route-{}\"}}", number * 7919)).collect();
    format!("{{\"revision\":{revision},\"routes\":[{}]}}", routes.join(","))
}

fn value(body: &str, version: u64) -> ConfigValue {
    ConfigValue {
        version,
        isolation: 3,
        compressed_body: compression::compress(body.as_bytes()),
        digest: bytes::Bytes::copy_from_slice(BodyDigest::of(body.as_bytes()).as_bytes()),
        ..Default::default()
    }
}

fn request(digest: &bytes::Bytes) -> ConfigRequest {
    ConfigRequest { digest: digest.clone() }
}

#[test]
fn a_router_gets_a_delta_against_a_retained_body_and_otherwise_the_full_body() {
    let config_bodies = ConfigBodies::default();
    let (base_text, current_text) = (text(4), text(5));
    let (base, current) = (value(&base_text, 4), value(&current_text, 5));
    config_bodies.retain(&base);
    let unknown = bytes::Bytes::copy_from_slice(BodyDigest::of(b"?").as_bytes());
    for digest in [&unknown, &bytes::Bytes::new()] {
        let response = config_bodies.respond(&request(digest), &current);
        assert_eq!(response.payload, Some(ConfigPayload::Full(current.compressed_body.clone())));
        assert_eq!(
            (response.version, response.isolation, &response.digest),
            (5, 3, &current.digest)
        );
    }
    let Some(ConfigPayload::Delta(compressed)) =
        config_bodies.respond(&request(&base.digest), &current).payload
    else {
        panic!("the base body is retained")
    };
    assert!(compressed.len() * 5 < current.compressed_body.len(), "{} bytes", compressed.len());
    let decompressed = compression::decompress(&compressed, 1 << 20).unwrap();
    let delta = fleet_core::wire::ConfigDelta::decode(decompressed).unwrap();
    assert_eq!(delta::apply(&delta, base_text.as_bytes(), 1 << 20).unwrap(), current_text);
}

#[test]
fn a_delta_larger_than_the_full_body_is_not_sent() {
    let config_bodies = ConfigBodies::default();
    let base = value(&text(4), 4);
    config_bodies.retain(&base);
    let current = value("{}", 5);
    let response = config_bodies.respond(&request(&base.digest), &current);
    assert_eq!(response.payload, Some(ConfigPayload::Full(current.compressed_body.clone())));
}

#[test]
fn a_router_that_has_the_current_body_is_sent_no_body() {
    let current = value(&text(5), 5);
    let response = ConfigBodies::default().respond(&request(&current.digest), &current);
    assert_eq!((response.version, response.payload), (5, None));
}

#[test]
fn kv_stores_are_those_of_the_given_configuration() {
    let config_bodies = ConfigBodies::default();
    let body = |store: &str| {
        serde_json::json!({"revision": 1, "routes": [], "services": [{"name": "k", "kvStore": store}]})
            .to_string()
    };
    for (version, store) in [(1, "10.0.0.1:1"), (2, "10.0.0.1:1"), (3, "10.0.0.2:1")] {
        let value = value(&body(store), version);
        assert_eq!(config_bodies.kv_stores(&value), [store.to_owned()]);
    }
    assert!(config_bodies.kv_stores(&value("{", 4)).is_empty());
}
