//! Finds engines and stores from which the missing KV blocks of a prompt can be fetched faster than recomputed.

use super::request_profile::{RequestProfile, SelectionContext, TransferEstimate};
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
    /// Name of the model.
    pub model: &'a str,
    /// Version of the weights.
    pub version: u64,
}

impl Weights<'_> {
    /// Whether KV blocks may be fetched from an engine: it is alive and has these weights.
    fn is_usable_source(&self, endpoint: &Endpoint, now: Instant) -> bool {
        let answers = !endpoint.state.heartbeat_missed && !endpoint.engine.is_ejected(now);
        answers && fleet_core::fleet::version_of(&endpoint.state, self.model) == Some(self.version)
    }
}

/// An engine or KV store that has a prefix of the prompt cached and from which it can be transferred.
pub struct Source {
    /// Address at which engines reach the source.
    pub address: String,
    /// The engine; none for a store.
    pub engine: Option<Arc<EngineHandle>>,
    zone: String,
    mbps: f64,
    tokens: u64,
    transfers: u32,
}

impl Source {
    /// Estimates a transfer to an engine that already has `cached` tokens of the prompt. A source with transfers in
    /// progress shares its link among them, so each one takes longer.
    pub fn estimate_transfer(
        &self,
        request: &RequestProfile,
        endpoint: &Endpoint,
        cached: u64,
    ) -> TransferEstimate {
        let tokens = self.tokens.saturating_sub(cached);
        let single_ms = request.transfer_ms(tokens, self.mbps, self.zone == endpoint.state.zone);
        TransferEstimate { tokens, ms: single_ms * f64::from(1 + self.transfers) }
    }
}

/// The sources found for one prompt under one version of the weights.
#[derive(Default)]
pub struct Sources {
    sources: SmallVec<[Source; 8]>,
    /// Number of prompt tokens in the preferred store.
    stored_tokens: u64,
}

impl Sources {
    /// Adds the holders found in one cell of the index, at most [`constants::MAX_SOURCES_PER_DEPTH`] engines per depth.
    pub fn add_cell(
        &mut self,
        context: &SelectionContext,
        weights: Weights,
        cell: usize,
        hits: &Depths,
        chain: &Chain,
    ) {
        self.add_stores(&context.request, cell, hits, chain);
        for (depth, holders) in &hits.groups {
            let tokens = chain.tokens(*depth);
            if tokens < constants::TRANSFER_MIN_TOKENS {
                break;
            }
            let endpoints =
                holders.iter().filter_map(|holder| context.endpoint_set.endpoint(cell, holder));
            let endpoints = endpoints.map(|endpoint| &context.endpoint_set.endpoints[endpoint]);
            let usable = endpoints
                .filter(|endpoint| weights.is_usable_source(endpoint, context.now))
                .collect();
            self.add_engines(&context.request, usable, tokens);
        }
    }

    fn add_stores(&mut self, request: &RequestProfile, cell: usize, hits: &Depths, chain: &Chain) {
        for (rank, store) in
            request.stores.iter().enumerate().filter(|(_, store)| store.index_location.cell == cell)
        {
            let tokens = chain.tokens(hits.depth_of(store.index_location.slot.index));
            if rank == 0 {
                self.stored_tokens = tokens;
            }
            if tokens < constants::TRANSFER_MIN_TOKENS {
                continue;
            }
            self.sources.push(Source {
                address: store.address.to_owned(),
                engine: None,
                zone: store.zone.to_owned(),
                mbps: store.mbps.min(request.link_mbps),
                tokens,
                transfers: 0,
            });
        }
    }

    /// Adds the holders of one depth that have the fewest transfers in progress; among equals, those in this router's
    /// zone come first.
    fn add_engines(
        &mut self,
        request: &RequestProfile,
        mut endpoints: SmallVec<[&Endpoint; 16]>,
        tokens: u64,
    ) {
        endpoints
            .sort_by_key(|endpoint| (endpoint.engine.activity().transfers, !endpoint.same_zone));
        for endpoint in endpoints.into_iter().take(constants::MAX_SOURCES_PER_DEPTH) {
            self.sources.push(Source {
                address: endpoint.engine.address.to_string(),
                engine: Some(endpoint.engine.clone()),
                zone: endpoint.state.zone.clone(),
                mbps: request.link_mbps,
                tokens,
                transfers: endpoint.engine.activity().transfers,
            });
        }
    }

    /// The holder of the longest prefix other than the engine itself, in case the engine has evicted blocks that the
    /// index still lists.
    pub fn alternative(&self, endpoint: &Endpoint) -> Option<&Source> {
        self.sources
            .iter()
            .filter(|source| {
                source.engine.as_ref().is_none_or(|engine| engine.id != endpoint.engine.id)
            })
            .max_by_key(|source| {
                (
                    source.tokens,
                    source.engine.is_none(),
                    source.zone == endpoint.state.zone,
                    u32::MAX - source.transfers,
                )
            })
    }

    /// Whether a KV store has a prefix of the prompt.
    pub fn is_stored(&self) -> bool {
        self.sources.iter().any(|source| source.engine.is_none())
    }

    /// The source that saves an engine the most time; none if no transfer is faster than recomputing and has at least
    /// [`constants::TRANSFER_MIN_TOKENS`] tokens.
    pub fn best_for(
        &self,
        request: &RequestProfile,
        endpoint: &Endpoint,
        cached: u64,
    ) -> Option<&Source> {
        self.sources
            .iter()
            .map(|source| (source, source.estimate_transfer(request, endpoint, cached)))
            .filter(|(_, transfer)| {
                transfer.tokens >= constants::TRANSFER_MIN_TOKENS && transfer.saved_ms() > 0.0
            })
            .max_by(|a, b| a.1.saved_ms().total_cmp(&b.1.saved_ms()))
            .map(|(source, _)| source)
    }
}

/// Returns the affinity target as a source when no holder of the missing blocks is known: it may have them, and a miss
/// is cheap. A store is never queried speculatively, since all engines share its single link.
pub fn guess_source(
    request: &RequestProfile,
    cached: u64,
    affinity_target: Option<&Endpoint>,
) -> Option<(String, Option<Arc<EngineHandle>>)> {
    if request.prompt.shared().saturating_sub(cached) < constants::TRANSFER_MIN_TOKENS {
        return None;
    }
    affinity_target
        .map(|endpoint| (endpoint.engine.address.to_string(), Some(endpoint.engine.clone())))
}

/// Returns the store to which the prompt's KV blocks should be written: only if it lacks a large shared prefix, and not
/// if too many of the blocks are specific to this request, which would evict blocks of others to no use.
pub fn choose_sink(request: &RequestProfile, sources: &Sources) -> Option<String> {
    let shared = request.prompt.shared();
    let unshared = request.prompt.tokens().saturating_sub(shared) as f64;
    let store = request.stores.first()?;
    let is_worthwhile = shared >= constants::STORE_MIN_SHARED_TOKENS
        && unshared <= shared as f64 * constants::STORE_MAX_UNSHARED_RATIO;
    (is_worthwhile && sources.stored_tokens < shared).then(|| store.address.to_owned())
}
