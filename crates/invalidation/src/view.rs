//! What a reader believes that holders keep, and how it unlearns.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::cache::Cache;
use fleet_core::wire::RingEntry;

pub type Holder = u32;

/// salt and part, folded
pub type Part = u64;

pub fn part_of(salt: &str, part: u64) -> Part {
    fleet_core::node::stable_hash(&[salt.as_bytes(), &part.to_be_bytes()])
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Salt {
    pub model: String,
    pub version: u64,
    pub isolation: Option<u64>,
}

/// The salt names weights and isolation, so that an entry can void all kept under it.
pub fn salt_text(model: &str, version: u64, isolation: &str) -> String {
    format!("{model}|{version}|{isolation}")
}

pub fn shared_isolation(generation: u64) -> String {
    format!("#{generation}")
}

pub fn read_salt(text: &str) -> Option<Salt> {
    let mut it = text.splitn(3, '|');
    let (model, version, isolation) = (it.next()?, it.next()?, it.next()?);
    Some(Salt {
        model: model.to_owned(),
        version: version.parse().ok()?,
        isolation: isolation.strip_prefix('#').and_then(|g| g.parse().ok()),
    })
}

struct Kept {
    salt: u32,
    used: u64,
}

#[derive(Default)]
struct PrefixView {
    parts: hashbrown::HashMap<Part, Kept, ahash::RandomState>,
}

type Callback = Box<dyn Fn(&RingEntry) + Send + Sync>;

/// The view of one reader.
pub struct View {
    holders: hashbrown::HashMap<String, PrefixView, ahash::RandomState>,
    salts: Vec<String>,
    numbers: hashbrown::HashMap<String, u32, ahash::RandomState>,
    clock: u64,
    most: usize,
    derived: Vec<Callback>,
    pub resets: u64,
    pub applied: u64,
}

impl View {
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

    /// Called after the parts themselves have been dropped.
    pub fn on_purge(&mut self, f: Callback) {
        self.derived.push(f);
    }

    fn number(&mut self, salt: &str) -> u32 {
        if let Some(n) = self.numbers.get(salt) {
            return *n;
        }
        let n = self.salts.len() as u32;
        self.salts.push(salt.to_owned());
        self.numbers.insert(salt.to_owned(), n);
        n
    }

    pub fn learn(&mut self, holder: &str, salt: &str, parts: impl Iterator<Item = u64>) {
        let n = self.number(salt);
        self.clock += 1;
        let used = self.clock;
        let prefix_view = self.holders.entry_ref(holder).or_default();
        for p in parts {
            prefix_view.parts.insert(part_of(salt, p), Kept { salt: n, used });
        }
        if prefix_view.parts.len() > self.most {
            let mut ages: Vec<u64> = prefix_view.parts.values().map(|k| k.used).collect();
            let cut = ages.len() / 4;
            let (_, edge, _) = ages.select_nth_unstable(cut);
            let edge = *edge;
            prefix_view.parts.retain(|_, k| k.used > edge);
        }
    }

    /// Known to answer, whatever it keeps.
    pub fn knows(&self, holder: &str) -> bool {
        self.holders.contains_key(holder)
    }

    pub fn holds(&self, holder: &str, part: Part) -> bool {
        self.holders.get(holder).is_some_and(|s| s.parts.contains_key(&part))
    }

    pub fn apply(&mut self, e: &RingEntry, in_scope: impl Fn(u64) -> bool) {
        if crate::cache::apply(self, e, in_scope) {
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
        if let Some(s) = self.holders.get_mut(holder) {
            s.parts.remove(&part_of(salt, part));
        }
    }

    fn drop_holder(&mut self, holder: &str) {
        self.holders.remove(holder);
    }

    fn drop_salts(&mut self, void: &dyn Fn(&str) -> bool) {
        let dead: Vec<bool> = self.salts.iter().map(|s| void(s)).collect();
        if !dead.contains(&true) {
            return;
        }
        for s in self.holders.values_mut() {
            s.parts.retain(|_, k| !dead[k.salt as usize]);
        }
    }

    /// An overrun reader, or one that sees another incarnation of the ring, starts from nothing.
    fn reset(&mut self) {
        self.holders.clear();
        self.salts.clear();
        self.numbers.clear();
        self.resets += 1;
    }

    fn derive(&mut self, e: &RingEntry) {
        for f in &self.derived {
            f(e);
        }
    }
}

#[cfg(all(test, not(feature = "checker")))]
#[path = "view_tests.rs"]
mod tests;
