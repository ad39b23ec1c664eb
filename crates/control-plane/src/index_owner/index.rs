//! Index of the prompt parts that holders (engines and stores) are believed to cache.

use fleet_core::constants;
use fleet_core::wire::{CachedParts, Invalidation, PartLocation, RingEntry};
use invalidation::cache::Cache;
use invalidation::pending_change::LocalCache;
use std::collections::BTreeMap;
use std::sync::Arc;

type TokensByPart = hashbrown::HashMap<u64, u64, ahash::RandomState>;
/// Holder, salt, number of cached tokens.
type UnsharedPart = (Arc<str>, Arc<str>, u64);
type UnsharedParts = hashbrown::HashMap<u64, Vec<UnsharedPart>, ahash::RandomState>;

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
    holders: BTreeMap<Arc<str>, BTreeMap<Arc<str>, TokensByPart>>,
    /// Parts that routers have reported as shared.
    shared_parts: hashbrown::HashSet<u64, ahash::RandomState>,
    /// Number of shared parts that some holder cached when `shared_parts` was last pruned.
    cached_at_last_prune: usize,
    /// Parts of single requests, in two generations: when the newer one is full, the older one is dropped.
    unshared: [UnsharedParts; 2],
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
            let (holder, _) = self.intern(holder, None);
            self.add_finding(holder, Arc::from(""), 0, 0);
        }
    }

    fn register_part(&mut self, holder: &str, salt: &str, part: u64, cached: Option<u64>) {
        let cached = cached.unwrap_or(0);
        if !self.shared_parts.contains(&part) {
            let unshared_part = (Arc::from(holder), Arc::from(salt), cached);
            return self.add_unshared(part, unshared_part);
        }
        let (holder, salt) = self.intern(holder, Some(salt));
        let parts = self.holders.get_mut(&holder).and_then(|salts| salts.get_mut(&salt));
        let Some(parts) = parts else { return };
        if parts.insert(part, cached) != Some(cached) {
            self.add_finding(holder, salt, part, cached);
        }
    }

    fn evict_part(&mut self, holder: &str, salt: &str, part: u64, _: u64) {
        if let Some(parts) = self.holders.get_mut(holder).and_then(|salts| salts.get_mut(salt)) {
            parts.remove(&part);
        }
        for generation in &mut self.unshared {
            if let Some(locations) = generation.get_mut(&part) {
                locations.retain(|(h, s, _)| **h != *holder || **s != *salt);
            }
        }
    }

    fn remove_holder(&mut self, holder: &str) {
        self.holders.remove(holder);
        for generation in &mut self.unshared {
            generation.retain(|_, locations| {
                locations.retain(|(h, _, _)| **h != *holder);
                !locations.is_empty()
            });
        }
    }

    fn remove_salts(&mut self, is_invalid: &dyn Fn(&str) -> bool) {
        for salts in self.holders.values_mut() {
            salts.retain(|salt, _| !is_invalid(salt));
        }
        for generation in &mut self.unshared {
            generation.retain(|_, locations| {
                locations.retain(|(_, salt, _)| !is_invalid(salt));
                !locations.is_empty()
            });
        }
    }

    fn reset(&mut self) {
        *self = Index::default();
    }
}

impl Index {
    /// Returns the shared copies of the names of a holder and a salt, and creates their maps if they are missing.
    fn intern(&mut self, holder: &str, salt: Option<&str>) -> (Arc<str>, Arc<str>) {
        let name = match self.holders.get_key_value(holder) {
            Some((known, _)) => known.clone(),
            None => Arc::from(holder),
        };
        let salts = self.holders.entry(name.clone()).or_default();
        let Some(salt) = salt else { return (name, Arc::from("")) };
        let interned_salt = match salts.get_key_value(salt) {
            Some((known, _)) => known.clone(),
            None => Arc::from(salt),
        };
        salts.entry(interned_salt.clone()).or_default();
        (name, interned_salt)
    }

    fn add_unshared(&mut self, part: u64, unshared_part: UnsharedPart) {
        if self.unshared[0].len() >= constants::UNSHARED_PARTS_CAPACITY {
            self.unshared.swap(0, 1);
            self.unshared[0].clear();
        }
        let locations = self.unshared[0].entry(part).or_default();
        locations.retain(|(h, s, _)| *h != unshared_part.0 || *s != unshared_part.1);
        locations.push(unshared_part);
    }

    /// Removes shared parts that no holder caches; a router that sends them again reports them again.
    fn prune_shared_parts(&mut self) {
        if self.shared_parts.len()
            < constants::SHARED_PARTS_CAPACITY.max(self.cached_at_last_prune * 2)
        {
            return;
        }
        let parts =
            self.holders.values().flat_map(|salts| salts.values()).flat_map(TokensByPart::keys);
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
            let unshared: Vec<UnsharedPart> = self
                .unshared
                .iter_mut()
                .filter_map(|generation| generation.remove(part))
                .flatten()
                .collect();
            for (holder, salt, cached) in unshared {
                self.register_part(
                    &holder,
                    &salt,
                    *part,
                    Some(cached).filter(|tokens| *tokens > 0),
                );
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
        let salts = self.holders.values().flatten();
        let names = self.holders.len() + salts.clone().count();
        let parts: usize = salts.map(|(_, parts)| parts.len()).sum();
        names * constants::SNAPSHOT_NAME_BYTES + parts * constants::SNAPSHOT_PART_BYTES
    }

    /// All shared parts that holders are believed to cache.
    pub fn snapshot(&self) -> Vec<CachedParts> {
        let mut entries = Vec::new();
        for (holder, salts) in &self.holders {
            entries.push(CachedParts { holder: holder.to_string(), ..Default::default() });
            for (salt, parts) in salts.iter().filter(|(_, parts)| !parts.is_empty()) {
                let (parts, cached_tokens) = parts.iter().unzip();
                let (holder, salt) = (holder.to_string(), salt.to_string());
                entries.push(CachedParts { holder, salt, parts, cached_tokens });
            }
        }
        entries
    }

    /// Applies a batch of events of one holder, and returns the invalidations of the shared parts that it evicted.
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
        invalidations
    }
}

#[cfg(test)]
#[path = "index_tests.rs"]
mod tests;
