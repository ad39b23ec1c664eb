//! Tests of `values`.

use super::*;

fn body(version: u64, isolated: &[&str]) -> bytes::Bytes {
    let tenants: Vec<_> = ["a", "b"]
        .iter()
        .map(|n| serde_json::json!({"name": n, "apiKeys": [format!("k-{n}")], "isolated": isolated.contains(n)}))
        .collect();
    serde_json::json!({"revision": version, "routes": [], "services": [], "tenants": tenants})
        .to_string()
        .into()
}

fn put(base: u64, version: u64, isolated: &[&str]) -> ChangeKind {
    ChangeKind::Replace(ReplaceConfig { base, version, body: body(version, isolated) })
}

fn step(now: &mut bytes::Bytes, c: &ChangeKind) -> (Outcome, u64) {
    let (v, a) = match decide(c, now) {
        Decision::Answer(a) => (None, a),
        Decision::Write(v, a) => (Some(v), a),
    };
    if let Some(v) = v {
        *now = v;
    }
    (a.outcome(), a.number)
}

#[test]
fn config_rules() {
    let mut now = bytes::Bytes::new();
    assert_eq!(step(&mut now, &put(1, 3, &[])), (Outcome::Stale, 0));
    assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3));
    assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3), "resent");
    assert_eq!(step(&mut now, &put(0, 3, &["a"])), (Outcome::Stale, 3), "other body");
    assert_eq!(step(&mut now, &put(3, 3, &["a"])), (Outcome::Invalid, 3));
    assert_eq!(step(&mut now, &put(3, 7, &["a"])), (Outcome::Done, 7));
    assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3), "resent late");
    assert_eq!(ConfigValue::decode(now).unwrap().version, 7);
}

#[test]
fn shared_isolation_rises_only_when_a_tenant_becomes_isolated() {
    let mut now = bytes::Bytes::new();
    let isolation = |now: &bytes::Bytes| ConfigValue::decode(now.clone()).unwrap().isolation;
    step(&mut now, &put(0, 1, &["a"]));
    assert_eq!(isolation(&now), 1);
    step(&mut now, &put(1, 2, &["a"]));
    assert_eq!(isolation(&now), 1);
    step(&mut now, &put(2, 3, &["a", "b"]));
    assert_eq!(isolation(&now), 2);
    step(&mut now, &put(3, 4, &[]));
    assert_eq!(isolation(&now), 2);
    step(&mut now, &put(4, 5, &["a"]));
    assert_eq!(isolation(&now), 3);
}

fn raise(holder: &str, attempt: u64, acts: bool) -> ChangeKind {
    let id = fleet_core::wire::RaiseId { incarnation: u64::from(holder.as_bytes()[0]), attempt };
    ChangeKind::Raise(RaiseFence { duty: "d".into(), holder: holder.into(), id, acts })
}

#[test]
fn fences_rise_and_name_the_former_holder() {
    let mut now = bytes::Bytes::new();
    assert_eq!(step(&mut now, &raise("x", 1, false)), (Outcome::Done, 1));
    let Decision::Write(_, a) = decide(&raise("y", 1, false), &now) else { panic!("writes") };
    assert_eq!((a.number, a.holder.as_str()), (2, "x"));
}

#[test]
fn a_raise_decided_twice_still_names_who_acted() {
    let mut now = bytes::Bytes::new();
    step(&mut now, &raise("x", 1, false));
    step(&mut now, &raise("y", 1, false));
    let Decision::Answer(a) = decide(&raise("y", 1, false), &now) else { panic!("same raise") };
    assert_eq!((a.number, a.holder.as_str()), (2, "x"), "the same fence");
    let Decision::Write(_, a) = decide(&raise("y", 2, false), &now) else { panic!("writes") };
    assert_eq!((a.number, a.holder.as_str()), (3, "x"), "a new raise, or a new incarnation");
}

#[test]
fn only_the_newest_raise_may_begin_to_act() {
    let mut now = bytes::Bytes::new();
    step(&mut now, &raise("x", 1, false));
    step(&mut now, &raise("y", 1, false));
    assert_eq!(step(&mut now, &raise("x", 1, true)), (Outcome::Stale, 2));
    assert_eq!(step(&mut now, &raise("y", 1, true)), (Outcome::Done, 2));
    assert_eq!(step(&mut now, &raise("y", 1, true)), (Outcome::Done, 2), "told twice");
    let Decision::Write(_, a) = decide(&raise("x", 2, false), &now) else { panic!("writes") };
    assert_eq!((a.number, a.holder.as_str()), (3, "y"));
}

#[test]
fn named_weights_never_fall() {
    let mut now = bytes::Bytes::new();
    let name =
        |s| ChangeKind::Name(fleet_core::wire::NameVersion { model: "m".into(), version: s });
    assert_eq!(step(&mut now, &name(3)), (Outcome::Done, 3));
    assert_eq!(step(&mut now, &name(2)), (Outcome::Done, 3));
    assert_eq!(WeightsValue::decode(now).unwrap().version, 3);
}
