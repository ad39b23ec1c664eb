//! Tests of `state_machine`: the outcome of changes that are stale, invalid, repeated or resent.

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

fn replace(base_version: u64, version: u64, isolated: &[&str]) -> ChangeKind {
    let compressed = fleet_core::compression::compress(&body(version, isolated));
    ChangeKind::ReplaceConfig(ReplaceConfig { base_version, version, compressed_body: compressed })
}

/// Decides on a change and stores the new value, if there is one.
fn apply(current: &mut bytes::Bytes, change: &ChangeKind) -> (Outcome, u64) {
    let (value, response) = match decide(change, current) {
        Decision::Answer(response) => (None, response),
        Decision::Write(value, response) => (Some(value), response),
    };
    if let Some(value) = value {
        *current = value;
    }
    (response.outcome(), response.number)
}

#[test]
fn configuration_is_accepted_only_on_the_current_base() {
    let mut current = bytes::Bytes::new();
    assert_eq!(
        apply(&mut current, &replace(1, 3, &[])),
        (Outcome::Undetermined, 0),
        "its base may still be committed"
    );
    assert_eq!(apply(&mut current, &replace(0, 3, &[])), (Outcome::Committed, 3));
    assert_eq!(apply(&mut current, &replace(0, 3, &[])), (Outcome::Committed, 3), "resent");
    assert_eq!(apply(&mut current, &replace(0, 3, &["a"])), (Outcome::Stale, 3), "different body");
    assert_eq!(apply(&mut current, &replace(3, 3, &["a"])), (Outcome::Invalid, 3));
    assert_eq!(apply(&mut current, &replace(3, 7, &["a"])), (Outcome::Committed, 7));
    assert_eq!(
        apply(&mut current, &replace(0, 3, &[])),
        (Outcome::Committed, 3),
        "resent after a later change"
    );
    let current = ConfigValue::decode(current).unwrap();
    assert_eq!((current.version, current.body().unwrap()), (7, body(7, &["a"])));
    assert_eq!(current.digest, BodyDigest::of(&body(7, &["a"])).as_bytes());
}

#[test]
fn body_that_does_not_match_its_digest_is_rejected() {
    let mut current = bytes::Bytes::new();
    apply(&mut current, &replace(0, 1, &[]));
    let value = ConfigValue::decode(current).unwrap();
    let swapped =
        ConfigValue { compressed_body: fleet_core::compression::compress(b"{}"), ..value.clone() };
    assert_eq!(swapped.body(), Err(fleet_core::wire::BodyError::DigestMismatch));
    let empty = ConfigValue { compressed_body: bytes::Bytes::new(), ..value };
    assert!(empty.body().is_err());
}

#[test]
fn shared_isolation_rises_only_when_a_tenant_becomes_isolated() {
    let mut current = bytes::Bytes::new();
    let isolation =
        |current: &bytes::Bytes| ConfigValue::decode(current.clone()).unwrap().isolation;
    apply(&mut current, &replace(0, 1, &["a"]));
    assert_eq!(isolation(&current), 1);
    apply(&mut current, &replace(1, 2, &["a"]));
    assert_eq!(isolation(&current), 1);
    apply(&mut current, &replace(2, 3, &["a", "b"]));
    assert_eq!(isolation(&current), 2);
    apply(&mut current, &replace(3, 4, &[]));
    assert_eq!(isolation(&current), 2);
    apply(&mut current, &replace(4, 5, &["a"]));
    assert_eq!(isolation(&current), 3);
}

fn raise(holder: &str, attempt: u64, records_takeover: bool) -> ChangeKind {
    let id = fleet_core::wire::RaiseId { incarnation: u64::from(holder.as_bytes()[0]), attempt };
    ChangeKind::RaiseFencingToken(RaiseFencingToken {
        lease_name: "d".into(),
        holder: holder.into(),
        id,
        records_takeover,
    })
}

#[test]
fn fencing_token_rises_and_names_the_previous_holder() {
    let mut current = bytes::Bytes::new();
    assert_eq!(apply(&mut current, &raise("x", 1, false)), (Outcome::Committed, 1));
    let Decision::Write(_, response) = decide(&raise("y", 1, false), &current) else {
        panic!("expected a new value")
    };
    assert_eq!((response.number, response.holder.as_str()), (2, "x"));
}

#[test]
fn repeated_raise_still_names_the_acting_node() {
    let mut current = bytes::Bytes::new();
    apply(&mut current, &raise("x", 1, false));
    apply(&mut current, &raise("y", 1, false));
    let Decision::Answer(response) = decide(&raise("y", 1, false), &current) else {
        panic!("expected the same token")
    };
    assert_eq!((response.number, response.holder.as_str()), (2, "x"), "same fencing token");
    let Decision::Write(_, response) = decide(&raise("y", 2, false), &current) else {
        panic!("expected a new value")
    };
    assert_eq!(
        (response.number, response.holder.as_str()),
        (3, "x"),
        "a new raise, or a new incarnation"
    );
}

#[test]
fn only_the_newest_raise_may_start_to_act() {
    let mut current = bytes::Bytes::new();
    apply(&mut current, &raise("x", 1, false));
    apply(&mut current, &raise("y", 1, false));
    assert_eq!(apply(&mut current, &raise("x", 1, true)), (Outcome::Stale, 2));
    assert_eq!(apply(&mut current, &raise("y", 1, true)), (Outcome::Committed, 2));
    assert_eq!(apply(&mut current, &raise("y", 1, true)), (Outcome::Committed, 2), "repeated");
    let Decision::Write(_, response) = decide(&raise("x", 2, false), &current) else {
        panic!("expected a new value")
    };
    assert_eq!((response.number, response.holder.as_str()), (3, "y"));
}

