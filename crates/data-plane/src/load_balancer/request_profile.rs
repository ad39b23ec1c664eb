//! What a request needs of engines, stores and KV transfers: the load balancer's view of it.

use super::prompt::Prompt;
use crate::fleet_view::endpoints::EndpointSet;
use crate::fleet_view::routing_table::Table;
use fleet_core::configuration::Service;
use fleet_core::constants;
use prompt_index::{At, Index};
use smallvec::SmallVec;
use std::time::Duration;
use tokio::time::Instant;

/// What the engines are weighed for.
pub struct RequestProfile<'a> {
    /// the prompt to be read
    pub prompt: &'a Prompt,
    /// this router's zone
    pub zone: &'a str,
    /// tokens that an engine of the service has room for
    pub capacity: u64,
    /// bits that a token of a prompt is moved with
    pub token_bits: f64,
    /// what an engine's link carries
    pub link_mbps: f64,
    /// stores that answer, the one where this prompt belongs first
    pub stores: SmallVec<[Store<'a>; 4]>,
    /// what this router's own order of the engines weighs
    pub subset: Subset,
}

/// The engines that a router keeps to, among many routers.
///
/// Each router has an order of its own ([`Endpoint::distance`](crate::fleet_view::endpoints::Endpoint::distance)), and
/// works with the first so many candidates in it: so many that each engine is in the subsets of
/// [`SUBSET_ROUTERS`](constants::SUBSET_ROUTERS) routers, whatever the number of either. It meets the same engines again, so
/// that their connections stay warm, and an engine that looks idle is chosen by a few routers before they hear of each
/// other, not by hundreds. Since the subset is drawn from the candidates, one that can't serve is replaced by the next.
/// Engines that have the prefix are weighed whether they are in it or not.
#[derive(Debug, Clone, Copy)]
pub struct Subset {
    routers: usize,
    /// ms; what the last engine of the own order costs more than the first
    spread_ms: f64,
    /// a connection that idled for longer is not used again
    pub longest_idle: Duration,
}

impl Subset {
    /// Among so many routers: alone there is nobody to keep apart from, and the more there are, the less each knows of
    /// what the others have just sent.
    pub fn among(routers: usize, longest_idle: Duration) -> Subset {
        let others = routers.saturating_sub(1) as f64;
        let crowd = others / (others + constants::SUBSET_HALF_ROUTERS);
        Subset { routers, spread_ms: constants::SUBSET_SPREAD_MS * crowd, longest_idle }
    }

    /// How many of so many candidates are in it.
    pub fn size(&self, candidates: usize) -> usize {
        let share = candidates * constants::SUBSET_ROUTERS;
        share.div_ceil(self.routers.max(1)).max(constants::SUBSET_ENGINES_LEAST).min(candidates)
    }

    /// The distance of the last candidate that is in it.
    pub fn border(&self, mut distances: Vec<f64>) -> f64 {
        let Some(last) = self.size(distances.len()).checked_sub(1) else { return 0.0 };
        let (_, border, _) = distances.select_nth_unstable_by(last, f64::total_cmp);
        *border
    }

    /// What an engine at this distance costs, with or without an idle connection that is fit.
    pub fn ms(&self, distance: f64, is_connected: bool) -> f64 {
        let connect_ms = if is_connected { 0.0 } else { constants::NEW_CONNECTION_COST_MS };
        distance * self.spread_ms + connect_ms
    }
}

impl<'a> RequestProfile<'a> {
    /// For a prompt at a service, with the stores that the index knows.
    pub fn new(
        routing_table: &'a Table,
        service: &str,
        prompt: &'a Prompt,
        index: &Index,
        zone: &'a str,
        subset: Subset,
    ) -> RequestProfile<'a> {
        let facts = routing_table.service(service).and_then(|s| s.engine.as_ref());
        let part = prompt.deepest_shared().unwrap_or(0);
        let mut stores: SmallVec<[Store; 4]> =
            routing_table.stores().iter().filter_map(|s| Store::new(s, index, part)).collect();
        stores.sort_by_key(|s| std::cmp::Reverse(s.rank));
        RequestProfile {
            prompt,
            zone,
            capacity: facts.map_or(0, |f| f.kv_capacity),
            token_bits: facts.map_or(0.0, |f| f.kv_token_bytes * 8.0),
            link_mbps: facts.map_or(0.0, |f| f.link_mbps),
            stores,
            subset,
        }
    }

    /// ms that a move of so many tokens takes.
    pub fn transfer_ms(&self, tokens: u64, mbps: f64, near: bool) -> f64 {
        let far = if near { 1.0 } else { 2.0 };
        constants::TRANSFER_COST_MS + tokens as f64 * self.token_bits / (mbps.max(1.0) * 1e3) * far
    }
}

/// A store that answers, as the configuration has it.
pub struct Store<'a> {
    /// where engines reach it
    pub address: &'a str,
    /// its zone
    pub zone: &'a str,
    /// what its link carries
    pub mbps: f64,
    /// its place in the index
    pub at: At,
    /// by which a part of a prompt belongs to one store, alike at all routers
    pub rank: u64,
}

impl<'a> Store<'a> {
    /// The service, if it is a store that the index knows.
    pub fn new(s: &'a Service, index: &Index, part: u64) -> Option<Store<'a>> {
        let address = s.kv_store.as_deref()?;
        Some(Store {
            address,
            zone: s.zone.as_deref().unwrap_or_default(),
            mbps: s.link_mbps,
            at: index.at(address)?,
            rank: fleet_core::node::stable_hash(&[address.as_bytes(), &part.to_be_bytes()]),
        })
    }
}

/// What a source offers one engine.
#[derive(Clone, Copy)]
pub struct Offer {
    /// Tokens of the prompt beyond what the engine has cached.
    pub tokens: u64,
    /// how long the move takes
    pub ms: f64,
}

impl Offer {
    /// ms that the move saves over reading.
    pub fn gain(&self) -> f64 {
        self.tokens as f64 / constants::READ_RATE - self.ms
    }
}

/// What one placement goes by: a request, the engines of its service, and what the index knows.
pub struct SelectionContext<'a> {
    /// What the request needs.
    pub request: RequestProfile<'a>,
    /// the engines of the service
    pub endpoint_set: &'a EndpointSet,
    /// Who has which blocks.
    pub index: &'a Index,
    /// one time for all that is weighed
    pub now: Instant,
}

#[cfg(test)]
#[path = "request_profile_tests.rs"]
mod tests;
