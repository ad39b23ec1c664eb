//! What the index owner believes holders to cache.

use fleet_core::constants;
use fleet_core::wire::{CachedParts, Invalidation, PartLocation, RingEntry};
use invalidation::cache::Cache;
use invalidation::draft::Local;
use std::collections::BTreeMap;
use std::sync::Arc;

type Parts = hashbrown::HashMap<u64, u64, ahash::RandomState>;
type UnsharedPart = (Arc<str>, Arc<str>, u64);
type Unshared = hashbrown::HashMap<u64, Vec<UnsharedPart>, ahash::RandomState>;

/// What a holder answers of the parts that it took in and dropped.
#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Events {
    /// changes when the holder starts anew
    pub epoch: u64,
    /// where the next call goes on
    pub next_token: u64,
    /// there is a gap
    #[serde(default)]
    pub lost: bool,
    /// number, sign, salt, part, tokens kept now, model
    pub events: Vec<(u64, String, String, String, u64, String)>,
}

/// holder, then salt, then parts with the tokens kept: what the index owner believes of the parts that
/// requests share. Parts of single requests wait apart, bounded, until a router names them.
#[derive(Default)]
pub struct Index {
    holders: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Parts>>,
    shared: hashbrown::HashSet<u64, ahash::RandomState>,
    /// so many shared parts were kept by some holder when that was last looked at
    cached: usize,
    unshared: [Unshared; 2],
    fresh: std::collections::VecDeque<(Arc<str>, Arc<str>, u64, u64)>,
    found: u64,
}

impl Local<RingEntry> for Index {
    fn apply(&mut self, e: &RingEntry) {
        invalidation::cache::apply(self, e, |_| true);
    }

    /// Unlearning twice does no harm.
    fn reflush(&mut self, e: &RingEntry) {
        self.apply(e);
    }
}

impl Cache for Index {
    /// A holder that answers, with nothing kept as yet.
    fn meet(&mut self, holder: &str) {
        if !self.holders.contains_key(holder) {
            let (holder, _) = self.place(holder, None);
            self.add_finding(holder, Arc::from(""), 0, 0);
        }
    }

    fn found(&mut self, holder: &str, salt: &str, part: u64, cached: Option<u64>) {
        let cached = cached.unwrap_or(0);
        if !self.shared.contains(&part) {
            let unshared_part = (Arc::from(holder), Arc::from(salt), cached);
            return self.put_aside(part, unshared_part);
        }
        let (holder, salt) = self.place(holder, Some(salt));
        let parts = self.holders.get_mut(&holder).and_then(|h| h.get_mut(&salt));
        let Some(parts) = parts else { return };
        if parts.insert(part, cached) != Some(cached) {
            self.add_finding(holder, salt, part, cached);
        }
    }

    fn evict(&mut self, holder: &str, salt: &str, part: u64, _: u64) {
        if let Some(p) = self.holders.get_mut(holder).and_then(|h| h.get_mut(salt)) {
            p.remove(&part);
        }
        for u in &mut self.unshared {
            if let Some(v) = u.get_mut(&part) {
                v.retain(|(h, s, _)| **h != *holder || **s != *salt);
            }
        }
    }

    fn drop_holder(&mut self, holder: &str) {
        self.holders.remove(holder);
        for u in &mut self.unshared {
            u.retain(|_, v| {
                v.retain(|(h, _, _)| **h != *holder);
                !v.is_empty()
            });
        }
    }

    fn drop_salts(&mut self, void: &dyn Fn(&str) -> bool) {
        for h in self.holders.values_mut() {
            h.retain(|salt, _| !void(salt));
        }
        for u in &mut self.unshared {
            u.retain(|_, v| {
                v.retain(|(_, s, _)| !void(s));
                !v.is_empty()
            });
        }
    }

    fn reset(&mut self) {
        *self = Index::default();
    }
}

impl Index {
    /// The names as they are kept here once, and a place for what is found there.
    fn place(&mut self, holder: &str, salt: Option<&str>) -> (Arc<str>, Arc<str>) {
        let name = match self.holders.get_key_value(holder) {
            Some((h, _)) => h.clone(),
            None => Arc::from(holder),
        };
        let salts = self.holders.entry(name.clone()).or_default();
        let Some(salt) = salt else { return (name, Arc::from("")) };
        let cached = match salts.get_key_value(salt) {
            Some((s, _)) => s.clone(),
            None => Arc::from(salt),
        };
        salts.entry(cached.clone()).or_default();
        (name, cached)
    }

