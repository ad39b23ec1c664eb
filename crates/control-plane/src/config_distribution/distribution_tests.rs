//! Tests of what routers are given.

use super::*;
use fleet_core::{delta, packing};

fn text(revision: u64) -> String {
    let routes: Vec<_> =
        (0..200).map(|number| format!("{{\"name\":\"route-{}\"}}", number * 7919)).collect();
    format!("{{\"revision\":{revision},\"routes\":[{}]}}", routes.join(","))
}

fn value(body: &str, version: u64) -> ConfigValue {
    ConfigValue {
        version,
        isolation: 3,
        packed: packing::pack(body.as_bytes()),
        digest: bytes::Bytes::copy_from_slice(BodyDigest::of(body.as_bytes()).as_bytes()),
        ..Default::default()
    }
}

fn request(digest: &bytes::Bytes) -> ConfigRequest {
    ConfigRequest { digest: digest.clone() }
}

#[test]
fn a_router_gets_a_delta_for_a_kept_body_and_else_the_whole() {
    let config_distribution = ConfigBodies::default();
    let (former, new) = (text(4), text(5));
    let (old, now) = (value(&former, 4), value(&new, 5));
    config_distribution.remember(&old);
    let unknown = bytes::Bytes::copy_from_slice(BodyDigest::of(b"?").as_bytes());
    for digest in [&unknown, &bytes::Bytes::new()] {
        let respond = config_distribution.respond(&request(digest), &now);
        assert_eq!(respond.form, Some(ConfigForm::Full(now.packed.clone())));
        assert_eq!((respond.version, respond.isolation, &respond.digest), (5, 3, &now.digest));
    }
    let Some(ConfigForm::Delta(packed)) =
        config_distribution.respond(&request(&old.digest), &now).form
    else {
        panic!("the former body is kept")
    };
    assert!(packed.len() * 5 < now.packed.len(), "{} bytes", packed.len());
    let plain = packing::unpack(&packed, 1 << 20).unwrap();
    let delta = fleet_core::wire::ConfigDelta::decode(plain).unwrap();
    assert_eq!(delta::apply(&delta, former.as_bytes(), 1 << 20).unwrap(), new);
}

#[test]
fn a_delta_larger_than_the_whole_is_not_given() {
    let config_distribution = ConfigBodies::default();
    let old = value(&text(4), 4);
    config_distribution.remember(&old);
    let now = value("{}", 5);
    let respond = config_distribution.respond(&request(&old.digest), &now);
    assert_eq!(respond.form, Some(ConfigForm::Full(now.packed.clone())));
}

#[test]
fn a_router_that_has_the_body_gets_none() {
    let now = value(&text(5), 5);
    let respond = ConfigBodies::default().respond(&request(&now.digest), &now);
    assert_eq!((respond.version, respond.form), (5, None));
}

#[test]
fn stores_follow_the_configuration() {
    let config_distribution = ConfigBodies::default();
    let body = |store: &str| {
        serde_json::json!({"revision": 1, "routes": [], "services": [{"name": "k", "kvStore": store}]})
            .to_string()
    };
    for (version, store) in [(1, "10.0.0.1:1"), (2, "10.0.0.1:1"), (3, "10.0.0.2:1")] {
        let value = value(&body(store), version);
        assert_eq!(config_distribution.kv_stores(&value), [store.to_owned()]);
    }
    assert!(config_distribution.kv_stores(&value("{", 4)).is_empty());
}
