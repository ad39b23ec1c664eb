//! Tests of [`CacheView`]: which parts an entry removes, scopes, callbacks and the size limit.

use super::*;
use fleet_core::wire::{Invalidation, PartLocation};

fn ring_entry(invalidation: Invalidation) -> RingEntry {
    RingEntry { scope: 0, invalidation: Some(invalidation) }
}

#[test]
fn entries_remove_exactly_the_parts_they_name() {
    let (old_salt, new_salt) = (format_salt("m", 1, "#1"), format_salt("m", 2, "t"));
    let mut view = CacheView::new(100);
    let fill = |view: &mut CacheView| {
        view.learn("e1", &old_salt, [1, 2].into_iter());
        view.learn("e1", &new_salt, [1].into_iter());
        view.learn("e2", &old_salt, [1].into_iter());
    };
    fill(&mut view);
    view.apply(
        &ring_entry(Invalidation::Part(PartLocation {
            holder: "e1".into(),
            salt: old_salt.clone(),
            part: 1,
            cached_tokens: 0,
        })),
        |_| true,
    );
    assert!(!view.holds("e1", part_key(&old_salt, 1)));
    assert!(view.holds("e1", part_key(&old_salt, 2)) && view.holds("e1", part_key(&new_salt, 1)));
    view.apply(
        &ring_entry(Invalidation::Weights(fleet_core::wire::WeightsVersion {
            model: "m".into(),
            version: 2,
        })),
        |_| true,
    );
    assert!(!view.holds("e1", part_key(&old_salt, 2)) && !view.holds("e2", part_key(&old_salt, 1)));
    assert!(view.holds("e1", part_key(&new_salt, 1)));
    fill(&mut view);
    view.apply(&ring_entry(Invalidation::Isolation(2)), |_| true);
    assert!(!view.holds("e2", part_key(&old_salt, 1)) && view.holds("e1", part_key(&new_salt, 1)));
    view.apply(&ring_entry(Invalidation::Holder("e1".into())), |_| true);
    assert!(!view.holds("e1", part_key(&new_salt, 1)));
}

#[test]
fn out_of_scope_entry_is_skipped_and_callbacks_run_after_an_applied_one() {
    let notified = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
    let mut view = CacheView::new(100);
    let counter = notified.clone();
    view.on_invalidation(Box::new(move |_| {
        counter.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }));
    view.learn("e", "m|1|#1", [1].into_iter());
    let mut entry = ring_entry(Invalidation::Holder("e".into()));
    entry.scope = 9;
    view.apply(&entry, |scope| scope == 8);
    assert!(view.holds("e", part_key("m|1|#1", 1)));
    view.apply(&entry, |scope| scope == 9);
    assert!(!view.holds("e", part_key("m|1|#1", 1)));
    assert_eq!(notified.load(std::sync::atomic::Ordering::Relaxed), 1);
}

#[test]
fn parts_per_holder_are_bounded_and_the_least_recently_used_are_evicted() {
    let mut view = CacheView::new(8);
    for part in 0..20 {
        view.learn("e", "m|1|#1", [part].into_iter());
    }
    assert!(view.holders["e"].parts.len() <= 8);
    assert!(view.holds("e", part_key("m|1|#1", 19)) && !view.holds("e", part_key("m|1|#1", 0)));
}
