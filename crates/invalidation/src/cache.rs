//! What a reader keeps, as the ring's entries change it: the view of this crate, or a router's index.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use fleet_core::wire::{HeldParts, PartAt, Purge, RingEntry};

pub trait Cache {
    /// A holder that answers, with or without anything kept.
    fn meet(&mut self, holder: &str);
    /// `kept` tokens of each part, none where all of it is kept.
    fn found(&mut self, holder: &str, salt: &str, part: u64, kept: Option<u64>);
    fn evict(&mut self, holder: &str, salt: &str, part: u64, kept: u64);
    fn drop_holder(&mut self, holder: &str);
    /// All kept under the salts that are void.
    fn drop_salts(&mut self, void: &dyn Fn(&str) -> bool);
    fn reset(&mut self);
    /// After the entry itself has been applied: what was derived from it.
    fn derive(&mut self, _entry: &RingEntry) {}
}

pub fn is_older(salt: &str, w: &fleet_core::wire::Weights) -> bool {
    crate::view::read_salt(salt).is_some_and(|s| s.model == w.model && s.version < w.version)
}

pub fn is_walled_before(salt: &str, generation: u64) -> bool {
    let isolation = crate::view::read_salt(salt).and_then(|s| s.isolation);
    isolation.is_some_and(|w| w < generation)
}

/// Applies one entry; false if it is out of scope.
pub fn apply(c: &mut impl Cache, e: &RingEntry, in_scope: impl Fn(u64) -> bool) -> bool {
    if e.scope != 0 && !in_scope(e.scope) {
        return false;
    }
    match &e.what {
        Some(Purge::Part(PartAt { holder, salt, part, kept })) => {
            c.evict(holder, salt, *part, *kept);
        }
        Some(Purge::Holder(h)) => c.drop_holder(h),
        Some(Purge::Weights(w)) => c.drop_salts(&|s| is_older(s, w)),
        Some(Purge::Isolation(g)) => c.drop_salts(&|s| is_walled_before(s, *g)),
        None => {}
    }
    c.derive(e);
    true
}

/// Takes in what holders were found to keep.
pub fn refill(c: &mut impl Cache, digest: &[HeldParts]) {
    for h in digest {
        c.meet(&h.holder);
        if h.salt.is_empty() {
            continue;
        }
        for (i, part) in h.parts.iter().enumerate() {
            let kept = h.kept.get(i).copied().filter(|k| *k > 0);
            c.found(&h.holder, &h.salt, *part, kept);
        }
    }
}
