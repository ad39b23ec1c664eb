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

/// What the engines are weighed for.
struct Ask<'a> {
    zone: &'a str,
    prompt: &'a Prompt,
    capacity: u64,
    newest: Option<u64>,
}

struct Candidate {
    seat: Arc<Seat>,
    stamp: Option<u64>,
    cost: f64,
    missing: u64,
    full: bool,
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
    let mut found: Vec<(Arc<Seat>, Option<u64>, bool)> = Vec::new();
    for s in d.sight.seats.read().values() {
        let n = s.news();
        if n.service != service || n.standing() != Standing::Ready || tried.contains(&s.id) {
            continue;
        }
        if pouch::fleet::is_changing(&n) {
            continue;
        }
        let stamp = prompt.model.as_deref().and_then(|m| pouch::fleet::stamp_of(&n, m));
        if prompt.model.is_some() && !n.weights.is_empty() && stamp.is_none() {
            continue;
        }
        if stamp.is_some_and(|x| !stamp_allowed(x, named, now, bound)) {
            continue;
        }
        found.push((s.clone(), stamp, n.silent));
    }
    let awake = found.iter().any(|(s, _, silent)| !silent && !s.is_resting(now));
    if awake {
        found.retain(|(s, _, silent)| !silent && !s.is_resting(now));
    }
    if found.is_empty() {
        return Err(Nowhere::Unknown);
    }
    let home = prompt.deepest_shared().map(|p| {
        let rank = |s: &Seat| pouch::node::stable_hash(&[&p.to_be_bytes(), s.id.as_bytes()]);
        found
            .iter()
            .max_by_key(|(s, _, _)| rank(s))
            .map(|(s, _, _)| s.id.clone())
            .unwrap_or_default()
    });
    let newest = found.iter().filter_map(|(_, stamp, _)| *stamp).max();
    let mut salts: hashbrown::HashMap<u64, Vec<recall::view::Part>> = hashbrown::HashMap::new();
    if let Some(m) = &prompt.model {
        for stamp in found.iter().filter_map(|(_, s, _)| *s) {
            salts.entry(stamp).or_insert_with(|| {
                let salt = recall::view::salt_text(m, stamp, &wall);
                prompt.parts.iter().map(|p| recall::view::part_of(&salt, p.id)).collect()
            });
        }
    }
    let ask = Ask { zone: &d.node.zone, prompt, capacity, newest };
    let best = d.sight.shelf.look(|view| {
        let mut best: Option<Candidate> = None;
        for (seat, stamp, _) in &found {
            let parts = stamp.and_then(|s| salts.get(&s));
            let at_home = home.as_ref().is_some_and(|h| *h == seat.id);
            let (missing, likely) = missing(view, seat, prompt, parts, at_home);
            let c = weigh(&ask, seat, *stamp, missing, likely);
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
    Ok(Choice { seat: c.seat, stamp: c.stamp, salt, missing: c.missing, sink: None })
}

/// Tokens that the engine would read, as known, and as likely once it is taken for the home of the part.
fn missing(
    view: &recall::view::View,
    seat: &Seat,
    prompt: &Prompt,
    parts: Option<&Vec<recall::view::Part>>,
    at_home: bool,
) -> (u64, f64) {
    let mut known = 0;
    let mut likely = 0.0;
    let mut broken = false;
    let last = prompt.parts.len().saturating_sub(1);
    for (i, p) in prompt.parts.iter().enumerate() {
        let held = parts.is_some_and(|x| view.holds(&seat.id, x[i]));
        broken |= !held;
        if broken {
            known += p.tokens;
            let trust = if at_home && i < last { k::RENDEZVOUS_TRUST } else { 0.0 };
            likely += p.tokens as f64 * (1.0 - trust);
        }
    }
    (known, likely)
}

fn weigh(ask: &Ask, seat: &Arc<Seat>, stamp: Option<u64>, missing: u64, likely: f64) -> Candidate {
    let (slots, zone) = {
        let n = seat.news();
        (n.slots, n.zone == ask.zone)
    };
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
    let mut cost = likely / k::READ_RATE
        + w.unread as f64 / k::READ_RATE
        + f64::from(running) * k::RUN_COST_MS
        + f64::from(waiting) * k::WAIT_COST_MS;
    if !zone {
        cost += k::ZONE_COST_MS;
    }
    if fill > 0.5 {
        cost += (fill - 0.5) * 1000.0;
    }
    if stamp < ask.newest {
        cost += k::WAIT_COST_MS;
    }
    Candidate { seat: seat.clone(), stamp, cost, missing, full }
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
