//! Where a request goes: the engine that costs it and the others least.

pub mod ask;
pub mod prompt;
pub mod sources;
pub mod weigh;

use crate::Router;
use crate::fleet_view::Named;
use crate::fleet_view::roll::{Roll, Row};
use crate::fleet_view::table::{Table, Tenant};
use crate::pool::EngineHandle;
use ask::Ask;
use fleet_core::constants;
use fleet_core::wire::Standing;
use prompt::Prompt;
use prompt_index::{Chain, HolderBitmap, Index};
use smallvec::SmallVec;
use sources::{Source, Sources};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

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

/// The isolation of a tenant: its own if isolated, else the generation of the shared one.
pub fn isolation(t: Option<&Tenant>, generation: u64) -> String {
    match t.filter(|t| t.isolated) {
        Some(t) => format!("t/{}", t.name),
        None => invalidation::view::shared_isolation(generation),
    }
}

/// May a send still go to an engine with these weights?
pub fn version_allowed(
    engine: u64,
    named: Option<Named>,
    now: Instant,
    bound: std::time::Duration,
) -> bool {
    let Some(n) = named else { return true };
    engine >= n.version || now < n.since + bound.saturating_sub(constants::VERSION_MARGIN)
}

/// An engine that may run the request, under these weights.
struct Open {
    row: usize,
    version: Option<u64>,
    awake: bool,
    fading: bool,
}

/// What the index tells of a prompt under one version of the weights.
struct Memory {
    version: u64,
    salt: String,
    chain: Chain,
    /// blocks kept, by row
    depths: Vec<u16>,
    sources: Sources,
}

fn open_rows(
    d: &Router,
    roll: &Roll,
    prompt: &Prompt,
    tried: &[String],
    now: Instant,
) -> Vec<Open> {
    let bound = d.settings().bounds.version;
    let named = prompt.model.as_deref().and_then(|m| d.fleet_view.named(m));
    let mut out = Vec::with_capacity(roll.rows.len());
    for (row, r) in roll.rows.iter().enumerate() {
        if r.news.standing() != Standing::Ready || tried.contains(&r.engine.id) {
            continue;
        }
        let changing = |m| fleet_core::fleet::is_changing(&r.news, m, named.map(|x| x.version));
        let marked = r.engine.is_marked(now);
        if marked && prompt.model.as_deref().is_some_and(changing) {
            continue;
        }
        let version =
            prompt.model.as_deref().and_then(|m| fleet_core::fleet::version_of(&r.news, m));
        if prompt.model.is_some() && !r.news.weights.is_empty() && version.is_none() {
            continue;
        }
        if version.is_some_and(|x| !version_allowed(x, named, now, bound)) {
            continue;
        }
        let fades = |m| fleet_core::fleet::is_fading(&r.news, m, named.map(|x| x.version));
        let fading = marked && prompt.model.as_deref().is_some_and(fades);
        out.push(Open { row, version, fading, awake: !r.news.silent && !r.engine.is_resting(now) });
    }
    if out.iter().any(|o| o.awake) {
        out.retain(|o| o.awake);
    }
    out
}

