//! The shared parts that one holder says it caches, bounded in number because the holder decides how many it names.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Cached tokens by part.
pub type TokensByPart = hashbrown::HashMap<u64, u64, ahash::RandomState>;

/// A salt takes about as much memory as this many parts.
const SALT_WEIGHT: usize = 16;

/// Parts of one holder by salt.
#[derive(Default)]
pub struct HolderParts {
    salts: BTreeMap<Arc<str>, TokensByPart>,
    /// Number of parts under all salts, and [`SALT_WEIGHT`] for each salt.
    weight: usize,
}

impl HolderParts {
    /// Records a part, unless it is a new one and the holder has `max_weight` already. Returns the salt's shared name
    /// if this changed anything.
    pub fn insert(
        &mut self,
        salt: &str,
        part: u64,
        cached_tokens: u64,
        max_weight: usize,
    ) -> Option<Arc<str>> {
        let is_known = self.salts.get(salt).is_some_and(|parts| parts.contains_key(&part));
        if !is_known && self.weight >= max_weight {
            return None;
        }
        let name = self.intern(salt);
        let parts = self.salts.get_mut(&name)?;
        let previous = parts.insert(part, cached_tokens);
        self.weight += usize::from(previous.is_none());
        (previous != Some(cached_tokens)).then_some(name)
    }

    fn intern(&mut self, salt: &str) -> Arc<str> {
        if let Some((known, _)) = self.salts.get_key_value(salt) {
            return known.clone();
        }
        let name: Arc<str> = salt.into();
        self.salts.insert(name.clone(), TokensByPart::default());
        self.weight += SALT_WEIGHT;
        name
    }

    /// Removes a part.
    pub fn remove(&mut self, salt: &str, part: u64) {
        let removed = self.salts.get_mut(salt).and_then(|parts| parts.remove(&part));
        self.weight -= usize::from(removed.is_some());
    }

    /// Removes all parts under the salts for which `is_invalid` returns true.
    pub fn remove_salts(&mut self, is_invalid: &dyn Fn(&str) -> bool) {
        self.salts.retain(|salt, _| !is_invalid(salt));
        self.weight = self.salts.values().map(|parts| parts.len() + SALT_WEIGHT).sum();
    }

    /// Salts with their parts.
    pub fn iter(&self) -> impl Iterator<Item = (&Arc<str>, &TokensByPart)> + Clone {
        self.salts.iter()
    }

    /// What it takes of the index's capacity.
    #[cfg(test)]
    pub fn weight(&self) -> usize {
        self.weight
    }
}

#[cfg(test)]
#[path = "holder_parts_tests.rs"]
mod tests;
