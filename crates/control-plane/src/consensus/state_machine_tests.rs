//! Tests of `state_machine`.

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
    let packed = fleet_core::packing::pack(&body(version, isolated));
    ChangeKind::Replace(ReplaceConfig { base, version, packed })
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
    assert_eq!(step(&mut now, &put(1, 3, &[])), (Outcome::Unproven, 0), "its base may yet come");
    assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3));
    assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3), "resent");
    assert_eq!(step(&mut now, &put(0, 3, &["a"])), (Outcome::Stale, 3), "other body");
    assert_eq!(step(&mut now, &put(3, 3, &["a"])), (Outcome::Invalid, 3));
    assert_eq!(step(&mut now, &put(3, 7, &["a"])), (Outcome::Done, 7));
    assert_eq!(step(&mut now, &put(0, 3, &[])), (Outcome::Done, 3), "resent late");
    let now = ConfigValue::decode(now).unwrap();
    assert_eq!((now.version, now.body().unwrap()), (7, body(7, &["a"])));
    assert_eq!(now.digest, BodyDigest::of(&body(7, &["a"])).as_bytes());
}

#[test]
fn a_value_gives_no_body_with_another_digest() {
    let mut now = bytes::Bytes::new();
    step(&mut now, &put(0, 1, &[]));
    let value = ConfigValue::decode(now).unwrap();
    let swapped = ConfigValue { packed: fleet_core::packing::pack(b"{}"), ..value.clone() };
    assert_eq!(swapped.body(), Err(fleet_core::wire::BodyError::OtherDigest));
    let empty = ConfigValue { packed: bytes::Bytes::new(), ..value };
    assert!(empty.body().is_err());
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
    ChangeKind::Raise(RaiseFencingToken { lease_name: "d".into(), holder: holder.into(), id, acts })
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
        |s| ChangeKind::Name(fleet_core::wire::SetTargetVersion { model: "m".into(), version: s });
    assert_eq!(step(&mut now, &name(3)), (Outcome::Done, 3));
    assert_eq!(step(&mut now, &name(2)), (Outcome::Done, 3));
    assert_eq!(WeightsValue::decode(now).unwrap().version, 3);
}

#[test]
fn an_order_that_the_history_no_longer_covers_is_neither_refused_nor_acknowledged() {
    let mut now = bytes::Bytes::new();
    let retained = fleet_core::constants::COMMITTED_CONFIGS_CAPACITY as u64;
    chain(&mut now, retained + 1);
    assert_eq!(step(&mut now, &put(0, 1, &[])).0, Outcome::Unproven, "taken, and forgotten");
    assert_eq!(step(&mut now, &put(0, 1, &["a"])).0, Outcome::Unproven, "lost, and forgotten");
    assert_eq!(step(&mut now, &put(1, 2, &[])), (Outcome::Done, 2), "the oldest that is kept");
    assert_eq!(step(&mut now, &put(1, 2, &["a"])).0, Outcome::Stale, "lost to that one");
}

/// Orders as operators send them: a few bases and numbers around the chain, two bodies for each.
#[derive(Debug, Clone)]
struct Order {
    /// which entry of the chain, from the end, is its base; 0 for one that is yet to come
    behind: usize,
    /// its number above the base
    rise: u64,
    isolated: bool,
}

/// The chain as a plain list: number of each configuration, and which of two bodies it has.
#[derive(Default)]
struct Model {
    chain: Vec<(u64, bool)>,
}

impl Model {
    fn current(&self) -> u64 {
        self.chain.last().map_or(0, |(version, _)| *version)
    }

    /// What may be answered, given that history covers the whole chain.
    fn expected(&mut self, base: u64, version: u64, isolated: bool) -> Outcome {
        let configuration = (version, isolated);
        if self.chain.contains(&configuration) {
            return Outcome::Done;
        }
        if version <= base {
            return Outcome::Invalid;
        }
        if base > self.current() {
            return Outcome::Unproven;
        }
        if base < self.current() {
            return Outcome::Stale;
        }
        self.chain.push(configuration);
        Outcome::Done
    }
}

fn orders_around_the_chain() -> impl proptest::strategy::Strategy<Value = Vec<Order>> {
    use proptest::prelude::*;
    let order = (0usize..4, 0u64..4, any::<bool>()).prop_map(|(behind, rise, isolated)| Order {
        behind,
        rise,
        isolated,
    });
    prop::collection::vec(order, 1..60)
}

proptest::proptest! {
    /// Every order is answered as a plain list of the chain says, and all that were answered
    /// clearly are sent again at the end: what was confirmed stays confirmed, and what was refused stays refused, unless
    /// the very same configuration was taken meanwhile on another base.
    #[test]
    fn answers_agree_with_a_plain_list_of_the_chain(orders in orders_around_the_chain()) {
        let mut now = bytes::Bytes::new();
        let mut model = Model::default();
        let mut sent = Vec::new();
        for order in orders {
            let base = match order.behind {
                0 => model.current() + 1,
                n => model.chain.iter().rev().nth(n - 1).map_or(0, |(version, _)| *version),
            };
            let (version, isolated) = (base + order.rise, order.isolated);
            let names: &[&str] = if isolated { &["a"] } else { &[] };
            let change = put(base, version, names);
            let got = step(&mut now, &change).0;
            proptest::prop_assert_eq!(got, model.expected(base, version, isolated));
            if got != Outcome::Unproven {
                sent.push((change, (version, isolated), got));
            }
        }
        for (change, configuration, first) in sent {
            let again = step(&mut now, &change).0;
            if first == Outcome::Done || model.chain.contains(&configuration) {
                proptest::prop_assert_eq!(again, Outcome::Done);
            } else {
                proptest::prop_assert_eq!(again, first);
            }
        }
    }
}

/// Commits changes 1, 2, … `last` in a row, each built on the one before.
fn chain(now: &mut bytes::Bytes, last: u64) {
    for version in 1..=last {
        assert_eq!(step(now, &put(version - 1, version, &[])), (Outcome::Done, version));
    }
}

#[test]
fn an_order_sent_again_after_65_and_after_1000_others_is_acknowledged_again() {
    for others in [65, 1000] {
        let mut now = bytes::Bytes::new();
        chain(&mut now, 1 + others);
        assert_eq!(step(&mut now, &put(0, 1, &[])), (Outcome::Done, 1), "after {others}");
    }
}
