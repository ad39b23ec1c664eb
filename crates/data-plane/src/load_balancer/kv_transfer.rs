//! Where the parts of a prompt that an engine lacks can be had cheaper than by reading them.

use super::request_profile::{Offer, RequestProfile, SelectionContext};
use crate::fleet_view::endpoints::Endpoint;
use crate::pool::EngineHandle;
use fleet_core::constants;
use prompt_index::{Chain, Depths};
use smallvec::SmallVec;
use std::sync::Arc;
use tokio::time::Instant;

/// A model and one version of its weights.
#[derive(Clone, Copy)]
pub struct Weights<'a> {
    /// the model
    pub model: &'a str,
    /// the version
    pub version: u64,
}

impl Weights<'_> {
    /// An engine that answers and has these weights, so that its parts may be taken.
    fn usable_from(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let answers = !endpoint.state.heartbeat_missed && !endpoint.engine.is_ejected(now);
        answers && fleet_core::fleet::version_of(&endpoint.state, self.model) == Some(self.version)
    }
}

/// A holder that has more of the prompt cached than some engines do.
pub struct Source {
    /// where engines reach it
    pub address: String,
    /// none for a store
    pub engine: Option<Arc<EngineHandle>>,
    zone: String,
    mbps: f64,
    tokens: u64,
    transfers: u32,
}

impl Source {
    /// What it offers an engine that has so much of the prompt cached itself.
    pub fn for_endpoint(
        &self,
        request: &RequestProfile,
        endpoint: &Endpoint,
        cached: u64,
    ) -> Offer {
        let tokens = self.tokens.saturating_sub(cached);
        let one = request.transfer_ms(tokens, self.mbps, self.zone == endpoint.state.zone);
        Offer { tokens, ms: one * f64::from(1 + self.transfers) }
    }
}

/// The holders found for one prompt under one version of the weights.
#[derive(Default)]
pub struct Sources {
    found: SmallVec<[Source; 8]>,
    /// tokens of it that the store where the prompt belongs has
    stored: u64,
}

impl Sources {
    /// Takes in the holders of one cell of the index, a few of each depth.
    pub fn add(
        &mut self,
        context: &SelectionContext,
        weights: Weights,
        cell: usize,
        found: &Depths,
        chain: &Chain,
    ) {
        self.add_stores(&context.request, cell, found, chain);
        for (depth, holders) in &found.groups {
            let tokens = chain.tokens(*depth);
            if tokens < constants::TRANSFER_MIN_TOKENS {
                break;
            }
            let endpoints =
                holders.iter().filter_map(|holder| context.endpoint_set.endpoint(cell, holder));
            let endpoints = endpoints.map(|endpoint| &context.endpoint_set.endpoints[endpoint]);
            let usable =
                endpoints.filter(|endpoint| weights.usable_from(endpoint, context.now)).collect();
            self.add_engines(&context.request, usable, tokens);
        }
    }

    fn add_stores(&mut self, request: &RequestProfile, cell: usize, found: &Depths, chain: &Chain) {
        for (rank, store) in request.stores.iter().enumerate().filter(|(_, s)| s.at.cell == cell) {
            let tokens = chain.tokens(found.of(store.at.no.index));
            if rank == 0 {
                self.stored = tokens;
            }
            if tokens < constants::TRANSFER_MIN_TOKENS {
                continue;
            }
            self.found.push(Source {
                address: store.address.to_owned(),
                engine: None,
                zone: store.zone.to_owned(),
                mbps: store.mbps.min(request.link_mbps),
                tokens,
                transfers: 0,
            });
        }
    }

    /// The least busy holders of one depth, near ones first.
    fn add_engines(
        &mut self,
        request: &RequestProfile,
        mut endpoints: SmallVec<[&Endpoint; 16]>,
        tokens: u64,
    ) {
        endpoints.sort_by_key(|endpoint| (endpoint.engine.work().transfers, !endpoint.near));
        for endpoint in endpoints.into_iter().take(constants::SOURCES_WEIGHED) {
            self.found.push(Source {
                address: endpoint.engine.address.to_string(),
                engine: Some(endpoint.engine.clone()),
                zone: endpoint.state.zone.clone(),
                mbps: request.link_mbps,
                tokens,
                transfers: endpoint.engine.work().transfers,
            });
        }
    }

    /// Another holder of as much, for the case that the engine has dropped what it is believed to keep.
    pub fn second(&self, endpoint: &Endpoint) -> Option<&Source> {
        self.found
            .iter()
            .filter(|s| s.engine.as_ref().is_none_or(|x| x.id != endpoint.engine.id))
            .max_by_key(|s| {
                (
                    s.tokens,
                    s.engine.is_none(),
                    s.zone == endpoint.state.zone,
                    u32::MAX - s.transfers,
                )
            })
    }

    /// A store has some of it.
    pub fn is_stored(&self) -> bool {
        self.found.iter().any(|s| s.engine.is_none())
    }

    /// The source worth most to an engine, if any is worth a move.
    pub fn best(
        &self,
        request: &RequestProfile,
        endpoint: &Endpoint,
        cached: u64,
    ) -> Option<&Source> {
        self.found
            .iter()
            .map(|s| (s, s.for_endpoint(request, endpoint, cached)))
            .filter(|(_, o)| o.tokens >= constants::TRANSFER_MIN_TOKENS && o.gain() > 0.0)
            .max_by(|a, b| a.1.gain().total_cmp(&b.1.gain()))
            .map(|(s, _)| s)
    }
}

/// Nobody is known to keep what is missing: the part's home may, and a miss costs little. A store is
/// never guessed at: its one line is shared by all engines.
pub fn guess(
    request: &RequestProfile,
    cached: u64,
    affinity_target: Option<&Endpoint>,
) -> Option<(String, Option<Arc<EngineHandle>>)> {
    if request.prompt.shared().saturating_sub(cached) < constants::TRANSFER_MIN_TOKENS {
        return None;
    }
    affinity_target.map(|r| (r.engine.address.to_string(), Some(r.engine.clone())))
}

/// Large shared parts that their store lacks are worth a place there, unless too much of what would
/// go along is this request's own: that would only push others out.
pub fn sink(request: &RequestProfile, sources: &Sources) -> Option<String> {
    let shared = request.prompt.shared();
    let own = request.prompt.tokens().saturating_sub(shared) as f64;
    let s = request.stores.first()?;
    let is_worthwhile =
        shared >= constants::SINK_TOKENS && own <= shared as f64 * constants::SINK_OWN_SHARE;
    (is_worthwhile && sources.stored < shared).then(|| s.address.to_owned())
}
