//! Where a request goes: the engine that costs it and the others least.

pub mod prompt;

use crate::Delivery;
use crate::pool::Seat;
use crate::sight::Named;
use crate::sight::table::{Table, Tenant};
use pouch::constants as k;
use pouch::wire::Standing;
use prompt::Prompt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// One engine for one send, and under what memory it may run.
pub struct Choice {
    pub seat: Arc<Seat>,
    pub stamp: Option<u64>,
    pub salt: Option<String>,
    pub missing: u64,
    pub source: Option<String>,
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
        None => recall::view::shared_wall(generation),
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

/// An engine that may be chosen or fetched from.
struct Found {
    seat: Arc<Seat>,
    stamp: Option<u64>,
    silent: bool,
}

impl Found {
    fn is_awake(&self, now: Instant) -> bool {
        !self.silent && !self.seat.is_resting(now)
    }
}

/// What the engines are weighed for.
struct Ask<'a> {
    zone: &'a str,
    prompt: &'a Prompt,
    capacity: u64,
    newest: Option<u64>,
    token_bits: f64,
    link_mbps: f64,
    heavies: hashbrown::HashSet<String>,
}

/// The engines where heavy requests settle: alike at all carriers, and stable as engines come and go.
fn heavy_side(found: &[Found]) -> hashbrown::HashSet<String> {
    let mut ids: Vec<(u64, &str)> = found
        .iter()
        .map(|f| (pouch::node::stable_hash(&[f.seat.id.as_bytes()]), f.seat.id.as_str()))
        .collect();
    ids.sort_unstable();
    let n = (ids.len() as f64 * k::HEAVY_SHARE).ceil() as usize;
    ids.into_iter().take(n).map(|(_, id)| id.to_owned()).collect()
}

/// The store, as the configuration has it.
struct Store<'a> {
    address: Option<&'a str>,
    zone: &'a str,
    mbps: f64,
}

