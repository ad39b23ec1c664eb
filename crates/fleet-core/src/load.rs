//! Loads of engines, as routers and controllers add them up.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::constants;
use crate::wire::Loads;

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Load {
    /// tokens that wait to be read
    pub unread: u64,
    pub runs: u32,
    pub interactive: u32,
}

impl Load {
    pub fn add(&mut self, o: &Load) {
        self.unread += o.unread;
        self.runs += o.runs;
        self.interactive += o.interactive;
    }

    pub fn less(&self, o: &Load) -> Load {
        Load {
            unread: self.unread.saturating_sub(o.unread),
            runs: self.runs.saturating_sub(o.runs),
            interactive: self.interactive.saturating_sub(o.interactive),
        }
    }
}

pub type ByEngine = hashbrown::HashMap<u32, Load, ahash::RandomState>;

pub fn key_of(id: &str) -> u32 {
    (crate::node::stable_hash(&[id.as_bytes()]) >> 32) as u32
}

pub fn pack(loads: &ByEngine) -> Loads {
    let mut rows: Vec<(&u32, &Load)> =
        loads.iter().filter(|(_, l)| **l != Load::default()).collect();
    rows.sort_unstable_by_key(|(k, _)| **k);
    let mut out = Loads::default();
    for (key, l) in rows {
        out.keys.push(*key);
        out.unread.push(l.unread.div_ceil(constants::LOAD_TOKENS).min(u64::from(u32::MAX)) as u32);
        out.runs.push(l.runs);
        out.interactive.push(l.interactive);
    }
    out
}

/// Lists of unequal length are read as far as all reach.
pub fn unpack(l: &Loads) -> impl Iterator<Item = (u32, Load)> + '_ {
    let rows = l.keys.iter().zip(&l.unread).zip(&l.runs).zip(&l.interactive);
    rows.map(|(((key, unread), runs), interactive)| {
        let unread = u64::from(*unread) * constants::LOAD_TOKENS;
        (*key, Load { unread, runs: *runs, interactive: *interactive })
    })
}

/// What each teller said last, as long as it keeps telling.
#[derive(Default)]
pub struct Book {
    told: hashbrown::HashMap<u64, (tokio::time::Instant, Loads)>,
}

impl Book {
    pub fn hear(&mut self, teller: u64, now: tokio::time::Instant, l: Loads) {
        self.told.insert(teller, (now, l));
    }

    pub fn sum(&mut self, now: tokio::time::Instant) -> ByEngine {
        self.told.retain(|_, (at, _)| now.duration_since(*at) < constants::LOAD_LIMIT);
        let mut out = ByEngine::default();
        for (_, l) in self.told.values() {
            for (key, l) in unpack(l) {
                out.entry(key).or_default().add(&l);
            }
        }
        out
    }

    pub fn tellers(&self) -> impl Iterator<Item = u64> + '_ {
        self.told.keys().copied()
    }
}

/// Whether a message goes out now: when it has changed, and now and then so that it still counts.
#[derive(Default)]
pub struct Last {
    sent: Option<(tokio::time::Instant, Loads)>,
}

impl Last {
    pub fn is_due(&mut self, now: tokio::time::Instant, l: &Loads) -> bool {
        let due = match &self.sent {
            Some((at, was)) => was != l || now.duration_since(*at) >= constants::LOAD_REFRESH,
            None => true,
        };
        if due {
            self.sent = Some((now, l.clone()));
        }
        due
    }
}
