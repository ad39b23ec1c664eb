//! Applies ring entries and snapshots to a cache: the [`CacheView`](crate::view::CacheView) of this crate, the index
//! owner's index, or a router's prompt index.

use crate::salt::parse_salt;
use fleet_core::wire::{CachedParts, Invalidation, PartLocation, RingEntry, WeightsVersion};

/// A record of which prompt parts each holder (an engine or a store) has cached.
pub trait Cache {
    /// Adds a holder that is known to answer, even if it has cached nothing.
    fn add_holder(&mut self, holder: &str);
    /// Records that a holder has cached `cached_tokens` tokens of a part; `None` means the whole part.
    fn register_part(&mut self, holder: &str, salt: &str, part: u64, cached_tokens: Option<u64>);
    /// Records that a holder has at most `cached_tokens` tokens of a part left.
    fn evict_part(&mut self, holder: &str, salt: &str, part: u64, cached_tokens: u64);
    /// Removes a holder and everything it has cached.
    fn remove_holder(&mut self, holder: &str);
    /// Removes everything cached under the salts for which `is_invalid` returns true.
    fn remove_salts(&mut self, is_invalid: &dyn Fn(&str) -> bool);
    /// Clears the cache, because the reader was overrun or the ring has a new incarnation.
    fn reset(&mut self);
    /// Updates state derived from the cache; called after the entry itself has been applied.
    fn entry_applied(&mut self, _entry: &RingEntry) {}
}

/// Whether a salt names the same model with an older version of its weights.
pub fn has_older_weights(salt: &str, weights: &WeightsVersion) -> bool {
    parse_salt(salt)
        .is_some_and(|salt| salt.model == weights.model && salt.version < weights.version)
}

/// Whether a salt names a generation of the shared isolation older than `generation`.
pub fn has_older_isolation(salt: &str, generation: u64) -> bool {
    let isolation = parse_salt(salt).and_then(|salt| salt.isolation);
    isolation.is_some_and(|isolation| isolation < generation)
}

/// Applies one entry; returns false, without applying it, if its scope is not selected by `in_scope`. Scope 0
/// is always applied.
pub fn apply(cache: &mut impl Cache, entry: &RingEntry, in_scope: impl Fn(u64) -> bool) -> bool {
    if entry.scope != 0 && !in_scope(entry.scope) {
        return false;
    }
    match &entry.invalidation {
        Some(Invalidation::Part(PartLocation { holder, salt, part, cached_tokens })) => {
            cache.evict_part(holder, salt, *part, *cached_tokens);
        }
        Some(Invalidation::Holder(holder)) => cache.remove_holder(holder),
        Some(Invalidation::Weights(weights)) => {
            cache.remove_salts(&|salt| has_older_weights(salt, weights))
        }
        Some(Invalidation::Isolation(generation)) => {
            cache.remove_salts(&|salt| has_older_isolation(salt, *generation));
        }
        None => {}
    }
    cache.entry_applied(entry);
    true
}

/// Adds the parts listed in a snapshot. An empty salt only reports that the holder answers, and a token count of
/// 0 stands for the whole part.
pub fn apply_snapshot(cache: &mut impl Cache, snapshot: &[CachedParts]) {
    for parts_of_holder in snapshot {
        cache.add_holder(&parts_of_holder.holder);
        if parts_of_holder.salt.is_empty() {
            continue;
        }
        for (index, part) in parts_of_holder.parts.iter().enumerate() {
            let cached_tokens = parts_of_holder
                .cached_tokens
                .get(index)
                .copied()
                .filter(|cached_tokens| *cached_tokens > 0);
            cache.register_part(
                &parts_of_holder.holder,
                &parts_of_holder.salt,
                *part,
                cached_tokens,
            );
        }
    }
}