    fn put_aside(&mut self, part: u64, unshared_part: UnsharedPart) {
        if self.unshared[0].len() >= constants::UNSHARED_PARTS_CAPACITY {
            self.unshared.swap(0, 1);
            self.unshared[0].clear();
        }
        let v = self.unshared[0].entry(part).or_default();
        v.retain(|(h, s, _)| *h != unshared_part.0 || *s != unshared_part.1);
        v.push(unshared_part);
    }

    /// Parts that no holder keeps are shared no longer; a router that sends them again says so again.
    fn drop_uncached(&mut self) {
        if self.shared.len() < constants::SHARED_PARTS_CAPACITY.max(self.cached * 2) {
            return;
        }
        let parts = self.holders.values().flat_map(|salts| salts.values()).flat_map(Parts::keys);
        let cached: hashbrown::HashSet<u64, ahash::RandomState> = parts.copied().collect();
        self.shared.retain(|part| cached.contains(part));
        self.cached = self.shared.len();
    }

    /// What a router's own sends leave: it also names these parts as shared.
    pub fn record_found(&mut self, found: &[CachedParts]) {
        self.drop_uncached();
        for part in found.iter().flat_map(|h| &h.parts) {
            if !self.shared.insert(*part) {
                continue;
            }
            let unshared: Vec<UnsharedPart> =
                self.unshared.iter_mut().filter_map(|u| u.remove(part)).flatten().collect();
            for (holder, salt, cached) in unshared {
                self.found(&holder, &salt, *part, Some(cached).filter(|k| *k > 0));
            }
        }
        invalidation::cache::refill(self, found);
    }

    fn add_finding(&mut self, holder: Arc<str>, salt: Arc<str>, part: u64, cached: u64) {
        self.found += 1;
        self.fresh.push_back((holder, salt, part, cached));
        if self.fresh.len() > constants::FINDINGS_CAPACITY {
            self.fresh.pop_front();
        }
    }

    /// How many findings there have been.
    pub fn found_so_far(&self) -> u64 {
        self.found
    }

    /// What was found behind a position; what is no longer remembered is only slower to come by.
    pub fn since(&self, position: u64) -> Vec<CachedParts> {
        let behind = self.found.saturating_sub(position) as usize;
        let skip = self.fresh.len().saturating_sub(behind);
        let mut at = hashbrown::HashMap::<(&str, &str), usize>::new();
        let mut out: Vec<CachedParts> = Vec::new();
        for (holder, salt, part, cached) in self.fresh.iter().skip(skip) {
            let n = *at.entry((&**holder, &**salt)).or_insert_with(|| {
                out.push(CachedParts {
                    holder: holder.to_string(),
                    salt: salt.to_string(),
                    ..Default::default()
                });
                out.len() - 1
            });
            if !salt.is_empty() {
                out[n].parts.push(*part);
                out[n].cached_tokens.push(*cached);
            }
        }
        out
    }

    /// How many bytes a digest takes on the wire, about; known without making one.
    pub fn snapshot_bytes(&self) -> usize {
        let salts = self.holders.values().flatten();
        let names = self.holders.len() + salts.clone().count();
        let parts: usize = salts.map(|(_, parts)| parts.len()).sum();
        names * constants::SNAPSHOT_NAME_BYTES + parts * constants::SNAPSHOT_PART_BYTES
    }

    /// All that holders are believed to keep of shared parts.
    pub fn snapshot(&self) -> Vec<CachedParts> {
        let mut out = Vec::new();
        for (holder, salts) in &self.holders {
            out.push(CachedParts { holder: holder.to_string(), ..Default::default() });
            for (salt, parts) in salts.iter().filter(|(_, p)| !p.is_empty()) {
                let (parts, cached_tokens) = parts.iter().unzip();
                let (holder, salt) = (holder.to_string(), salt.to_string());
                out.push(CachedParts { holder, salt, parts, cached_tokens });
            }
        }
        out
    }

    /// A batch of events of one holder; gives the purges that follow from it.
    pub fn apply_events(&mut self, holder: &str, e: &Events) -> Vec<Invalidation> {
        let mut out = Vec::new();
        self.meet(holder);
        for (_, sign, salt, id, cached, _) in &e.events {
            let Ok(part) = u64::from_str_radix(id, 16) else { continue };
            if sign == "+" {
                self.found(holder, salt, part, Some(*cached));
            } else if self.shared.contains(&part) {
                out.push(Invalidation::Part(PartLocation {
                    holder: holder.to_owned(),
                    salt: salt.clone(),
                    part,
                    cached_tokens: *cached,
                }));
            } else {
                self.evict(holder, salt, part, *cached);
            }
        }
        out
    }
}

#[cfg(test)]
#[path = "index_tests.rs"]
mod tests;
