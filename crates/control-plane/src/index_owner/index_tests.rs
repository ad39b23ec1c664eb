//! Tests of `index`.

use super::*;
use fleet_core::wire::Weights;
use invalidation::draft::Draft;
use invalidation::ring::Ring;

fn events(list: &str) -> Events {
    serde_json::from_str(&format!(r#"{{"epoch":1,"nextToken":3,"lost":false,"events":[{list}]}}"#))
        .unwrap()
}

fn cached(holder: &str, parts: Vec<u64>) -> CachedParts {
    CachedParts { holder: holder.into(), salt: "m|1|#1".into(), parts, cached_tokens: Vec::new() }
}

#[test]
fn events_are_learnt_and_evictions_become_purges() {
    let e = events(
        r#"[1,"+","m|1|#1","ff",8,"m"],[2,"+","m|1|#1","fe",8,"m"],[3,"-","m|1|#1","ff",0,"m"]"#,
    );
    let mut index = Index::default();
    index.record_found(&[cached("other", vec![0xff, 0xfe])]);
    let invalidations = index.apply_events("h", &e);
    let part =
        PartLocation { holder: "h".into(), salt: "m|1|#1".into(), part: 0xff, cached_tokens: 0 };
    assert_eq!(invalidations, vec![Invalidation::Part(part)]);
    let ring = Ring::new(8, 4, 4);
    let mut d = Draft::open(&mut index);
    for what in invalidations {
        d.add(RingEntry { scope: 0, what: Some(what) });
    }
    d.commit(&ring);
    assert_eq!(ring.head(), 1);
    let snapshot: Vec<CachedParts> = index.snapshot();
    let cached: Vec<_> =
        snapshot.iter().filter(|h| h.holder == "h" && !h.salt.is_empty()).collect();
    assert_eq!(
        (cached.len(), &cached[0].parts, &cached[0].cached_tokens),
        (1, &vec![0xfe], &vec![8])
    );
    let all = index.found;
    assert_eq!(index.since(all - 1).len(), 1, "found behind the last but one");
    assert!(index.since(all).is_empty());
    index.apply(&RingEntry {
        scope: 0,
        what: Some(Invalidation::Weights(Weights { model: "m".into(), version: 2 })),
    });
    assert!(index.snapshot().iter().all(|h| h.parts.is_empty()));
}

#[test]
fn parts_of_single_requests_are_told_only_once_a_router_names_them() {
    let mut index = Index::default();
    let invalidations = index.apply_events("a", &events(r#"[1,"+","m|1|#1","aa",8,"m"]"#));
    assert!(invalidations.is_empty() && index.snapshot().iter().all(|h| h.parts.is_empty()));
    index.record_found(&[cached("b", vec![0xaa])]);
    let mut who: Vec<String> =
        index.snapshot().into_iter().filter(|h| !h.parts.is_empty()).map(|h| h.holder).collect();
    who.sort();
    assert_eq!(who, ["a", "b"], "also where it was seen before");
    let eviction = events(r#"[2,"-","m|1|#1","ab",0,"m"]"#);
    assert!(index.apply_events("a", &eviction).is_empty(), "never told, never purged");
}

#[test]
fn parts_set_aside_are_bounded_and_go_with_their_holder() {
    let mut index = Index::default();
    for i in 0..constants::UNSHARED_PARTS_CAPACITY as u64 * 3 {
        index.found("a", "m|1|#1", i, None);
    }
    let n = index.unshared.iter().map(|u| u.len()).sum::<usize>();
    assert!(
        n <= 2 * constants::UNSHARED_PARTS_CAPACITY && n > constants::UNSHARED_PARTS_CAPACITY / 2
    );
    index.drop_holder("a");
    assert!(index.unshared.iter().all(|u| u.is_empty()));
}

#[test]
fn a_digest_is_no_larger_than_was_reckoned() {
    let mut index = Index::default();
    for holder in 0..20 {
        let mut cached = cached(&format!("i-{holder:08x}"), (0..500).map(|i| i << 40).collect());
        cached.cached_tokens = vec![4096; 500];
        index.record_found(&[cached]);
    }
    let give = fleet_core::wire::RingResponse { snapshot: index.snapshot(), ..Default::default() };
    let bytes = prost::Message::encoded_len(&give);
    let reckoned = index.snapshot_bytes();
    assert!(bytes <= reckoned && reckoned < bytes * 2, "{bytes} bytes, {reckoned} reckoned");
}

/// A day may be long, and its prompts new: what no holder keeps any more leaves nothing behind for good.
#[test]
fn shared_parts_that_nobody_keeps_are_forgotten() {
    let mut index = Index::default();
    index.record_found(&[cached("stays", vec![u64::MAX])]);
    for part in 0..constants::SHARED_PARTS_CAPACITY as u64 * 3 {
        index.record_found(&[cached("h", vec![part])]);
        index.evict("h", "m|1|#1", part, 0);
    }
    assert!(index.shared.len() <= constants::SHARED_PARTS_CAPACITY, "{}", index.shared.len());
    assert!(index.shared.contains(&u64::MAX), "what is kept stays shared");
}