#[expect(
    clippy::too_many_arguments,
    reason = "older than the lint; mended when the file is next changed"
)]
/// What each version of the weights in use means for this prompt.
fn memories(
    index: &Index,
    roll: &Roll,
    open: &[Open],
    prompt: &Prompt,
    isolation: &str,
    ask: &Ask,
    now: Instant,
) -> SmallVec<[Memory; 2]> {
    let mut out: SmallVec<[Memory; 2]> = SmallVec::new();
    let Some(model) = &prompt.model else { return out };
    let pairs = prompt.pairs();
    for version in open.iter().filter_map(|o| o.version) {
        if out.iter().any(|m| m.version == version) {
            continue;
        }
        let salt = invalidation::view::salt_text(model, version, isolation);
        let chain = index.chain(&salt, pairs.iter().copied());
        let shared = chain.len().min(pairs.len().saturating_sub(1));
        if shared > 0 {
            index.learn(&salt, &Chain(chain.0[..shared].into()));
        }
        let mut depths = vec![0u16; roll.rows.len()];
        let mut sources = Sources::default();
        for (n, cell) in index.cells().iter().enumerate() {
            let found = cell.query(&chain, &HolderBitmap::ALL);
            for (depth, holders) in &found.groups {
                for h in holders.iter() {
                    if let Some(row) = roll.row(n, h) {
                        depths[row] = *depth as u16;
                    }
                }
            }
            sources.take(&found, &chain, n, roll, version, model, ask, now);
        }
        out.push(Memory { version, salt, chain, depths, sources });
    }
    out
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
#[expect(
    clippy::too_many_lines,
    reason = "older than the lint; mended when the file is next changed"
)]
pub fn place(
    d: &Router,
    table: &Table,
    service: &str,
    tenant: Option<&Tenant>,
    prompt: &Prompt,
    tried: &[String],
) -> Result<Choice, Nowhere> {
    let now = Instant::now();
    let index = d.fleet_view.prefix_view.look();
    let roll = d.fleet_view.roll(service, &d.node.zone);
    let open = open_rows(d, &roll, prompt, tried, now);
    if open.is_empty() {
        return Err(Nowhere::Unknown);
    }
    let ask = Ask::new(table, service, prompt, index, &d.node.zone);
    let isolation = isolation(tenant, table.isolation);
    let memories = memories(index, &roll, &open, prompt, &isolation, &ask, now);
    let home = prompt.deepest_shared().and_then(|p| {
        let rank = |r: &Row| (r.heavy == prompt.is_heavy(), r.rank(p));
        open.iter().max_by_key(|o| rank(&roll.rows[o.row])).map(|o| o.row)
    });
    let newest = open.iter().filter_map(|o| o.version).max();
    let mut best: Option<(weigh::Weighed, &Open, Option<&Source>)> = None;
    for o in &open {
        let row = &roll.rows[o.row];
        let memory = o.version.and_then(|s| memories.iter().find(|m| m.version == s));
        let known = memory.map_or(0, |m| m.chain.tokens(usize::from(m.depths[o.row])));
        let at_home = home == Some(o.row);
        let source = memory.and_then(|m| m.sources.best(&ask, row, known));
        let held = weigh::Held {
            known,
            guessed: if at_home && !row.engine.is_warming(now) { prompt.shared() } else { 0 },
        };
        let mut w =
            weigh::weigh(&ask, row, &held, source.map(|s| s.for_row(&ask, row, known)), now);
        if o.version < newest {
            w.cost += constants::WAIT_COST_MS;
        }
        if o.fading && !prompt.is_heavy() {
            w.cost += constants::FADE_COST_MS;
        }
        if at_home && source.is_some() && row.engine.is_warming(now) {
            w.cost -= constants::WARM_BONUS_MS;
        }
        if best.as_ref().is_none_or(|(b, _, _)| (w.full, w.cost) < (b.full, b.cost)) {
            best = Some((w, o, source));
        }
    }
    let Some((w, o, source)) = best else { return Err(Nowhere::Unknown) };
    if w.full {
        return Err(Nowhere::Full);
    }
    d.counters.parts_missing.fetch_add(w.missing, Ordering::Relaxed);
    d.counters.parts_held.fetch_add(prompt.tokens().saturating_sub(w.missing), Ordering::Relaxed);
    let memory = o.version.and_then(|s| memories.iter().find(|m| m.version == s));
    let engine = roll.rows[o.row].engine.clone();
    let guess = home.filter(|h| *h != o.row).map(|h| &roll.rows[h]);
    let known = memory.map_or(0, |m| m.chain.tokens(usize::from(m.depths[o.row])));
    let asked = match (source, memory) {
        (Some(s), _) => {
            d.counters.moves.fetch_add(1, Ordering::Relaxed);
            Some((s.address.clone(), s.engine.clone()))
        }
        (None, Some(m)) => match m.sources.second(&roll.rows[o.row]) {
            Some(s) => Some((s.address.clone(), s.engine.clone())),
            None => sources::unseen(&ask, known, guess),
        },
        (None, None) => None,
    };
    if source.is_none() && asked.is_some() {
        d.counters.guesses.fetch_add(1, Ordering::Relaxed);
        let shared = prompt.shared().saturating_sub(known);
        d.counters.shared_missing.fetch_add(shared, Ordering::Relaxed);
    }
    let sink = memory.and_then(|m| sources::sink(&ask, &m.sources));
    let stored = memory.is_some_and(|m| m.sources.is_stored());
    d.counters.stored.fetch_add(u64::from(stored), Ordering::Relaxed);
    d.counters.sinks.fetch_add(u64::from(sink.is_some()), Ordering::Relaxed);
    let (source, source_engine) = asked.map_or((None, None), |(a, s)| (Some(a), s));
    Ok(Choice {
        engine,
        version: o.version,
        salt: memory.map(|m| m.salt.clone()),
        missing: w.missing,
        source,
        source_engine,
        sink,
    })
}

#[cfg(test)]
mod tests;
