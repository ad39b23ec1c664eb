//! Tests of `view`.

use super::*;
use fleet_core::wire::{Invalidation, PartLocation};

fn entry(what: Invalidation) -> RingEntry {
    RingEntry { scope: 0, what: Some(what) }
}

#[test]
fn entries_unlearn_what_they_name_and_nothing_else() {
    let (a, b) = (salt_text("m", 1, "#1"), salt_text("m", 2, "t"));
    let mut v = View::new(100);
    let fill = |v: &mut View| {
        v.learn("e1", &a, [1, 2].into_iter());
        v.learn("e1", &b, [1].into_iter());
        v.learn("e2", &a, [1].into_iter());
    };
    fill(&mut v);
    v.apply(
        &entry(Invalidation::Part(PartLocation {
            holder: "e1".into(),
            salt: a.clone(),
            part: 1,
            cached_tokens: 0,
        })),
        |_| true,
    );
    assert!(!v.holds("e1", part_of(&a, 1)));
    assert!(v.holds("e1", part_of(&a, 2)) && v.holds("e1", part_of(&b, 1)));
    v.apply(
        &entry(Invalidation::Weights(fleet_core::wire::Weights { model: "m".into(), version: 2 })),
        |_| true,
    );
    assert!(!v.holds("e1", part_of(&a, 2)) && !v.holds("e2", part_of(&a, 1)));
    assert!(v.holds("e1", part_of(&b, 1)));
    fill(&mut v);
    v.apply(&entry(Invalidation::Isolation(2)), |_| true);
    assert!(!v.holds("e2", part_of(&a, 1)) && v.holds("e1", part_of(&b, 1)));
    v.apply(&entry(Invalidation::Holder("e1".into())), |_| true);
    assert!(!v.holds("e1", part_of(&b, 1)));
}

#[test]
fn out_of_scope_is_skipped_and_derived_views_hear_afterwards() {
    let notified = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
    let mut v = View::new(100);
    let h = notified.clone();
    v.on_purge(Box::new(move |_| {
        h.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }));
    v.learn("e", "m|1|#1", [1].into_iter());
    let mut e = entry(Invalidation::Holder("e".into()));
    e.scope = 9;
    v.apply(&e, |s| s == 8);
    assert!(v.holds("e", part_of("m|1|#1", 1)));
    v.apply(&e, |s| s == 9);
    assert!(!v.holds("e", part_of("m|1|#1", 1)));
    assert_eq!(notified.load(std::sync::atomic::Ordering::Relaxed), 1);
}

#[test]
fn prefix_view_is_bounded_and_drops_the_longest_unused() {
    let mut v = View::new(8);
    for i in 0..20 {
        v.learn("e", "m|1|#1", [i].into_iter());
    }
    assert!(v.holders["e"].parts.len() <= 8);
    assert!(v.holds("e", part_of("m|1|#1", 19)) && !v.holds("e", part_of("m|1|#1", 0)));
}