struct Candidate {
    seat: Arc<Seat>,
    stamp: Option<u64>,
    cost: f64,
    missing: u64,
    full: bool,
    source: Option<String>,
    sinks: bool,
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
    let facts = table.service(service).and_then(|s| s.engine.as_ref());
    let capacity = facts.map_or(0, |f| f.kv_capacity);
    let bound = d.params().bounds.stamp;
    let named = prompt.model.as_deref().and_then(|m| d.sight.named(m));
    let wall = wall(tenant, table.wall);
    let mut found: Vec<Found> = Vec::new();
    let mut leaving: Vec<Found> = Vec::new();
    for s in d.sight.seats.read().values() {
        let n = s.news();
        if n.service != service || n.standing() == Standing::Gone || tried.contains(&s.id) {
            continue;
        }
        let changing = |m| pouch::fleet::is_changing(&n, m, named.map(|x| x.stamp));
        if prompt.model.as_deref().is_some_and(changing) {
            continue;
        }
        let stamp = prompt.model.as_deref().and_then(|m| pouch::fleet::stamp_of(&n, m));
        if prompt.model.is_some() && !n.weights.is_empty() && stamp.is_none() {
            continue;
        }
        if stamp.is_some_and(|x| !stamp_allowed(x, named, now, bound)) {
            continue;
        }
        if n.standing() == Standing::Draining {
            leaving.extend((!n.silent).then(|| Found { seat: s.clone(), stamp, silent: false }));
            continue;
        }
        found.push(Found { seat: s.clone(), stamp, silent: n.silent });
    }
    leaving.retain(|f| !f.seat.is_resting(now));
    let awake = found.iter().any(|f| f.is_awake(now));
    if awake {
        found.retain(|f| f.is_awake(now));
    }
    if found.is_empty() {
        return Err(Nowhere::Unknown);
    }
    let heavies = heavy_side(&found);
    let home = prompt.deepest_shared().map(|p| {
        let rank = |s: &Seat| {
            let side = heavies.contains(&s.id) == prompt.is_heavy();
            (side, pouch::node::stable_hash(&[&p.to_be_bytes(), s.id.as_bytes()]))
        };
        found.iter().max_by_key(|f| rank(&f.seat)).map(|f| f.seat.id.clone()).unwrap_or_default()
    });
    let newest = found.iter().filter_map(|f| f.stamp).max();
    let mut salts: hashbrown::HashMap<u64, Vec<recall::view::Part>> = hashbrown::HashMap::new();
    if let Some(m) = &prompt.model {
        for stamp in found.iter().filter_map(|f| f.stamp) {
            salts.entry(stamp).or_insert_with(|| {
                let salt = recall::view::salt_text(m, stamp, &wall);
                prompt.parts.iter().map(|p| recall::view::part_of(&salt, p.id)).collect()
            });
        }
    }
    let ask = Ask {
        zone: &d.node.zone,
        prompt,
        capacity,
        newest,
        token_bits: facts.map_or(0.0, |f| f.kv_token_bytes * 8.0),
        link_mbps: facts.map_or(0.0, |f| f.link_mbps),
        heavies,
    };
    let store = table.store().map(|s| Store {
        address: s.kv_store.as_deref(),
        zone: s.zone.as_deref().unwrap_or_default(),
        mbps: s.link_mbps,
    });
    let best = d.sight.shelf.look(|view| {
        let store = store.filter(|s| s.address.is_some_and(|a| view.knows(a)));
        let keeps = |f: &Found| {
            let Found { seat, stamp, .. } = f;
            let parts = stamp.and_then(|s| salts.get(&s));
            let at_home = home.as_ref().is_some_and(|h| *h == seat.id) && !seat.is_warming(now);
            held(view, &seat.id, prompt, parts, at_home)
        };
        let holders: Vec<_> = found.iter().chain(&leaving).map(|f| (f, keeps(f))).collect();
        let mut stored: hashbrown::HashMap<Option<u64>, u64> = hashbrown::HashMap::new();
        let mut best: Option<Candidate> = None;
        for (i, Found { seat, stamp, .. }) in found.iter().enumerate() {
            let kept = store.as_ref().map(|s| {
                *stored.entry(*stamp).or_insert_with(|| {
                    held_at_store(view, s, prompt, stamp.and_then(|x| salts.get(&x)))
                })
            });
            let source = source(&ask, &holders, i, store.as_ref().zip(kept));
            let settles = source.is_some()
                && seat.is_warming(now)
                && home.as_ref().is_some_and(|h| *h == seat.id);
            let mut c = weigh(&ask, seat, *stamp, &holders[i].1, source);
            if settles {
                c.cost -= k::WARM_BONUS_MS;
            }
            c.sinks = wants_sink(prompt, kept);
            let better = best.as_ref().is_none_or(|b| (c.full, c.cost) < (b.full, b.cost));
            if better {
                best = Some(c);
            }
        }
        best
    });
    let Some(c) = best else { return Err(Nowhere::Unknown) };
    if c.full {
        return Err(Nowhere::Full);
    }
    d.counters.parts_missing.fetch_add(c.missing, Ordering::Relaxed);
    d.counters.parts_held.fetch_add(prompt.tokens() - c.missing, Ordering::Relaxed);
    let salt = match (&prompt.model, c.stamp) {
        (Some(m), Some(s)) => Some(recall::view::salt_text(m, s, &wall)),
        _ => None,
    };
    let Candidate { seat, stamp, missing, source, sinks, .. } = c;
    let sink = table.store().filter(|_| sinks).and_then(|s| s.kv_store.clone());
    Ok(Choice { seat, stamp, salt, missing, source, sink })
}

/// Tokens of a prompt that a holder keeps without a gap: as known, and as likely at a part's home.
#[derive(Clone, Copy)]
struct Held {
    known: u64,
    likely: f64,
}

fn held(
    view: &recall::view::View,
    holder: &str,
    prompt: &Prompt,
    parts: Option<&Vec<recall::view::Part>>,
    at_home: bool,
) -> Held {
    let mut out = Held { known: 0, likely: 0.0 };
    let mut broken = false;
    let last = prompt.parts.len().saturating_sub(1);
    for (i, p) in prompt.parts.iter().enumerate() {
        broken |= !parts.is_some_and(|x| view.holds(holder, x[i]));
        if !broken {
            out.known += p.tokens;
            out.likely += p.tokens as f64;
        } else if at_home && i < last {
            out.likely += p.tokens as f64 * k::RENDEZVOUS_TRUST;
        }
    }
    out
}