#[test]
fn target_version_of_weights_never_decreases() {
    let mut current = bytes::Bytes::new();
    let set_version = |version| {
        ChangeKind::SetTargetVersion(fleet_core::wire::SetTargetVersion {
            model: "m".into(),
            version,
        })
    };
    assert_eq!(apply(&mut current, &set_version(3)), (Outcome::Committed, 3));
    assert_eq!(apply(&mut current, &set_version(2)), (Outcome::Committed, 3));
    assert_eq!(WeightsValue::decode(current).unwrap().version, 3);
}

#[test]
fn request_older_than_the_history_is_neither_rejected_nor_acknowledged() {
    let mut current = bytes::Bytes::new();
    let retained = fleet_core::constants::COMMITTED_CONFIGS_CAPACITY as u64;
    commit_through(&mut current, retained + 1);
    assert_eq!(
        apply(&mut current, &replace(0, 1, &[])).0,
        Outcome::Undetermined,
        "committed, but no longer covered"
    );
    assert_eq!(
        apply(&mut current, &replace(0, 1, &["a"])).0,
        Outcome::Undetermined,
        "not committed, and no longer covered"
    );
    assert_eq!(
        apply(&mut current, &replace(1, 2, &[])),
        (Outcome::Committed, 2),
        "oldest version covered"
    );
    assert_eq!(
        apply(&mut current, &replace(1, 2, &["a"])).0,
        Outcome::Stale,
        "another body was committed"
    );
}

/// A replacement request whose base and version lie near the end of the chain, with one of two bodies.
#[derive(Debug, Clone)]
struct Request {
    /// Position of its base in the chain, counted from the end; 0 for a base that is not committed yet.
    base_from_end: usize,
    /// Difference between its version and that of the base.
    increment: u64,
    isolated: bool,
}

/// Reference model: the complete list of committed configurations, with their versions and which of two bodies they
/// have.
#[derive(Default)]
struct Model {
    chain: Vec<(u64, bool)>,
}

impl Model {
    fn current(&self) -> u64 {
        self.chain.last().map_or(0, |(version, _)| *version)
    }

    /// The expected outcome, given that the history covers the whole chain.
    fn expected(&mut self, base_version: u64, version: u64, isolated: bool) -> Outcome {
        let configuration = (version, isolated);
        if self.chain.contains(&configuration) {
            return Outcome::Committed;
        }
        if version <= base_version {
            return Outcome::Invalid;
        }
        if base_version > self.current() {
            return Outcome::Undetermined;
        }
        if base_version < self.current() {
            return Outcome::Stale;
        }
        self.chain.push(configuration);
        Outcome::Committed
    }
}

fn requests_near_the_end_of_the_chain() -> impl proptest::strategy::Strategy<Value = Vec<Request>> {
    use proptest::prelude::*;
    let request =
        (0usize..4, 0u64..4, any::<bool>()).prop_map(|(base_from_end, increment, isolated)| {
            Request { base_from_end, increment, isolated }
        });
    prop::collection::vec(request, 1..60)
}

proptest::proptest! {
    /// Each request is answered as the complete list of committed configurations requires. Requests with a definite
    /// outcome are resent at the end: confirmed ones stay confirmed, and rejected ones stay rejected unless the same
    /// configuration was committed in the meantime on another base.
    #[test]
    fn outcomes_agree_with_the_reference_model(requests in requests_near_the_end_of_the_chain()) {
        let mut current = bytes::Bytes::new();
        let mut model = Model::default();
        let mut sent = Vec::new();
        for request in requests {
            let base_version = match request.base_from_end {
                0 => model.current() + 1,
                position => model.chain.iter().rev().nth(position - 1).map_or(0, |(version, _)| *version),
            };
            let (version, isolated) = (base_version + request.increment, request.isolated);
            let names: &[&str] = if isolated { &["a"] } else { &[] };
            let change = replace(base_version, version, names);
            let outcome = apply(&mut current, &change).0;
            proptest::prop_assert_eq!(outcome, model.expected(base_version, version, isolated));
            if outcome != Outcome::Undetermined {
                sent.push((change, (version, isolated), outcome));
            }
        }
        for (change, configuration, first_outcome) in sent {
            let resent_outcome = apply(&mut current, &change).0;
            if first_outcome == Outcome::Committed || model.chain.contains(&configuration) {
                proptest::prop_assert_eq!(resent_outcome, Outcome::Committed);
            } else {
                proptest::prop_assert_eq!(resent_outcome, first_outcome);
            }
        }
    }
}

/// Commits the versions 1, 2, … `last`, each based on the previous one.
fn commit_through(current: &mut bytes::Bytes, last: u64) {
    for version in 1..=last {
        assert_eq!(
            apply(current, &replace(version - 1, version, &[])),
            (Outcome::Committed, version)
        );
    }
}

#[test]
fn request_resent_after_65_or_1000_others_is_acknowledged_again() {
    for others in [65, 1000] {
        let mut current = bytes::Bytes::new();
        commit_through(&mut current, 1 + others);
        assert_eq!(
            apply(&mut current, &replace(0, 1, &[])),
            (Outcome::Committed, 1),
            "after {others} other changes"
        );
    }
}
