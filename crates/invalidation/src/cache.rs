//! What entries of the ring do to a cache: the [`View`](crate::view::View) of this crate, the index-keeper's
//! index, or a router's prompt index.

use crate::salt::read_salt;
use fleet_core::wire::{CachedParts, Invalidation, PartLocation, RingEntry, Weights};

/// A cache of what holders (engines and stores) keep.
pub trait Cache {
    /// Hears of a holder that answers, with or without anything kept.
    fn meet(&mut self, holder: &str);
    /// Learns that a holder keeps `cached_tokens` tokens of a part, or all of it where none are told.
    fn found(&mut self, holder: &str, salt: &str, part: u64, cached_tokens: Option<u64>);
    /// Learns that a holder keeps no more than `cached_tokens` tokens of a part.
    fn evict(&mut self, holder: &str, salt: &str, part: u64, cached_tokens: u64);
    /// Forgets all that a holder keeps.
    fn drop_holder(&mut self, holder: &str);
    /// Forgets all that is kept under the salts that are void.
    fn drop_salts(&mut self, void: &dyn Fn(&str) -> bool);
    /// Forgets everything: the reader was overrun, or sees another incarnation of the ring.
    fn reset(&mut self);
    /// Mends what was derived from the cache, after the entry itself has been applied.
    fn derive(&mut self, _entry: &RingEntry) {}
}

/// Whether a salt names older weights of this model.
pub fn is_older(salt: &str, weights: &Weights) -> bool {
    read_salt(salt)
        .is_some_and(|salt| salt.model == weights.model && salt.version < weights.version)
}

/// Whether a salt names an older generation of the shared isolation.
pub fn is_isolated_before(salt: &str, generation: u64) -> bool {
    let isolation = read_salt(salt).and_then(|salt| salt.isolation);
    isolation.is_some_and(|isolation| isolation < generation)
}

/// Applies one entry; false if it is out of scope.
pub fn apply(cache: &mut impl Cache, entry: &RingEntry, in_scope: impl Fn(u64) -> bool) -> bool {
    if entry.scope != 0 && !in_scope(entry.scope) {
        return false;
    }
    match &entry.what {
        Some(Invalidation::Part(PartLocation { holder, salt, part, cached_tokens })) => {
            cache.evict(holder, salt, *part, *cached_tokens);
        }
        Some(Invalidation::Holder(holder)) => cache.drop_holder(holder),
        Some(Invalidation::Weights(weights)) => cache.drop_salts(&|salt| is_older(salt, weights)),
        Some(Invalidation::Isolation(generation)) => {
            cache.drop_salts(&|salt| is_isolated_before(salt, *generation));
        }
        None => {}
    }
    cache.derive(entry);
    true
}

/// Takes in what holders were found to keep.
pub fn refill(cache: &mut impl Cache, snapshot: &[CachedParts]) {
    for parts_of_holder in snapshot {
        cache.meet(&parts_of_holder.holder);
        if parts_of_holder.salt.is_empty() {
            continue;
        }
        for (index, part) in parts_of_holder.parts.iter().enumerate() {
            let cached_tokens = parts_of_holder
                .cached_tokens
                .get(index)
                .copied()
                .filter(|cached_tokens| *cached_tokens > 0);
            cache.found(&parts_of_holder.holder, &parts_of_holder.salt, *part, cached_tokens);
        }
    }
}
