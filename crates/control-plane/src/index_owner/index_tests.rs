use super::*;
use fleet_core::wire::WeightsVersion;
use invalidation::pending_change::PendingChange;
use invalidation::ring::Ring;

fn events(list: &str) -> KvEvents {
    serde_json::from_str(&format!(r#"{{"epoch":1,"nextToken":3,"lost":false,"events":[{list}]}}"#))
        .unwrap()
}

fn cached(holder: &str, parts: Vec<u64>) -> CachedParts {
    CachedParts { holder: holder.into(), salt: "m|1|#1".into(), parts, cached_tokens: Vec::new() }
}

#[test]
fn events_update_the_index_and_evictions_become_invalidations() {
    let batch = events(
        r#"[1,"+","m|1|#1","ff",8,"m"],[2,"+","m|1|#1","fe",8,"m"],[3,"-","m|1|#1","ff",0,"m"]"#,
    );
    let mut index = Index::default();
    index.record_findings(&[cached("other", vec![0xff, 0xfe])]);
    let invalidations = index.apply_events("h", &batch);
    let part =
        PartLocation { holder: "h".into(), salt: "m|1|#1".into(), part: 0xff, cached_tokens: 0 };
    assert_eq!(invalidations, vec![Invalidation::Part(part)]);
    let ring = Ring::new(8, 4, 4);
    let mut change = PendingChange::begin(&mut index);
    for invalidation in invalidations {
        change.add(RingEntry { scope: 0, invalidation: Some(invalidation) });
    }
    change.commit(&ring);
    assert_eq!(ring.head(), 1);
    let snapshot: Vec<CachedParts> = index.snapshot();
    let cached: Vec<_> =
        snapshot.iter().filter(|h| h.holder == "h" && !h.salt.is_empty()).collect();
    assert_eq!(
        (cached.len(), &cached[0].parts, &cached[0].cached_tokens),
        (1, &vec![0xfe], &vec![8])
    );
    let total = index.findings_total;
    assert_eq!(index.findings_since(total - 1).len(), 1, "one finding after the last but one");
    assert!(index.findings_since(total).is_empty());
    index.apply(&RingEntry {
        scope: 0,
        invalidation: Some(Invalidation::Weights(WeightsVersion { model: "m".into(), version: 2 })),
    });
    assert!(index.snapshot().iter().all(|h| h.parts.is_empty()));
}

#[test]
fn parts_of_single_requests_are_published_only_once_a_router_reports_them() {
    let mut index = Index::default();
    let invalidations = index.apply_events("a", &events(r#"[1,"+","m|1|#1","aa",8,"m"]"#));
    assert!(invalidations.is_empty() && index.snapshot().iter().all(|h| h.parts.is_empty()));
    index.record_findings(&[cached("b", vec![0xaa])]);
    let mut holders: Vec<String> =
        index.snapshot().into_iter().filter(|h| !h.parts.is_empty()).map(|h| h.holder).collect();
    holders.sort();
    assert_eq!(holders, ["a", "b"], "also at the holder whose event came first");
    let eviction = events(r#"[2,"-","m|1|#1","ab",0,"m"]"#);
    assert!(
        index.apply_events("a", &eviction).is_empty(),
        "a part that was not published needs no invalidation"
    );
}

#[test]
fn unshared_parts_are_bounded_and_dropped_with_their_holder() {
    let mut index = Index::default();
    for i in 0..constants::UNSHARED_PARTS_CAPACITY as u64 * 3 {
        index.register_part("a", "m|1|#1", i, None);
    }
    let count = index.unshared.len();
    assert!(
        count <= 2 * constants::UNSHARED_PARTS_CAPACITY
            && count > constants::UNSHARED_PARTS_CAPACITY / 2
    );
    index.remove_holder("a");
    assert_eq!(index.unshared.len(), 0);
}

#[test]
fn a_snapshot_is_no_larger_than_estimated() {
    let mut index = Index::default();
    for holder in 0..20 {
        let mut cached = cached(&format!("i-{holder:08x}"), (0..500).map(|i| i << 40).collect());
        cached.cached_tokens = vec![4096; 500];
        index.record_findings(&[cached]);
    }
    let response =
        fleet_core::wire::RingResponse { snapshot: index.snapshot(), ..Default::default() };
    let bytes = prost::Message::encoded_len(&response);
    let estimate = index.snapshot_bytes();
    assert!(bytes <= estimate && estimate < bytes * 2, "{bytes} bytes, estimated {estimate}");
}

/// Guards against unbounded growth of the set of shared parts when new prompts keep arriving over a long run.
#[test]
fn shared_parts_that_no_holder_caches_are_pruned() {
    let mut index = Index::default();
    index.record_findings(&[cached("stays", vec![u64::MAX])]);
    for part in 0..constants::SHARED_PARTS_CAPACITY as u64 * 3 {
        index.record_findings(&[cached("h", vec![part])]);
        index.evict_part("h", "m|1|#1", part, 0);
    }
    assert!(
        index.shared_parts.len() <= constants::SHARED_PARTS_CAPACITY,
        "{}",
        index.shared_parts.len()
    );
    assert!(index.shared_parts.contains(&u64::MAX), "a cached part stays shared");
}

#[test]
fn parts_and_salts_of_a_faulty_holder_leave_room_for_the_others() {
    let mut index = Index::default();
    let long_salt = "s".repeat(constants::SALT_MAX_BYTES + 1);
    index.record_findings(&[cached("sound", vec![1, 2])]);
    index.record_findings(&[cached("faulty", (0..100_000).collect())]);
    for salt in 0..200_000 {
        index.register_part("faulty", &salt.to_string(), 1, None);
    }
    index.register_part("faulty", &long_salt, 1, None);
    let weight = |holder: &str| index.holders[holder].weight();
    assert!(weight("faulty") < constants::MAX_HOLDER_CAPACITY + 20, "{}", weight("faulty"));
    assert!(index.snapshot().iter().all(|entry| entry.salt.len() <= constants::SALT_MAX_BYTES));
    index.record_findings(&[cached("sound", vec![3])]);
    assert_eq!(index.holders["sound"].iter().map(|(_, parts)| parts.len()).sum::<usize>(), 3);
}

#[test]
fn eviction_of_more_parts_than_the_ring_holds_invalidates_the_holder() {
    let mut index = Index::default();
    let count = constants::HOLDER_INVALIDATIONS_MAX as u64 + 1;
    index.record_findings(&[cached("h", (0..count).collect())]);
    let eviction = |part: u64| format!(r#"[1,"-","m|1|#1","{part:x}",0,"m"]"#);
    let list = |parts: std::ops::Range<u64>| parts.map(eviction).collect::<Vec<_>>().join(",");
    assert_eq!(index.apply_events("h", &events(&list(1..count))).len() as u64, count - 1);
    let all = index.apply_events("h", &events(&list(0..count)));
    assert_eq!(all, vec![Invalidation::Holder("h".into())]);
}
