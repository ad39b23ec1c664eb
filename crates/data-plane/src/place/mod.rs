//! Where a request goes: the engine that costs it and the others least.

pub mod ask;
pub mod candidates;
pub mod memory;
pub mod prompt;
pub mod sources;
pub mod weigh;

use crate::Router;
use crate::fleet_view::roll::Row;
use crate::fleet_view::table::{Table, Tenant};
use crate::pool::EngineHandle;
use ask::{Ask, Scene};
use candidates::Candidate;
use fleet_core::constants;
use memory::Memory;
use prompt::Prompt;
use smallvec::SmallVec;
use sources::Source;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;
use weigh::{Held, Weighed};

/// One engine for one send, and under what memory it may run.
pub struct Choice {
    /// the engine
    pub engine: Arc<EngineHandle>,
    /// the weights that it may run under
    pub version: Option<u64>,
    /// the text under which its parts are kept
    pub salt: Option<String>,
    /// tokens that the engine is expected to read
    pub missing: u64,
    /// where it may take parts from
    pub source: Option<String>,
    /// the engine there, if it is none of the stores
    pub source_engine: Option<Arc<EngineHandle>>,
    /// the store that it sends its parts to
    pub sink: Option<String>,
}

/// Why no engine was chosen.
#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum Nowhere {
    /// no engine of the service is known that may run it
    Unknown,
    /// all are full
    Full,
}

/// Chooses an engine for a request, none of those that were tried.
pub fn place(
    router: &Router,
    table: &Table,
    service: &str,
    tenant: Option<&Tenant>,
    prompt: &Prompt,
    tried: &[String],
) -> Result<Choice, Nowhere> {
    let now = Instant::now();
    let index = router.fleet_view.prefix_view.look();
    let roll = router.fleet_view.roll(service, &router.node.zone);
    let candidates = candidates::candidates(router, &roll, prompt, tried, now);
    if candidates.is_empty() {
        return Err(Nowhere::Unknown);
    }
    let ask = Ask::new(table, service, prompt, index, &router.node.zone);
    let scene = Scene { ask, roll: &roll, index, now };
    let isolation = memory::isolation(tenant, table.isolation);
    let placement = Placement {
        memories: memory::memories(&scene, &candidates, &isolation),
        home: home(&scene, &candidates),
        newest: candidates.iter().filter_map(|candidate| candidate.version).max(),
        scene,
    };
    let best = placement.cheapest(&candidates).ok_or(Nowhere::Unknown)?;
    if best.weighed.full {
        return Err(Nowhere::Full);
    }
    Ok(placement.choose(router, &best))
}

/// Where the deepest shared part settles, alike at all routers.
fn home(scene: &Scene, candidates: &[Candidate]) -> Option<usize> {
    let part = scene.ask.prompt.deepest_shared()?;
    let heavy = scene.ask.prompt.is_heavy();
    let rank = |row: &Row| (row.heavy == heavy, row.rank(part));
    candidates.iter().map(|candidate| candidate.row).max_by_key(|row| rank(&scene.roll.rows[*row]))
}

/// One placement under way.
struct Placement<'a> {
    scene: Scene<'a>,
    memories: SmallVec<[Memory; 2]>,
    home: Option<usize>,
    /// the newest weights that any candidate has
    newest: Option<u64>,
}

/// A candidate that was weighed, and the source that would spare it most.
struct Best<'a> {
    candidate: &'a Candidate,
    weighed: Weighed,
    source: Option<&'a Source>,
}

