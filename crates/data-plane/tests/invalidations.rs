//! A reader of the ring: what it keeps after lost answers, overruns and new incarnations of the keeper.

use data_plane::fleet_view::invalidations::{PrefixView, RingPosition, ViewUpdate, step};
use fleet_core::wire::{
    CachedParts, Invalidation, PartLocation, RingEntry, RingHead, RingResponse,
};
use invalidation::view::View;
use prompt_index::HolderBitmap;

fn head(fencing_token: u64, incarnation: u64, head: u64) -> Option<RingHead> {
    Some(RingHead { fencing_token, incarnation, head, ..Default::default() })
}

#[test]
fn another_incarnation_counts_only_with_a_reset() {
    let at = RingPosition::new(2, 7, 5, 0);
    let g = RingResponse { head: head(2, 8, 9), cursor: 9, ..Default::default() };
    assert!(step(at, g.clone()).is_none());
    let (next, change) = step(at, RingResponse { reset: true, ..g }).unwrap();
    assert_eq!(next, RingPosition::new(2, 8, 9, 0));
    assert!(change.is_some_and(|c| c.reset));
    let old = RingResponse { head: head(1, 3, 9), reset: true, ..Default::default() };
    assert!(step(at, old).is_none());
}

#[test]
fn entries_are_applied_before_the_view_is_looked_at() {
    let s = PrefixView::new();
    let holds = |s: &PrefixView| {
        let index = s.current_index();
        let chain = index.chain("m|1|#1", [(4, 10)]);
        index.learn("m|1|#1", &chain);
        index.cells().iter().any(|c| !c.query(&chain, &HolderBitmap::ALL).groups.is_empty())
    };
    assert!(!holds(&s));
    s.put(ViewUpdate {
        reset: true,
        snapshot: vec![CachedParts {
            holder: "e".into(),
            salt: "m|1|#1".into(),
            parts: vec![4],
            cached_tokens: vec![10],
        }],
        entries: Vec::new(),
    });
    assert!(holds(&s));
    let gone = Invalidation::Part(PartLocation {
        holder: "e".into(),
        salt: "m|1|#1".into(),
        part: 4,
        cached_tokens: 0,
    });
    s.put(ViewUpdate {
        reset: false,
        snapshot: Vec::new(),
        entries: vec![RingEntry { scope: 0, what: Some(gone) }],
    });
    assert!(!holds(&s));
}

proptest::proptest! {
    /// A reader's view never holds what a published entry before its cursor removed,
    /// over lost answers, overruns and new incarnations of the keeper.
    #[test]
    fn view_never_holds_what_was_purged(steps in proptest::collection::vec((0u8..6, 0u64..6), 1..120)) {
        use invalidation::ring::{Read, Ring};
        let entry = |p: u64| RingEntry {
            scope: 0,
            what: Some(Invalidation::Part(PartLocation { holder: "e".into(), salt: "m|1|#1".into(), part: p, cached_tokens: 0 })),
        };
        let (mut ring, mut incarnation) = (Ring::<RingEntry>::new(8, 2, 4), 1u64);
        let mut truth = std::collections::HashSet::<u64>::new();
        let mut view = View::new(100);
        let mut at = RingPosition::default();
        for (what, p) in steps {
            match what {
                0 => { truth.insert(p); }
                1 | 2 => {
                    truth.remove(&p);
                    ring.publish(&[entry(p)]);
                }
                3 => {
                    ring = Ring::new(8, 2, 4);
                    incarnation += 1;
                }
                _ => {
                    let lost = what == 5;
                    let same = at.incarnation() == incarnation && at.fencing_token() == 1;
                    let cursor = if same { ring.cursor(1).filter(|c| c.next() == at.cursor()) } else { None };
                    let mut g = RingResponse { head: head(1, incarnation, ring.head()), ..Default::default() };
                    match cursor.as_ref().map(|c| (c, ring.read(c, 3))) {
                        Some((c, Read::Entries(e))) => { g.entries = e; g.cursor = c.next(); }
                        Some((c, Read::Nothing)) => g.cursor = c.next(),
                        _ => {
                            let (_, cur) = ring.enter(1);
                            g.reset = true;
                            g.cursor = cur;
                            g.snapshot = vec![CachedParts { holder: "e".into(), salt: "m|1|#1".into(), parts: truth.iter().copied().collect(), cached_tokens: Vec::new() }];
                        }
                    }
                    if lost { continue; }
                    let Some((next, change)) = step(at, g) else { continue };
                    at = next;
                    if let Some(c) = change { c.apply(&mut view); }
                    if at.cursor() == ring.head() && at.incarnation() == incarnation {
                        for q in 0..6 {
                            let held = view.holds("e", invalidation::view::part_of("m|1|#1", q));
                            proptest::prop_assert!(!held || truth.contains(&q));
                        }
                    }
                }
            }
        }
    }
}
