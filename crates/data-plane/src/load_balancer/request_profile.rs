//! The properties of a request by which the load balancer evaluates engines, stores and KV transfers.

use super::prompt::Prompt;
use crate::fleet_view::endpoints::EndpointSet;
use crate::fleet_view::routing_table::RoutingTable;
use fleet_core::configuration::Service;
use fleet_core::constants;
use prompt_index::{Index, IndexLocation};
use smallvec::SmallVec;
use std::time::Duration;
use tokio::time::Instant;

/// Properties of a request that are the same for all candidate engines.
pub struct RequestProfile<'a> {
    /// The prompt of the request.
    pub prompt: &'a Prompt,
    /// Zone of this router.
    pub zone: &'a str,
    /// Capacity of an engine's KV memory, in tokens; 0 if not configured.
    pub capacity: u64,
    /// Size of the KV blocks of one prompt token, in bits.
    pub token_bits: f64,
    /// Bandwidth of an engine's link, in Mbit/s.
    pub link_mbps: f64,
    /// KV stores that are reachable; the preferred one for this prompt comes first.
    pub stores: SmallVec<[Store<'a>; 4]>,
    /// The subset of the engines that this router prefers.
    pub subset: Subset,
}

/// The subset of the engines that a router prefers when there are many routers.
///
/// Each router orders the engines differently
/// ([`Endpoint::distance`](crate::fleet_view::endpoints::Endpoint::distance)) and uses the first candidates in its
/// order. The size of the subset is chosen so that each engine is in the subsets of about
/// [`SUBSET_ROUTERS_PER_ENGINE`](constants::SUBSET_ROUTERS_PER_ENGINE) routers, whatever the numbers of routers and
/// engines. A router then reuses its connections to the same engines, and an engine that looks idle is selected by a
/// few routers before their load reports reach each other, not by hundreds. The subset is taken from the candidates, so
/// an engine that can't serve is replaced by the next one. Engines with the prefix cached are considered whether they
/// are in the subset or not.
#[derive(Debug, Clone, Copy)]
pub struct Subset {
    routers: usize,
    /// Cost of the engine at distance 1 compared to the engine at distance 0, in milliseconds.
    distance_cost_ms: f64,
    /// A connection that was idle for longer is not reused.
    pub max_idle: Duration,
}

impl Subset {
    /// For a number of live routers, this one included. A single router has no need to avoid others; the more routers
    /// there are, the less each of them knows about what the others have just dispatched.
    pub fn new(routers: usize, max_idle: Duration) -> Subset {
        let others = routers.saturating_sub(1) as f64;
        let weight = others / (others + constants::SUBSET_HALF_WEIGHT_ROUTERS);
        Subset { routers, distance_cost_ms: constants::SUBSET_DISTANCE_COST_MS * weight, max_idle }
    }

    /// Number of engines in the subset, given the number of candidates.
    pub fn size(&self, candidates: usize) -> usize {
        let share = candidates * constants::SUBSET_ROUTERS_PER_ENGINE;
        share.div_ceil(self.routers.max(1)).max(constants::SUBSET_MIN_ENGINES).min(candidates)
    }

    /// Distance of the last candidate in the subset, given the distances of all candidates; 0 if there are none.
    pub fn max_distance(&self, mut distances: Vec<f64>) -> f64 {
        let Some(last) = self.size(distances.len()).checked_sub(1) else { return 0.0 };
        let (_, max_distance, _) = distances.select_nth_unstable_by(last, f64::total_cmp);
        *max_distance
    }

    /// Cost of an engine at this distance, in milliseconds; `is_connected` says whether there is a reusable idle
    /// connection to it.
    pub fn cost_ms(&self, distance: f64, is_connected: bool) -> f64 {
        let connect_ms = if is_connected { 0.0 } else { constants::NEW_CONNECTION_COST_MS };
        distance * self.distance_cost_ms + connect_ms
    }
}

impl<'a> RequestProfile<'a> {
    /// For a prompt at a service. Stores that don't respond, and are therefore not in the index, are left out.
    pub fn new(
        routing_table: &'a RoutingTable,
        service: &str,
        prompt: &'a Prompt,
        index: &Index,
        zone: &'a str,
        subset: Subset,
    ) -> RequestProfile<'a> {
        let engine_config =
            routing_table.service(service).and_then(|configured| configured.engine.as_ref());
        let part = prompt.deepest_shared().unwrap_or(0);
        let mut stores: SmallVec<[Store; 4]> = routing_table
            .stores()
            .iter()
            .filter_map(|store| Store::new(store, index, part))
            .collect();
        stores.sort_by_key(|store| std::cmp::Reverse(store.rank));
        RequestProfile {
            prompt,
            zone,
            capacity: engine_config.map_or(0, |engine| engine.kv_capacity),
            token_bits: engine_config.map_or(0.0, |engine| engine.kv_token_bytes * 8.0),
            link_mbps: engine_config.map_or(0.0, |engine| engine.link_mbps),
            stores,
            subset,
        }
    }

    /// Duration of the KV transfer of `tokens` tokens at `mbps` Mbit/s, in milliseconds; twice as long between zones.
    pub fn transfer_ms(&self, tokens: u64, mbps: f64, same_zone: bool) -> f64 {
        let zone_factor = if same_zone { 1.0 } else { 2.0 };
        constants::TRANSFER_COST_MS
            + tokens as f64 * self.token_bits / (mbps.max(1.0) * 1e3) * zone_factor
    }
}

/// A KV store of the configuration that responds: the index lists only those.
pub struct Store<'a> {
    /// Address at which engines reach the store.
    pub address: &'a str,
    /// Zone of the store; empty if not configured.
    pub zone: &'a str,
    /// Bandwidth of its link, in Mbit/s.
    pub mbps: f64,
    /// Position of the store in the prompt index.
    pub index_location: IndexLocation,
    /// Rendezvous hash of the store and a prompt part; the store with the highest rank is preferred. All routers
    /// compute the same rank.
    pub rank: u64,
}

impl<'a> Store<'a> {
    /// None if the service is not a store, or the index doesn't list it.
    pub fn new(service: &'a Service, index: &Index, part: u64) -> Option<Store<'a>> {
        let address = service.kv_store.as_deref()?;
        Some(Store {
            address,
            zone: service.zone.as_deref().unwrap_or_default(),
            mbps: service.link_mbps,
            index_location: index.location(address)?,
            rank: fleet_core::node::stable_hash(&[address.as_bytes(), &part.to_be_bytes()]),
        })
    }
}

/// Estimate of a KV transfer from a source to one engine.
#[derive(Clone, Copy)]
pub struct TransferEstimate {
    /// Number of prompt tokens that the source has beyond those cached at the engine.
    pub tokens: u64,
    /// Duration of the transfer in milliseconds.
    pub ms: f64,
}

impl TransferEstimate {
    /// Time saved by the transfer compared to computing the tokens, in milliseconds; negative if the transfer is
    /// slower.
    pub fn saved_ms(&self) -> f64 {
        self.tokens as f64 / constants::PREFILL_TOKENS_PER_MS - self.ms
    }
}

/// Inputs of one engine selection.
pub struct SelectionContext<'a> {
    /// Properties of the request.
    pub request: RequestProfile<'a>,
    /// The engines of the service.
    pub endpoint_set: &'a EndpointSet,
    /// The prompt index: which holders have which blocks cached.
    pub index: &'a Index,
    /// The time at which all candidates are evaluated.
    pub now: Instant,
}

#[cfg(test)]
#[path = "request_profile_tests.rs"]
mod tests;
