//! What a reader believes that holders keep, and how it unlearns.

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
    pub stamp: u64,
    pub wall: Option<u64>,
}

/// The salt names weights and wall, so that an entry can void all kept under it.
pub fn salt_text(model: &str, stamp: u64, wall: &str) -> String {
    format!("{model}|{stamp}|{wall}")
}

pub fn shared_wall(generation: u64) -> String {
    format!("#{generation}")
}

pub fn read_salt(text: &str) -> Option<Salt> {
    let mut it = text.splitn(3, '|');
    let (model, stamp, wall) = (it.next()?, it.next()?, it.next()?);
    Some(Salt {
        model: model.to_owned(),
        stamp: stamp.parse().ok()?,
        wall: wall.strip_prefix('#').and_then(|g| g.parse().ok()),
    })
}

struct Kept {
    salt: u32,
    used: u64,
}

#[derive(Default)]
struct Shelf {
    parts: hashbrown::HashMap<Part, Kept, ahash::RandomState>,
}

type Callback = Box<dyn Fn(&RingEntry) + Send + Sync>;

/// The view of one reader.
pub struct View {
    holders: hashbrown::HashMap<String, Shelf, ahash::RandomState>,
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
        let shelf = self.holders.entry_ref(holder).or_default();
        for p in parts {
            shelf.parts.insert(part_of(salt, p), Kept { salt: n, used });
        }
        if shelf.parts.len() > self.most {
            let mut ages: Vec<u64> = shelf.parts.values().map(|k| k.used).collect();
            let cut = ages.len() / 4;
            let (_, edge, _) = ages.select_nth_unstable(cut);
            let edge = *edge;
            shelf.parts.retain(|_, k| k.used > edge);
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

    /// An overrun reader, or one that sees another life of the ring, starts from nothing.
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
mod tests {
    use super::*;
    use fleet_core::wire::{PartAt, Purge};

    fn entry(what: Purge) -> RingEntry {
        RingEntry { scope: 0, what: Some(what) }
    }

    #[test]
    fn entries_unlearn_what_they_name_and_nothing_else() {
        let (a, b) = (salt_text("m", 1, "#1"), salt_text("m", 2, "t"));
        let mut v = View::new(100);
        let fill = |v: &mut View| {
            v.learn("e1", &a, [1, 2].into_iter());
            v.learn("e1", &b, [1].into_iter());
            v.learn("e2", &a, [1].into_iter());
        };
        fill(&mut v);
        v.apply(
            &entry(Purge::Part(PartAt { holder: "e1".into(), salt: a.clone(), part: 1, kept: 0 })),
            |_| true,
        );
        assert!(!v.holds("e1", part_of(&a, 1)));
        assert!(v.holds("e1", part_of(&a, 2)) && v.holds("e1", part_of(&b, 1)));
        v.apply(
            &entry(Purge::Weights(fleet_core::wire::Weights { model: "m".into(), stamp: 2 })),
            |_| true,
        );
        assert!(!v.holds("e1", part_of(&a, 2)) && !v.holds("e2", part_of(&a, 1)));
        assert!(v.holds("e1", part_of(&b, 1)));
        fill(&mut v);
        v.apply(&entry(Purge::Wall(2)), |_| true);
        assert!(!v.holds("e2", part_of(&a, 1)) && v.holds("e1", part_of(&b, 1)));
        v.apply(&entry(Purge::Holder("e1".into())), |_| true);
        assert!(!v.holds("e1", part_of(&b, 1)));
    }

    #[test]
    fn out_of_scope_is_skipped_and_derived_views_hear_afterwards() {
        let heard = std::sync::Arc::new(std::sync::atomic::AtomicU64::new(0));
        let mut v = View::new(100);
        let h = heard.clone();
        v.on_purge(Box::new(move |_| {
            h.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        }));
        v.learn("e", "m|1|#1", [1].into_iter());
        let mut e = entry(Purge::Holder("e".into()));
        e.scope = 9;
        v.apply(&e, |s| s == 8);
        assert!(v.holds("e", part_of("m|1|#1", 1)));
        v.apply(&e, |s| s == 9);
        assert!(!v.holds("e", part_of("m|1|#1", 1)));
        assert_eq!(heard.load(std::sync::atomic::Ordering::Relaxed), 1);
    }

    #[test]
    fn shelf_is_bounded_and_drops_the_longest_unused() {
        let mut v = View::new(8);
        for i in 0..20 {
            v.learn("e", "m|1|#1", [i].into_iter());
        }
        assert!(v.holders["e"].parts.len() <= 8);
        assert!(v.holds("e", part_of("m|1|#1", 19)) && !v.holds("e", part_of("m|1|#1", 0)));
    }
}
