//! What a request would cost at one engine, in ms.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::prompt::Prompt;
use super::sources::{Offer, Store};
use crate::fleet_view::roll::Row;
use crate::fleet_view::table::Table;
use fleet_core::constants;
use prompt_index::Index;
use smallvec::SmallVec;
use tokio::time::Instant;

/// What the engines are weighed for.
pub struct Ask<'a> {
    pub prompt: &'a Prompt,
    pub zone: &'a str,
    capacity: u64,
    pub token_bits: f64,
    pub link_mbps: f64,
    /// stores that answer, the one where this prompt belongs first
    pub stores: SmallVec<[Store<'a>; 4]>,
}

impl<'a> Ask<'a> {
    pub fn new(
        table: &'a Table,
        service: &str,
        prompt: &'a Prompt,
        index: &Index,
        zone: &'a str,
    ) -> Ask<'a> {
        let facts = table.service(service).and_then(|s| s.engine.as_ref());
        let part = prompt.deepest_shared().unwrap_or(0);
        let mut stores: SmallVec<[Store; 4]> =
            table.stores().iter().filter_map(|s| Store::new(s, index, part)).collect();
        stores.sort_by_key(|s| std::cmp::Reverse(s.rank));
        Ask {
            prompt,
            zone,
            capacity: facts.map_or(0, |f| f.kv_capacity),
            token_bits: facts.map_or(0.0, |f| f.kv_token_bytes * 8.0),
            link_mbps: facts.map_or(0.0, |f| f.link_mbps),
            stores,
        }
    }

    /// ms that a move of so many tokens takes.
    pub fn move_ms(&self, tokens: u64, mbps: f64, near: bool) -> f64 {
        let far = if near { 1.0 } else { 2.0 };
        constants::MOVE_COST_MS + tokens as f64 * self.token_bits / (mbps.max(1.0) * 1e3) * far
    }
}

/// Tokens of the prompt that an engine keeps: as known, and as guessed of a part's home.
pub struct Held {
    pub known: u64,
    pub guessed: u64,
}

pub struct Weighed {
    pub cost: f64,
    pub missing: u64,
    pub full: bool,
}

pub fn weigh(ask: &Ask, row: &Row, held: &Held, offer: Option<Offer>, now: Instant) -> Weighed {
    let all = ask.prompt.tokens();
    let w = row.seat.work();
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