fn held_at_store(
    view: &recall::view::View,
    store: &Store,
    prompt: &Prompt,
    parts: Option<&Vec<recall::view::Part>>,
) -> u64 {
    store.address.map_or(0, |a| held(view, a, prompt, parts, false).known)
}

/// Large shared parts that the store lacks are worth a place there.
fn wants_sink(prompt: &Prompt, kept: Option<u64>) -> bool {
    let shared = prompt.shared();
    shared >= k::SINK_TOKENS && kept.is_some_and(|k| k < shared)
}

/// Where the missing parts can be had cheaper than by reading them.
struct Source {
    address: String,
    tokens: u64,
    ms: f64,
}

fn source(
    ask: &Ask,
    holders: &[(&Found, Held)],
    at: usize,
    store: Option<(&Store, u64)>,
) -> Option<Source> {
    let (Found { seat, stamp: own_stamp, .. }, held) = &holders[at];
    let zone = seat.news().zone.clone();
    let own = held.known;
    let ms = |tokens: u64, mbps: f64, there: &str| {
        let far = if there == zone { 1.0 } else { 2.0 };
        k::MOVE_COST_MS + tokens as f64 * ask.token_bits / (mbps.max(1.0) * 1e3) * far
    };
    let mut best: Option<Source> = None;
    let mut offer = |tokens: u64, ms: f64, address: &dyn Fn() -> String| {
        let gain = |t: u64, ms: f64| t as f64 / k::READ_RATE - ms;
        if tokens < k::MOVE_TOKENS || gain(tokens, ms) <= 0.0 {
            return;
        }
        if best.as_ref().is_none_or(|b| gain(tokens, ms) > gain(b.tokens, b.ms)) {
            best = Some(Source { address: address(), tokens, ms });
        }
    };
    for (i, (Found { seat, stamp, .. }, held)) in holders.iter().enumerate() {
        if i != at && stamp == own_stamp && held.known > own {
            let t = held.known - own;
            offer(t, ms(t, ask.link_mbps, &seat.news().zone), &|| seat.address.to_string());
        }
    }
    if let Some((s, kept)) = store
        && kept > own
    {
        let t = kept - own;
        offer(t, ms(t, s.mbps.min(ask.link_mbps), s.zone), &|| {
            s.address.unwrap_or_default().to_owned()
        });
    }
    best
}

fn weigh(
    ask: &Ask,
    seat: &Arc<Seat>,
    stamp: Option<u64>,
    held: &Held,
    source: Option<Source>,
) -> Candidate {
    let (slots, zone) = {
        let n = seat.news();
        (n.slots, n.zone == ask.zone)
    };
    let all = ask.prompt.tokens();
    let w = seat.work();
    let told = w.told.filter(|t| t.at.elapsed() < k::CARRIER_BEAT);
    let running = told.map_or(0, |t| t.running).max(w.runs);
    let waiting = told.map_or(0, |t| t.waiting);
    let full = slots > 0 && (running + waiting) > slots.saturating_mul(2);
    let fill = if ask.capacity > 0 {
        (w.tokens + ask.prompt.burden()) as f64 / ask.capacity as f64
    } else {
        0.0
    };
    let unheld = all - held.known;
    let likely = (all as f64 - held.likely).max(0.0) / k::READ_RATE;
    let (missing, read) = match &source {
        Some(s) => {
            let left = unheld.saturating_sub(s.tokens);
            (left, likely.min(left as f64 / k::READ_RATE + s.ms))
        }
        None => (unheld, likely),
    };
    let mut cost = read
        + w.unread as f64 / k::READ_RATE
        + f64::from(running) * k::RUN_COST_MS
        + f64::from(waiting) * k::WAIT_COST_MS;
    if !zone {
        cost += k::ZONE_COST_MS;
    }
    if fill > 0.5 {
        cost += (fill - 0.5) * 1000.0;
    }
    if ask.prompt.is_heavy() != ask.heavies.contains(&seat.id) {
        cost += k::ASTRAY_COST_MS;
    }
    if stamp < ask.newest {
        cost += k::WAIT_COST_MS;
    }
    let source = source.map(|s| s.address);
    Candidate { seat: seat.clone(), stamp, cost, missing, full, source, sinks: false }
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
