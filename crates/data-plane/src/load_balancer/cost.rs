//! What a request would cost at one engine, in milliseconds.
//!
//! The cost is the time until the request could be answered there, plus what it costs other requests: the
//! engine with the lowest sum is chosen. All parts are in milliseconds so that they can be added.

use super::request_profile::{Offer, RequestProfile};
use crate::fleet_view::endpoints::Endpoint;
use crate::pool::Work;
use fleet_core::constants;
use std::time::Duration;
use tokio::time::Instant;

/// Share of an engine's KV memory above which a further request may preempt others.
const MEMORY_PRESSURE_FROM: f64 = 0.5;
/// Cost of an engine whose KV memory would be twice as full as it may be, per share above that limit.
const MEMORY_PRESSURE_COST_MS: f64 = 1000.0;

/// Tokens of the prompt that an engine has in its prefix cache.
pub struct CachedTokens {
    /// Tokens that the prompt index knows of.
    pub known: u64,
    /// Tokens that it has if the shared part was routed there by affinity, which nobody has seen.
    pub guessed: u64,
}

/// What one engine would cost.
pub struct Cost {
    /// The cost in milliseconds.
    pub ms: f64,
    /// Tokens that it would have to read.
    pub prefill_tokens: u64,
    /// Whether it runs and queues twice as many requests as it has slots.
    pub is_full: bool,
}

/// Requests at an engine, by its own report and by the loads of all routers.
struct Occupancy {
    running: u32,
    waiting: u32,
    slots: u32,
}

impl Occupancy {
    fn of(work: &Work, endpoint: &Endpoint, now: Instant) -> Occupancy {
        let is_recent = |at| now.duration_since(at) < constants::REPORTED_LOAD_TIMEOUT;
        let reported = work.reported.filter(|reported| is_recent(reported.at));
        Occupancy {
            running: reported.map_or(0, |load| load.running).max(work.all(now).runs),
            waiting: reported.map_or(0, |load| load.waiting),
            slots: endpoint.state.slots,
        }
    }

    fn is_full(&self) -> bool {
        self.slots > 0 && (self.running + self.waiting) > self.slots.saturating_mul(2)
    }

    /// What waiting for a slot costs: one of the runs beyond the slots has to end first.
    fn slot_ms(&self) -> f64 {
        if self.slots == 0 || self.running < self.slots {
            return 0.0;
        }
        f64::from(self.running - self.slots + 1) * constants::SLOT_COST_MS
    }
}

/// Tokens to be read, and the time that reading them or receiving them from a source is expected to take.
struct Prefill {
    tokens: u64,
    ms: f64,
}

impl Prefill {
    fn of(request: &RequestProfile, cached: &CachedTokens, offer: Option<&Offer>) -> Prefill {
        let tokens = request.prompt.tokens().saturating_sub(cached.known);
        let beyond_known = cached.guessed.saturating_sub(cached.known);
        let guessed = beyond_known as f64 * constants::RENDEZVOUS_TRUST;
        let ms = (tokens as f64 - guessed).max(0.0) / constants::READ_RATE;
        let Some(offer) = offer else { return Prefill { tokens, ms } };
        let tokens = tokens.saturating_sub(offer.tokens);
        Prefill { tokens, ms: ms.min(tokens as f64 / constants::READ_RATE + offer.ms) }
    }
}

/// What a crowded KV memory costs: requests are preempted and read again.
fn memory_ms(request: &RequestProfile, work: &Work) -> f64 {
    if request.capacity == 0 {
        return 0.0;
    }
    let fill = (work.tokens + request.prompt.load()) as f64 / request.capacity as f64;
    if fill <= MEMORY_PRESSURE_FROM {
        return 0.0;
    }
    (fill - MEMORY_PRESSURE_FROM) * MEMORY_PRESSURE_COST_MS
}

/// How long a request that is sent now waits at an engine before it begins: until the prompts before it are read, and
/// one of the runs has ended for each that waits for a slot.
pub fn expected_wait(endpoint: &Endpoint, now: Instant) -> Duration {
    let work = endpoint.engine.work();
    let occupancy = Occupancy::of(&work, endpoint, now);
    let reading_ms = work.all(now).unread as f64 / constants::READ_RATE;
    let ms =
        reading_ms + f64::from(occupancy.waiting) * constants::WAIT_COST_MS + occupancy.slot_ms();
    Duration::from_secs_f64(ms / 1000.0)
}

/// The cost of one engine, with what a source of KV blocks would spare it.
pub fn evaluate(
    request: &RequestProfile,
    endpoint: &Endpoint,
    cached: &CachedTokens,
    offer: Option<&Offer>,
    now: Instant,
) -> Cost {
    let work = endpoint.engine.work();
    let occupancy = Occupancy::of(&work, endpoint, now);
    let prefill = Prefill::of(request, cached, offer);
    let mut ms = prefill.ms
        + work.all(now).unread as f64 / constants::READ_RATE
        + f64::from(occupancy.running) * constants::RUN_COST_MS
        + f64::from(occupancy.waiting) * constants::WAIT_COST_MS;
    ms += occupancy.slot_ms();
    if !endpoint.near {
        ms += constants::ZONE_COST_MS;
    }
    let is_connected = work.has_idle_connection(now, request.subset.longest_idle);
    ms += request.subset.ms(endpoint.distance, is_connected);
    ms += memory_ms(request, &work);
    if request.prompt.is_prefill_heavy() != endpoint.prefill_heavy {
        ms += constants::WRONG_GROUP_COST_MS;
    }
    Cost { ms, prefill_tokens: prefill.tokens, is_full: occupancy.is_full() }
}
