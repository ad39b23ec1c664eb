//! Computes the cost of a request at one engine, in milliseconds.
//!
//! The cost is the time until the request could be answered there plus the delay that it causes to other requests. The
//! engine with the lowest total is selected. All components are in milliseconds so that they can be added.

use super::request_profile::{RequestProfile, TransferEstimate};
use crate::fleet_view::endpoints::Endpoint;
use crate::pool::EngineActivity;
use fleet_core::constants;
use std::time::Duration;
use tokio::time::Instant;

/// Utilization of an engine's KV memory, from 0 to 1, above which a further request may preempt others.
const MEMORY_PRESSURE_FROM: f64 = 0.5;
/// Cost per unit of KV memory utilization above [`MEMORY_PRESSURE_FROM`].
const MEMORY_PRESSURE_COST_MS: f64 = 1000.0;

/// Prompt tokens in the prefix cache of an engine.
pub struct CachedTokens {
    /// Tokens that the prompt index reports.
    pub indexed: u64,
    /// Tokens that the engine has if the shared part was routed there by affinity. The index doesn't confirm them.
    pub assumed: u64,
}

/// Cost of running a request at one engine.
pub struct Cost {
    /// Total cost in milliseconds; lower is better.
    pub ms: f64,
    /// Number of prompt tokens that the engine would have to compute.
    pub prefill_tokens: u64,
    /// Whether the engine runs and queues more than twice as many requests as it has slots.
    pub is_full: bool,
}

/// Requests at an engine, from the engine's own report and from the loads reported by all routers.
struct Occupancy {
    running: u32,
    waiting: u32,
    slots: u32,
}

impl Occupancy {
    fn of(activity: &EngineActivity, endpoint: &Endpoint, now: Instant) -> Occupancy {
        let is_recent = |at| now.duration_since(at) < constants::REPORTED_LOAD_TIMEOUT;
        let reported = activity.reported.filter(|reported| is_recent(reported.at));
        Occupancy {
            running: reported
                .map_or(0, |load| load.running)
                .max(activity.total_load(now).in_flight),
            waiting: reported.map_or(0, |load| load.waiting),
            slots: endpoint.state.slots,
        }
    }

    fn is_full(&self) -> bool {
        self.slots > 0 && (self.running + self.waiting) > self.slots.saturating_mul(2)
    }

    /// Expected wait for a slot: none while one is free, otherwise until enough runs have ended to free one.
    fn slot_wait_ms(&self) -> f64 {
        if self.slots == 0 || self.running < self.slots {
            return 0.0;
        }
        f64::from(self.running - self.slots + 1) * constants::SLOT_OVERCOMMIT_COST_MS
    }
}

/// Prompt tokens to be computed, and the expected time to compute them or receive their KV blocks from a source.
struct Prefill {
    tokens: u64,
    ms: f64,
}

impl Prefill {
    fn of(
        request: &RequestProfile,
        cached: &CachedTokens,
        transfer: Option<&TransferEstimate>,
    ) -> Prefill {
        let tokens = request.prompt.tokens().saturating_sub(cached.indexed);
        let beyond_indexed = cached.assumed.saturating_sub(cached.indexed);
        let assumed = beyond_indexed as f64 * constants::AFFINITY_HIT_RATE;
        let ms = (tokens as f64 - assumed).max(0.0) / constants::PREFILL_TOKENS_PER_MS;
        let Some(transfer) = transfer else { return Prefill { tokens, ms } };
        let tokens = tokens.saturating_sub(transfer.tokens);
        Prefill {
            tokens,
            ms: ms.min(tokens as f64 / constants::PREFILL_TOKENS_PER_MS + transfer.ms),
        }
    }
}

/// Cost of a nearly full KV memory: requests are preempted, and their prompts computed again.
fn memory_pressure_ms(request: &RequestProfile, activity: &EngineActivity) -> f64 {
    if request.capacity == 0 {
        return 0.0;
    }
    let utilization = (activity.tokens + request.prompt.load()) as f64 / request.capacity as f64;
    if utilization <= MEMORY_PRESSURE_FROM {
        return 0.0;
    }
    (utilization - MEMORY_PRESSURE_FROM) * MEMORY_PRESSURE_COST_MS
}

/// Expected time until a request dispatched now begins at an engine: the prompts ahead of it have to be computed, and
/// a run has to end for each request that waits for a slot.
pub fn expected_wait(endpoint: &Endpoint, now: Instant) -> Duration {
    let activity = endpoint.engine.activity();
    let occupancy = Occupancy::of(&activity, endpoint, now);
    let prefill_ms =
        activity.total_load(now).pending_prefill_tokens as f64 / constants::PREFILL_TOKENS_PER_MS;
    let ms = prefill_ms
        + f64::from(occupancy.waiting) * constants::QUEUED_REQUEST_COST_MS
        + occupancy.slot_wait_ms();
    Duration::from_secs_f64(ms / 1000.0)
}

/// Computes the cost of a request at one engine, including the time saved by a KV transfer if there is one.
pub fn evaluate(
    request: &RequestProfile,
    endpoint: &Endpoint,
    cached: &CachedTokens,
    transfer: Option<&TransferEstimate>,
    now: Instant,
) -> Cost {
    let activity = endpoint.engine.activity();
    let occupancy = Occupancy::of(&activity, endpoint, now);
    let prefill = Prefill::of(request, cached, transfer);
    let mut ms = prefill.ms
        + activity.total_load(now).pending_prefill_tokens as f64 / constants::PREFILL_TOKENS_PER_MS
        + f64::from(occupancy.running) * constants::RUNNING_REQUEST_COST_MS
        + f64::from(occupancy.waiting) * constants::QUEUED_REQUEST_COST_MS;
    ms += occupancy.slot_wait_ms();
    if !endpoint.same_zone {
        ms += constants::ZONE_COST_MS;
    }
    let is_connected = activity.has_idle_connection(now, request.subset.max_idle);
    ms += request.subset.cost_ms(endpoint.distance, is_connected);
    ms += memory_pressure_ms(request, &activity);
    if request.prompt.is_prefill_heavy() != endpoint.prefill_heavy {
        ms += constants::WRONG_GROUP_COST_MS;
    }
    Cost { ms, prefill_tokens: prefill.tokens, is_full: occupancy.is_full() }
}
