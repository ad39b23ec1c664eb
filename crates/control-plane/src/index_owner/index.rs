//! Index of the prompt parts that holders (engines and stores) are believed to cache.

use super::holder_parts::{HolderParts, TokensByPart};
use super::unshared_parts::{Location, UnsharedParts};
use fleet_core::constants;
use fleet_core::wire::{CachedParts, Invalidation, PartLocation, RingEntry};
use invalidation::cache::Cache;
use invalidation::pending_change::LocalCache;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A holder's response: the parts that it cached and evicted since the previous call.
#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct KvEvents {
    /// Changes when the holder restarts.
    pub epoch: u64,
    /// Position from which the next call continues.
    pub next_token: u64,
    /// Whether events before these were lost.
    #[serde(default)]
    pub lost: bool,
    /// Sequence number, `+` (cached) or `-` (evicted), salt, part, tokens cached now, model.
    pub events: Vec<(u64, String, String, String, u64, String)>,
}

/// Cached parts by holder and salt, with the number of cached tokens of each. Covers only parts that several requests
/// share; parts of single requests are held separately, bounded in number, until a router reports them as shared.
#[derive(Default)]
pub struct Index {
    holders: BTreeMap<Arc<str>, HolderParts>,
    /// Parts that routers have reported as shared.
    shared_parts: hashbrown::HashSet<u64, ahash::RandomState>,
    /// Number of shared parts that some holder cached when `shared_parts` was last pruned.
    cached_at_last_prune: usize,
    /// Parts of single requests.
    unshared: UnsharedParts,
    /// The most recent findings: holder, salt, part, number of cached tokens.
    recent_findings: std::collections::VecDeque<(Arc<str>, Arc<str>, u64, u64)>,
    findings_total: u64,
}

impl LocalCache<RingEntry> for Index {
    fn apply(&mut self, entry: &RingEntry) {
        invalidation::cache::apply(self, entry, |_| true);
    }

    /// Removing an entry is idempotent.
    fn invalidate_again(&mut self, entry: &RingEntry) {
        self.apply(entry);
    }
}

impl Cache for Index {
    /// Adds a holder that responds but is not known to cache anything yet.
    fn add_holder(&mut self, holder: &str) {
        if !self.holders.contains_key(holder) {
            let holder = self.intern(holder);
            self.add_finding(holder, Arc::from(""), 0, 0);
        }
    }

    /// Ignores a salt that is too long to be one that routers set.
    fn register_part(&mut self, holder: &str, salt: &str, part: u64, cached: Option<u64>) {
        let cached_tokens = cached.unwrap_or(0);
        if salt.len() > constants::SALT_MAX_BYTES {
            return;
        }
        if !self.shared_parts.contains(&part) {
            let location = Location { holder: holder.into(), salt: salt.into(), cached_tokens };
            return self.unshared.add(part, location);
        }
        let max_weight = self.max_holder_weight();
        let holder = self.intern(holder);
        let Some(parts) = self.holders.get_mut(&holder) else { return };
        if let Some(salt) = parts.insert(salt, part, cached_tokens, max_weight) {
            self.add_finding(holder, salt, part, cached_tokens);
        }
    }

    fn evict_part(&mut self, holder: &str, salt: &str, part: u64, _: u64) {
        if let Some(parts) = self.holders.get_mut(holder) {
            parts.remove(salt, part);
        }
        self.unshared.evict(part, holder, salt);
    }

    fn remove_holder(&mut self, holder: &str) {
        self.holders.remove(holder);
        self.unshared.retain(|location| *location.holder != *holder);
    }

    fn remove_salts(&mut self, is_invalid: &dyn Fn(&str) -> bool) {
        for parts in self.holders.values_mut() {
            parts.remove_salts(is_invalid);
        }
        self.unshared.retain(|location| !is_invalid(&location.salt));
    }

    fn reset(&mut self) {
        *self = Index::default();
    }
}

impl Index {
    /// Returns the shared copy of a holder's name, and adds the holder if it is missing.
    fn intern(&mut self, holder: &str) -> Arc<str> {
        if let Some((known, _)) = self.holders.get_key_value(holder) {
            return known.clone();
        }
        let name: Arc<str> = holder.into();
        self.holders.insert(name.clone(), HolderParts::default());
        name
    }

    /// What each holder may take of the capacity, so that none can use it up alone.
    fn max_holder_weight(&self) -> usize {
        let share = constants::INDEX_CAPACITY / self.holders.len().max(1);
        share.clamp(constants::MIN_HOLDER_CAPACITY, constants::MAX_HOLDER_CAPACITY)
    }