impl<'a> Placement<'a> {
    fn row(&self, candidate: &Candidate) -> &'a Row {
        &self.scene.roll.rows[candidate.row]
    }

    fn memory(&self, candidate: &Candidate) -> Option<&Memory> {
        let version = candidate.version?;
        self.memories.iter().find(|memory| memory.version == version)
    }

    /// Tokens of the prompt that a candidate was seen to keep.
    fn known(&self, candidate: &Candidate) -> u64 {
        self.memory(candidate).map_or(0, |memory| memory.known(candidate.row))
    }

    fn cheapest<'b>(&'b self, candidates: &'b [Candidate]) -> Option<Best<'b>> {
        let mut best: Option<Best> = None;
        for candidate in candidates {
            let next = self.weigh(candidate);
            let key = |b: &Best| (b.weighed.full, b.weighed.cost);
            if best.as_ref().is_none_or(|best| key(&next) < key(best)) {
                best = Some(next);
            }
        }
        best
    }

    fn weigh<'b>(&'b self, candidate: &'b Candidate) -> Best<'b> {
        let (row, ask, now) = (self.row(candidate), &self.scene.ask, self.scene.now);
        let known = self.known(candidate);
        let at_home = self.home == Some(candidate.row);
        let source = self.memory(candidate).and_then(|memory| memory.sources.best(ask, row, known));
        let settled = at_home && !row.engine.is_warming(now);
        let held = Held { known, guessed: if settled { ask.prompt.shared() } else { 0 } };
        let offer = source.map(|source| source.for_row(ask, row, known));
        let mut weighed = weigh::weigh(ask, row, &held, offer, now);
        if candidate.version < self.newest {
            weighed.cost += constants::WAIT_COST_MS;
        }
        if candidate.draining_streams && !ask.prompt.is_heavy() {
            weighed.cost += constants::STREAM_DRAIN_COST_MS;
        }
        if at_home && source.is_some() && row.engine.is_warming(now) {
            weighed.cost -= constants::WARM_BONUS_MS;
        }
        Best { candidate, weighed, source }
    }

    fn choose(&self, router: &Router, best: &Best) -> Choice {
        let memory = self.memory(best.candidate);
        let asked = self.ask_whom(best);
        let sink = memory.and_then(|memory| sources::sink(&self.scene.ask, &memory.sources));
        self.count(router, best, asked.is_some(), sink.is_some());
        let (source, source_engine) = asked.unzip();
        Choice {
            engine: self.row(best.candidate).engine.clone(),
            version: best.candidate.version,
            salt: memory.map(|memory| memory.salt.clone()),
            missing: best.weighed.missing,
            source,
            source_engine: source_engine.flatten(),
            sink,
        }
    }

    /// Who is asked for what is missing: the best source, another holder, or the part's home.
    fn ask_whom(&self, best: &Best) -> Option<(String, Option<Arc<EngineHandle>>)> {
        if let Some(source) = best.source {
            return Some((source.address.clone(), source.engine.clone()));
        }
        let memory = self.memory(best.candidate)?;
        if let Some(holder) = memory.sources.second(self.row(best.candidate)) {
            return Some((holder.address.clone(), holder.engine.clone()));
        }
        let home = self.home.filter(|home| *home != best.candidate.row);
        let home = home.map(|home| &self.scene.roll.rows[home]);
        sources::unseen(&self.scene.ask, self.known(best.candidate), home)
    }

    fn count(&self, router: &Router, best: &Best, asks: bool, sinks: bool) {
        let (counters, prompt) = (&router.counters, self.scene.ask.prompt);
        let missing = best.weighed.missing;
        let held = prompt.tokens().saturating_sub(missing);
        let stored = self.memory(best.candidate).is_some_and(|memory| memory.sources.is_stored());
        counters.parts_missing.fetch_add(missing, Ordering::Relaxed);
        counters.parts_held.fetch_add(held, Ordering::Relaxed);
        counters.moves.fetch_add(u64::from(best.source.is_some()), Ordering::Relaxed);
        counters.stored.fetch_add(u64::from(stored), Ordering::Relaxed);
        counters.sinks.fetch_add(u64::from(sinks), Ordering::Relaxed);
        if asks && best.source.is_none() {
            let shared = prompt.shared().saturating_sub(self.known(best.candidate));
            counters.guesses.fetch_add(1, Ordering::Relaxed);
            counters.shared_missing.fetch_add(shared, Ordering::Relaxed);
        }
    }
}
