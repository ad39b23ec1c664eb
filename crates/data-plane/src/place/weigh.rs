//! What a request would cost at one engine, in ms.

use super::ask::{Ask, Offer};
use crate::fleet_view::roll::Row;
use fleet_core::constants;
use tokio::time::Instant;

/// Tokens of the prompt that an engine keeps: as known, and as guessed of a part's home.
pub struct Held {
    /// tokens that it was seen to keep
    pub known: u64,
    /// tokens that it keeps if the part settled there unseen
    pub guessed: u64,
}

/// What one engine would cost.
pub struct Weighed {
    /// ms
    pub cost: f64,
    /// tokens that it would read
    pub missing: u64,
    /// it runs and queues twice its slots
    pub full: bool,
}

/// Weighs one engine, with what a source would spare it.
pub fn weigh(ask: &Ask, row: &Row, held: &Held, offer: Option<Offer>, now: Instant) -> Weighed {
    let all = ask.prompt.tokens();
    let w = row.engine.work();
    let load = w.all(now);
    let told = w.told.filter(|t| now.duration_since(t.at) < constants::TOLD_LIMIT);
    let running = told.map_or(0, |t| t.running).max(load.runs);
    let waiting = told.map_or(0, |t| t.waiting);
    let slots = row.news.slots;
    let full = slots > 0 && (running + waiting) > slots.saturating_mul(2);
    let fill = if ask.capacity > 0 {
        (w.tokens + ask.prompt.load()) as f64 / ask.capacity as f64
    } else {
        0.0
    };
    let unheld = all.saturating_sub(held.known);
    let guessed = held.guessed.saturating_sub(held.known) as f64 * constants::RENDEZVOUS_TRUST;
    let likely = (unheld as f64 - guessed).max(0.0) / constants::READ_RATE;
    let (missing, read) = match &offer {
        Some(o) => {
            let left = unheld.saturating_sub(o.tokens);
            (left, likely.min(left as f64 / constants::READ_RATE + o.ms))
        }
        None => (unheld, likely),
    };
    let mut cost = read
        + load.unread as f64 / constants::READ_RATE
        + f64::from(running) * constants::RUN_COST_MS
        + f64::from(waiting) * constants::WAIT_COST_MS;
    if slots > 0 && running >= slots {
        cost += f64::from(running - slots + 1) * constants::SLOT_COST_MS;
    }
    if !row.near {
        cost += constants::ZONE_COST_MS;
    }
    if fill > 0.5 {
        cost += (fill - 0.5) * 1000.0;
    }
    if ask.prompt.is_heavy() != row.heavy {
        cost += constants::ASTRAY_COST_MS;
    }
    Weighed { cost, missing, full }
}
