//! Parts that only single requests are known to share, until a router reports that more of them do.
//!
//! They are kept in two generations: when the newer one is full, the older one is dropped. Engines name them, so that
//! both the locations in all and those of each part are bounded.

use fleet_core::constants;
use std::sync::Arc;

/// Where a part is cached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// The engine or store.
    pub holder: Arc<str>,
    /// The salt under which it is cached.
    pub salt: Arc<str>,
    /// Number of tokens that are cached; 0 for all of them.
    pub cached_tokens: u64,
}

#[derive(Default)]
struct Generation {
    by_part: hashbrown::HashMap<u64, Vec<Location>, ahash::RandomState>,
    /// Number of locations that were added; at least as many as there are.
    added: usize,
}

/// Locations of parts by part.
#[derive(Default)]
pub struct UnsharedParts {
    newer: Generation,
    older: Generation,
}

impl UnsharedParts {
    /// Adds a location, in place of a former one of the same holder and salt. A part with too many locations loses the
    /// one that was added first.
    pub fn add(&mut self, part: u64, location: Location) {
        if self.newer.added >= constants::UNSHARED_PARTS_CAPACITY {
            self.older = std::mem::take(&mut self.newer);
        }
        self.newer.added += 1;
        let locations = self.newer.by_part.entry(part).or_default();
        locations.retain(|known| known.holder != location.holder || known.salt != location.salt);
        if locations.len() >= constants::UNSHARED_LOCATIONS_PER_PART {
            locations.remove(0);
        }
        locations.push(location);
    }

    /// Removes a part and returns its locations.
    pub fn take(&mut self, part: u64) -> Vec<Location> {
        let mut locations = self.newer.by_part.remove(&part).unwrap_or_default();
        locations.extend(self.older.by_part.remove(&part).unwrap_or_default());
        locations
    }

    /// Removes one location of a part.
    pub fn evict(&mut self, part: u64, holder: &str, salt: &str) {
        for generation in [&mut self.newer, &mut self.older] {
            if let Some(locations) = generation.by_part.get_mut(&part) {
                locations.retain(|known| *known.holder != *holder || *known.salt != *salt);
            }
        }
    }

    /// Keeps the locations for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl Fn(&Location) -> bool) {
        for generation in [&mut self.newer, &mut self.older] {
            generation.by_part.retain(|_, locations| {
                locations.retain(&is_kept);
                !locations.is_empty()
            });
        }
    }

    /// Number of locations.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        let generations = [&self.newer, &self.older].into_iter();
        generations.flat_map(|generation| generation.by_part.values()).map(Vec::len).sum()
    }
}

#[cfg(test)]
#[path = "unshared_parts_tests.rs"]
mod tests;
