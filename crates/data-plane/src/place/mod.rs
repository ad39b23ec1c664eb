//! Where a request goes: the engine that costs it and the others least.

pub mod prompt;
pub mod sources;
pub mod weigh;

use crate::Delivery;
use crate::pool::Seat;
use crate::sight::Named;
use crate::sight::roll::{Roll, Row};
use crate::sight::table::{Table, Tenant};
use fleet_core::constants as k;
use fleet_core::wire::Standing;
use prompt::Prompt;
use prompt_index::{Chain, HolderBitmap, Index};
use smallvec::SmallVec;
use sources::{Source, Sources};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;
use weigh::Ask;

/// One engine for one send, and under what memory it may run.
pub struct Choice {
    pub seat: Arc<Seat>,
    pub stamp: Option<u64>,
    pub salt: Option<String>,
    pub missing: u64,
    pub source: Option<String>,
    pub source_seat: Option<Arc<Seat>>,
    pub sink: Option<String>,
}

#[derive(Debug, PartialEq, Eq, Clone, Copy)]
pub enum Nowhere {
    /// no engine of the service is known that may run it
    Unknown,
    /// all are full
    Full,
}

/// The wall of a tenant: its own if isolated, else the generation of the shared one.
pub fn wall(t: Option<&Tenant>, generation: u64) -> String {
    match t.filter(|t| t.isolated) {
        Some(t) => format!("t/{}", t.name),
        None => invalidation::view::shared_wall(generation),
    }
}

/// May a send still go to an engine with these weights?
pub fn stamp_allowed(
    engine: u64,
    named: Option<Named>,
    now: Instant,
    bound: std::time::Duration,
) -> bool {
    let Some(n) = named else { return true };
    engine >= n.stamp || now < n.since + bound.saturating_sub(k::STAMP_MARGIN)
}

/// An engine that may run the request, under these weights.
struct Open {
    row: usize,
    stamp: Option<u64>,
    awake: bool,
    fading: bool,
}

/// What the index tells of a prompt under one version of the weights.
struct Memory {
    stamp: u64,
    salt: String,
    chain: Chain,
    /// blocks kept, by row
    depths: Vec<u16>,
    sources: Sources,
}

fn open_rows(
    d: &Delivery,
    roll: &Roll,
    prompt: &Prompt,
    tried: &[String],
    now: Instant,
) -> Vec<Open> {
    let bound = d.params().bounds.stamp;
    let named = prompt.model.as_deref().and_then(|m| d.sight.named(m));
    let mut out = Vec::with_capacity(roll.rows.len());
    for (row, r) in roll.rows.iter().enumerate() {
        if r.news.standing() != Standing::Ready || tried.contains(&r.seat.id) {
            continue;
        }
        let changing = |m| fleet_core::fleet::is_changing(&r.news, m, named.map(|x| x.stamp));
        let marked = r.seat.is_marked(now);
        if marked && prompt.model.as_deref().is_some_and(changing) {
            continue;
        }
        let stamp = prompt.model.as_deref().and_then(|m| fleet_core::fleet::stamp_of(&r.news, m));
        if prompt.model.is_some() && !r.news.weights.is_empty() && stamp.is_none() {
            continue;
        }
        if stamp.is_some_and(|x| !stamp_allowed(x, named, now, bound)) {
            continue;
        }
        let fades = |m| fleet_core::fleet::is_fading(&r.news, m, named.map(|x| x.stamp));
        let fading = marked && prompt.model.as_deref().is_some_and(fades);
        out.push(Open { row, stamp, fading, awake: !r.news.silent && !r.seat.is_resting(now) });
    }
    if out.iter().any(|o| o.awake) {
        out.retain(|o| o.awake);
    }
    out
}

/// What each version of the weights in use means for this prompt.
fn memories(
    index: &Index,
    roll: &Roll,
    open: &[Open],
    prompt: &Prompt,
    wall: &str,
    ask: &Ask,
    now: Instant,
) -> SmallVec<[Memory; 2]> {
    let mut out: SmallVec<[Memory; 2]> = SmallVec::new();
    let Some(model) = &prompt.model else { return out };
    let pairs = prompt.pairs();
    for stamp in open.iter().filter_map(|o| o.stamp) {
        if out.iter().any(|m| m.stamp == stamp) {
            continue;
        }
        let salt = invalidation::view::salt_text(model, stamp, wall);
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
            sources.take(&found, &chain, n, roll, stamp, model, ask, now);
        }
        out.push(Memory { stamp, salt, chain, depths, sources });
    }
    out
}

