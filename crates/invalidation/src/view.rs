//! A plain cache of what holders keep, and how it unlearns; tests compare the other caches with it.

use crate::cache::Cache;
use fleet_core::wire::RingEntry;

pub use crate::salt::{Salt, read_salt, salt_text, shared_isolation};

/// Salt and part, hashed together.
pub type Part = u64;

/// The name of a part under a salt.
pub fn part_of(salt: &str, part: u64) -> Part {
    fleet_core::node::stable_hash(&[salt.as_bytes(), &part.to_be_bytes()])
}

/// A part that is kept: the number of its salt, and when it was used last.
struct CachedPart {
    salt: u32,
    used: u64,
}

/// What one holder keeps.
#[derive(Default)]
struct PrefixView {
    parts: hashbrown::HashMap<Part, CachedPart, ahash::RandomState>,
}

type Callback = Box<dyn Fn(&RingEntry) + Send + Sync>;

/// The view of one reader. Bounded: of each holder, the parts used longest ago go first.
pub struct View {
    holders: hashbrown::HashMap<String, PrefixView, ahash::RandomState>,
    salts: Vec<String>,
    numbers: hashbrown::HashMap<String, u32, ahash::RandomState>,
    clock: u64,
    most: usize,
    derived: Vec<Callback>,
    /// Resets so far.
    pub resets: u64,
    /// Entries applied so far.
    pub applied: u64,
}

impl View {
    /// An empty view that keeps at most `most` parts of each holder.
    pub fn new(most: usize) -> Self {
        View {
            holders: hashbrown::HashMap::default(),
            salts: Vec::new(),
            numbers: hashbrown::HashMap::default(),
            clock: 0,
            most,
            derived: Vec::new(),
            resets: 0,
            applied: 0,
        }
    }

    /// Registers what is called after the parts of an entry have been dropped.
    pub fn on_purge(&mut self, callback: Callback) {
        self.derived.push(callback);
    }

    fn number(&mut self, salt: &str) -> u32 {
        if let Some(number) = self.numbers.get(salt) {
            return *number;
        }
        let number = self.salts.len() as u32;
        self.salts.push(salt.to_owned());
        self.numbers.insert(salt.to_owned(), number);
        number
    }

    /// Learns that a holder keeps these parts.
    pub fn learn(&mut self, holder: &str, salt: &str, parts: impl Iterator<Item = u64>) {
        let number = self.number(salt);
        self.clock += 1;
        let used = self.clock;
        let prefix_view = self.holders.entry_ref(holder).or_default();
        for part in parts {
            prefix_view.parts.insert(part_of(salt, part), CachedPart { salt: number, used });
        }
        if prefix_view.parts.len() > self.most {
            let mut ages: Vec<u64> = prefix_view.parts.values().map(|cached| cached.used).collect();
            let oldest = ages.len() / 4;
            let (_, edge, _) = ages.select_nth_unstable(oldest);
            let edge = *edge;
            prefix_view.parts.retain(|_, cached| cached.used > edge);
        }
    }

    /// Whether the holder is known to answer, whatever it keeps.
    pub fn knows(&self, holder: &str) -> bool {
        self.holders.contains_key(holder)
    }

    /// Whether the holder keeps a part, as far as is known.
    pub fn holds(&self, holder: &str, part: Part) -> bool {
        self.holders.get(holder).is_some_and(|view| view.parts.contains_key(&part))
    }

    /// Applies one entry, unless it is out of scope.
    pub fn apply(&mut self, entry: &RingEntry, in_scope: impl Fn(u64) -> bool) {
        if crate::cache::apply(self, entry, in_scope) {
            self.applied += 1;
        }
    }
}

impl Cache for View {
    fn meet(&mut self, holder: &str) {
        self.holders.entry_ref(holder).or_default();
    }

    fn found(&mut self, holder: &str, salt: &str, part: u64, _: Option<u64>) {
        self.learn(holder, salt, std::iter::once(part));
    }

    fn evict(&mut self, holder: &str, salt: &str, part: u64, _: u64) {
        if let Some(prefix_view) = self.holders.get_mut(holder) {
            prefix_view.parts.remove(&part_of(salt, part));
        }
    }

    fn drop_holder(&mut self, holder: &str) {
        self.holders.remove(holder);
    }

    fn drop_salts(&mut self, void: &dyn Fn(&str) -> bool) {
        let dead: Vec<bool> = self.salts.iter().map(|salt| void(salt)).collect();
        if !dead.contains(&true) {
            return;
        }
        for prefix_view in self.holders.values_mut() {
            prefix_view.parts.retain(|_, cached| !dead[cached.salt as usize]);
        }
    }

    /// An overrun reader, or one that sees another incarnation of the ring, starts from nothing.
    fn reset(&mut self) {
        self.holders.clear();
        self.salts.clear();
        self.numbers.clear();
        self.resets += 1;
    }

    fn derive(&mut self, entry: &RingEntry) {
        for callback in &self.derived {
            callback(entry);
        }
    }
}

#[cfg(all(test, not(feature = "checker")))]
#[path = "view_tests.rs"]
mod tests;