    /// Removes shared parts that no holder caches; a router that sends them again reports them again.
    fn prune_shared_parts(&mut self) {
        if self.shared_parts.len()
            < constants::SHARED_PARTS_CAPACITY.max(self.cached_at_last_prune * 2)
        {
            return;
        }
        let salts = self.holders.values().flat_map(HolderParts::iter);
        let parts = salts.flat_map(|(_, parts)| TokensByPart::keys(parts));
        let cached: hashbrown::HashSet<u64, ahash::RandomState> = parts.copied().collect();
        self.shared_parts.retain(|part| cached.contains(part));
        self.cached_at_last_prune = self.shared_parts.len();
    }

    /// Records the parts that are cached as a result of a router's requests. These parts are shared from then on.
    pub fn record_findings(&mut self, found: &[CachedParts]) {
        self.prune_shared_parts();
        for part in found.iter().flat_map(|entry| &entry.parts) {
            if !self.shared_parts.insert(*part) {
                continue;
            }
            for location in self.unshared.take(*part) {
                let cached = Some(location.cached_tokens).filter(|tokens| *tokens > 0);
                self.register_part(&location.holder, &location.salt, *part, cached);
            }
        }
        invalidation::cache::apply_snapshot(self, found);
    }

    fn add_finding(&mut self, holder: Arc<str>, salt: Arc<str>, part: u64, cached: u64) {
        self.findings_total += 1;
        self.recent_findings.push_back((holder, salt, part, cached));
        if self.recent_findings.len() > constants::FINDINGS_CAPACITY {
            self.recent_findings.pop_front();
        }
    }

    /// Total number of findings so far; positions for [`Index::findings_since`] refer to it.
    pub fn findings_total(&self) -> u64 {
        self.findings_total
    }

    /// Findings after a position. Findings that are no longer retained are omitted: a reader that misses them only
    /// finds fewer cached prefixes.
    pub fn findings_since(&self, position: u64) -> Vec<CachedParts> {
        let behind = self.findings_total.saturating_sub(position) as usize;
        let skip = self.recent_findings.len().saturating_sub(behind);
        let mut positions = hashbrown::HashMap::<(&str, &str), usize>::new();
        let mut entries: Vec<CachedParts> = Vec::new();
        for (holder, salt, part, cached) in self.recent_findings.iter().skip(skip) {
            let index = *positions.entry((&**holder, &**salt)).or_insert_with(|| {
                entries.push(CachedParts {
                    holder: holder.to_string(),
                    salt: salt.to_string(),
                    ..Default::default()
                });
                entries.len() - 1
            });
            if !salt.is_empty() {
                entries[index].parts.push(*part);
                entries[index].cached_tokens.push(*cached);
            }
        }
        entries
    }

    /// Estimated encoded size of a snapshot in bytes, computed without building one.
    pub fn snapshot_bytes(&self) -> usize {
        let salts = self.holders.values().flat_map(HolderParts::iter);
        let names = self.holders.len() + salts.clone().count();
        let parts: usize = salts.map(|(_, parts)| parts.len()).sum();
        names * constants::SNAPSHOT_NAME_BYTES + parts * constants::SNAPSHOT_PART_BYTES
    }

    /// All shared parts that holders are believed to cache.
    pub fn snapshot(&self) -> Vec<CachedParts> {
        let mut entries = Vec::new();
        for (holder, holder_parts) in &self.holders {
            entries.push(CachedParts { holder: holder.to_string(), ..Default::default() });
            for (salt, parts) in holder_parts.iter().filter(|(_, parts)| !parts.is_empty()) {
                let (parts, cached_tokens) = parts.iter().unzip();
                let (holder, salt) = (holder.to_string(), salt.to_string());
                entries.push(CachedParts { holder, salt, parts, cached_tokens });
            }
        }
        entries
    }

    /// Applies a batch of events of one holder, and returns the invalidations of the shared parts that it evicted; if
    /// they are too many for the ring, one of the whole holder.
    pub fn apply_events(&mut self, holder: &str, batch: &KvEvents) -> Vec<Invalidation> {
        let mut invalidations = Vec::new();
        self.add_holder(holder);
        for (_, sign, salt, id, cached, _) in &batch.events {
            let Ok(part) = u64::from_str_radix(id, 16) else { continue };
            if sign == "+" {
                self.register_part(holder, salt, part, Some(*cached));
            } else if self.shared_parts.contains(&part) {
                invalidations.push(Invalidation::Part(PartLocation {
                    holder: holder.to_owned(),
                    salt: salt.clone(),
                    part,
                    cached_tokens: *cached,
                }));
            } else {
                self.evict_part(holder, salt, part, *cached);
            }
        }
        if invalidations.len() > constants::HOLDER_INVALIDATIONS_MAX {
            return vec![Invalidation::Holder(holder.to_owned())];
        }
        invalidations
    }
}

#[cfg(test)]
#[path = "index_tests.rs"]
mod tests;