pub fn place(
    d: &Delivery,
    table: &Table,
    service: &str,
    tenant: Option<&Tenant>,
    prompt: &Prompt,
    tried: &[String],
) -> Result<Choice, Nowhere> {
    let now = Instant::now();
    let index = d.sight.shelf.look();
    let roll = d.sight.roll(service, &d.node.zone);
    let open = open_rows(d, &roll, prompt, tried, now);
    if open.is_empty() {
        return Err(Nowhere::Unknown);
    }
    let ask = Ask::new(table, service, prompt, index, &d.node.zone);
    let wall = wall(tenant, table.wall);
    let memories = memories(index, &roll, &open, prompt, &wall, &ask, now);
    let home = prompt.deepest_shared().and_then(|p| {
        let rank = |r: &Row| (r.heavy == prompt.is_heavy(), r.rank(p));
        open.iter().max_by_key(|o| rank(&roll.rows[o.row])).map(|o| o.row)
    });
    let newest = open.iter().filter_map(|o| o.stamp).max();
    let mut best: Option<(weigh::Weighed, &Open, Option<&Source>)> = None;
    for o in &open {
        let row = &roll.rows[o.row];
        let memory = o.stamp.and_then(|s| memories.iter().find(|m| m.stamp == s));
        let known = memory.map_or(0, |m| m.chain.tokens(usize::from(m.depths[o.row])));
        let at_home = home == Some(o.row);
        let source = memory.and_then(|m| m.sources.best(&ask, row, known));
        let held = weigh::Held {
            known,
            guessed: if at_home && !row.seat.is_warming(now) { prompt.shared() } else { 0 },
        };
        let mut w =
            weigh::weigh(&ask, row, &held, source.map(|s| s.for_row(&ask, row, known)), now);
        if o.stamp < newest {
            w.cost += k::WAIT_COST_MS;
        }
        if o.fading && !prompt.is_heavy() {
            w.cost += k::FADE_COST_MS;
        }
        if at_home && source.is_some() && row.seat.is_warming(now) {
            w.cost -= k::WARM_BONUS_MS;
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
    let memory = o.stamp.and_then(|s| memories.iter().find(|m| m.stamp == s));
    let seat = roll.rows[o.row].seat.clone();
    let guess = home.filter(|h| *h != o.row).map(|h| &roll.rows[h]);
    let known = memory.map_or(0, |m| m.chain.tokens(usize::from(m.depths[o.row])));
    let asked = match (source, memory) {
        (Some(s), _) => {
            d.counters.moves.fetch_add(1, Ordering::Relaxed);
            Some((s.address.clone(), s.seat.clone()))
        }
        (None, Some(m)) => match m.sources.second(&roll.rows[o.row]) {
            Some(s) => Some((s.address.clone(), s.seat.clone())),
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
    let (source, source_seat) = asked.map_or((None, None), |(a, s)| (Some(a), s));
    Ok(Choice {
        seat,
        stamp: o.stamp,
        salt: memory.map(|m| m.salt.clone()),
        missing: w.missing,
        source,
        source_seat,
        sink,
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    #[test]
    fn isolated_tenants_have_a_wall_of_their_own() {
        let t = |isolated| Tenant { name: "#1".into(), priority: 0, isolated };
        assert_eq!(wall(Some(&t(false)), 1), "#1");
        assert_eq!(wall(Some(&t(true)), 1), "t/#1");
        assert_ne!(wall(None, 1), wall(None, 2));
    }

    #[test]
    fn old_weights_end_well_before_the_bound() {
        let t = Instant::now();
        let bound = Duration::from_secs(8);
        let named = Some(Named { stamp: 3, since: t });
        assert!(stamp_allowed(2, named, t + Duration::from_secs(6), bound));
        assert!(!stamp_allowed(2, named, t + Duration::from_secs(7), bound));
        assert!(stamp_allowed(3, named, t + Duration::from_secs(60), bound));
        assert!(stamp_allowed(1, None, t, bound));
    }
}
