//! Tests what a reader of the invalidation ring holds after lost responses, overruns, and new incarnations of the index
//! owner.

use data_plane::fleet_view::invalidations::{PrefixView, RingPosition, ViewUpdate, apply_response};
use fleet_core::wire::{
    CachedParts, Invalidation, PartLocation, RingEntry, RingHead, RingResponse,
};
use invalidation::view::CacheView;
use prompt_index::HolderBitmap;

fn head(fencing_token: u64, incarnation: u64, head: u64) -> Option<RingHead> {
    Some(RingHead { fencing_token, incarnation, head, ..Default::default() })
}

#[test]
fn another_incarnation_is_accepted_only_with_a_reset() {
    let position = RingPosition::new(2, 7, 5, 0);
    let response = RingResponse { head: head(2, 8, 9), cursor: 9, ..Default::default() };
    assert!(apply_response(position, response.clone()).is_none());
    let (next, update) =
        apply_response(position, RingResponse { reset: true, ..response }).unwrap();
    assert_eq!(next, RingPosition::new(2, 8, 9, 0));
    assert!(update.is_some_and(|update| update.reset));
    let outdated = RingResponse { head: head(1, 3, 9), reset: true, ..Default::default() };
    assert!(apply_response(position, outdated).is_none());
}

#[test]
fn queued_updates_are_applied_before_the_index_is_used() {
    let prefix_view = PrefixView::new();
    let holds = |prefix_view: &PrefixView| {
        let index = prefix_view.current_index();
        let chain = index.chain("m|1|#1", [(4, 10)]);
        index.insert_chain("m|1|#1", &chain);
        index.cells().iter().any(|cell| !cell.query(&chain, &HolderBitmap::ALL).groups.is_empty())
    };
    assert!(!holds(&prefix_view));
    prefix_view.queue_update(ViewUpdate {
        reset: true,
        snapshot: vec![CachedParts {
            holder: "e".into(),
            salt: "m|1|#1".into(),
            parts: vec![4],
            cached_tokens: vec![10],
        }],
        entries: Vec::new(),
    });
    assert!(holds(&prefix_view));
    let eviction = Invalidation::Part(PartLocation {
        holder: "e".into(),
        salt: "m|1|#1".into(),
        part: 4,
        cached_tokens: 0,
    });
    prefix_view.queue_update(ViewUpdate {
        reset: false,
        snapshot: Vec::new(),
        entries: vec![RingEntry { scope: 0, invalidation: Some(eviction) }],
    });
    assert!(!holds(&prefix_view));
}

proptest::proptest! {
    /// A reader's view never holds what an entry before its cursor removed, even after lost responses, overruns, and
    /// new incarnations of the index owner.
    #[test]
    fn a_view_never_holds_purged_parts(steps in proptest::collection::vec((0u8..6, 0u64..6), 1..120)) {
        use invalidation::ring::{ReadResult, Ring};
        let entry = |part_id: u64| RingEntry {
            scope: 0,
            invalidation: Some(Invalidation::Part(PartLocation { holder: "e".into(), salt: "m|1|#1".into(), part: part_id, cached_tokens: 0 })),
        };
        let (mut ring, mut incarnation) = (Ring::<RingEntry>::new(8, 2, 4), 1u64);
        let mut cached = std::collections::HashSet::<u64>::new();
        let mut view = CacheView::new(100);
        let mut position = RingPosition::default();
        for (action, part) in steps {
            match action {
                0 => { cached.insert(part); }
                1 | 2 => {
                    cached.remove(&part);
                    ring.publish(&[entry(part)]);
                }
                3 => {
                    ring = Ring::new(8, 2, 4);
                    incarnation += 1;
                }
                _ => {
                    let is_lost = action == 5;
                    let is_same_ring = position.incarnation() == incarnation && position.fencing_token() == 1;
                    let cursor = if is_same_ring { ring.cursor(1).filter(|cursor| cursor.next() == position.cursor()) } else { None };
                    let mut response = RingResponse { head: head(1, incarnation, ring.head()), ..Default::default() };
                    match cursor.as_ref().map(|at| (at, ring.read(at, 3))) {
                        Some((at, ReadResult::Entries(entries))) => { response.entries = entries; response.cursor = at.next(); }
                        Some((at, ReadResult::UpToDate)) => response.cursor = at.next(),
                        _ => {
                            let (_, new_cursor) = ring.register_reader(1);
                            response.reset = true;
                            response.cursor = new_cursor;
                            response.snapshot = vec![CachedParts { holder: "e".into(), salt: "m|1|#1".into(), parts: cached.iter().copied().collect(), cached_tokens: Vec::new() }];
                        }
                    }
                    if is_lost { continue; }
                    let Some((next, update)) = apply_response(position, response) else { continue };
                    position = next;
                    if let Some(update) = update { update.apply(&mut view); }
                    if position.cursor() == ring.head() && position.incarnation() == incarnation {
                        for other_part in 0..6 {
                            let is_held = view.holds("e", invalidation::view::part_key("m|1|#1", other_part));
                            proptest::prop_assert!(!is_held || cached.contains(&other_part));
                        }
                    }
                }
            }
        }
    }
}
