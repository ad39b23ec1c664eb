//! A simple cache implementation, which tests use as the reference for the other implementations.

use crate::cache::Cache;
use fleet_core::wire::RingEntry;

pub use crate::salt::{Salt, format_salt, parse_salt, shared_isolation};

/// Hash of a salt and a part id.
pub type PartKey = u64;

/// The key of a part under a salt.
pub fn part_key(salt: &str, part: u64) -> PartKey {
    fleet_core::node::stable_hash(&[salt.as_bytes(), &part.to_be_bytes()])
}

/// A cached part: the index of its salt, and when it was last used.
struct CachedPart {
    salt: u32,
    last_used: u64,
}

/// The parts that one holder has cached.
#[derive(Default)]
struct HolderParts {
    parts: hashbrown::HashMap<PartKey, CachedPart, ahash::RandomState>,
}

type Callback = Box<dyn Fn(&RingEntry) + Send + Sync>;

/// The cache of one reader. Bounded per holder, with the least recently used parts evicted first.
pub struct CacheView {
    holders: hashbrown::HashMap<String, HolderParts, ahash::RandomState>,
    salts: Vec<String>,
    salt_indexes: hashbrown::HashMap<String, u32, ahash::RandomState>,
    clock: u64,
    max_parts_per_holder: usize,
    callbacks: Vec<Callback>,
    /// Number of resets.
    pub resets: u64,
    /// Number of entries applied.
    pub applied: u64,
}

impl CacheView {
    /// An empty view that keeps at most `max_parts_per_holder` parts per holder.
    pub fn new(max_parts_per_holder: usize) -> Self {
        CacheView {
            holders: hashbrown::HashMap::default(),
            salts: Vec::new(),
            salt_indexes: hashbrown::HashMap::default(),
            clock: 0,
            max_parts_per_holder,
            callbacks: Vec::new(),
            resets: 0,
            applied: 0,
        }
    }

    /// Registers a callback that runs after an entry has been applied.
    pub fn on_invalidation(&mut self, callback: Callback) {
        self.callbacks.push(callback);
    }

    fn salt_index(&mut self, salt: &str) -> u32 {
        if let Some(salt_index) = self.salt_indexes.get(salt) {
            return *salt_index;
        }
        let salt_index = self.salts.len() as u32;
        self.salts.push(salt.to_owned());
        self.salt_indexes.insert(salt.to_owned(), salt_index);
        salt_index
    }

    /// Records that a holder has cached these parts.
    pub fn learn(&mut self, holder: &str, salt: &str, parts: impl Iterator<Item = u64>) {
        let salt_index = self.salt_index(salt);
        self.clock += 1;
        let last_used = self.clock;
        let holder_parts = self.holders.entry_ref(holder).or_default();
        for part in parts {
            holder_parts
                .parts
                .insert(part_key(salt, part), CachedPart { salt: salt_index, last_used });
        }
        if holder_parts.parts.len() > self.max_parts_per_holder {
            let mut ages: Vec<u64> =
                holder_parts.parts.values().map(|cached| cached.last_used).collect();
            let quarter = ages.len() / 4;
            let (_, newest_evicted, _) = ages.select_nth_unstable(quarter);
            let newest_evicted = *newest_evicted;
            holder_parts.parts.retain(|_, cached| cached.last_used > newest_evicted);
        }
    }

    /// Whether the holder is known to answer, even if it has cached nothing.
    pub fn contains_holder(&self, holder: &str) -> bool {
        self.holders.contains_key(holder)
    }

    /// Whether the holder is recorded as having cached a part.
    pub fn holds(&self, holder: &str, part: PartKey) -> bool {
        self.holders.get(holder).is_some_and(|view| view.parts.contains_key(&part))
    }

    /// Applies one entry unless it is out of scope; counts it in `applied` if it was applied.
    pub fn apply(&mut self, entry: &RingEntry, in_scope: impl Fn(u64) -> bool) {
        if crate::cache::apply(self, entry, in_scope) {
            self.applied += 1;
        }
    }
}

impl Cache for CacheView {
    fn add_holder(&mut self, holder: &str) {
        self.holders.entry_ref(holder).or_default();
    }

    fn register_part(&mut self, holder: &str, salt: &str, part: u64, _: Option<u64>) {
        self.learn(holder, salt, std::iter::once(part));
    }

    fn evict_part(&mut self, holder: &str, salt: &str, part: u64, _: u64) {
        if let Some(holder_parts) = self.holders.get_mut(holder) {
            holder_parts.parts.remove(&part_key(salt, part));
        }
    }

    fn remove_holder(&mut self, holder: &str) {
        self.holders.remove(holder);
    }

    fn remove_salts(&mut self, is_invalid: &dyn Fn(&str) -> bool) {
        let invalid_salts: Vec<bool> = self.salts.iter().map(|salt| is_invalid(salt)).collect();
        if !invalid_salts.contains(&true) {
            return;
        }
        for holder_parts in self.holders.values_mut() {
            holder_parts.parts.retain(|_, cached| !invalid_salts[cached.salt as usize]);
        }
    }

    /// Clears all holders and salts; callbacks stay registered.
    fn reset(&mut self) {
        self.holders.clear();
        self.salts.clear();
        self.salt_indexes.clear();
        self.resets += 1;
    }

    fn entry_applied(&mut self, entry: &RingEntry) {
        for callback in &self.callbacks {
            callback(entry);
        }
    }
}

#[cfg(all(test, not(feature = "checker")))]
#[path = "view_tests.rs"]
mod tests;
