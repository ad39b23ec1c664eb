//! Looks up which engines and stores have a prompt cached, for each version of the weights in use.

use super::cache_isolation::CacheIsolation;
use super::candidates::Candidate;
use super::kv_transfer::{Sources, Weights};
use super::request_profile::SelectionContext;
use prompt_index::{Chain, HolderBitmap};
use smallvec::SmallVec;

/// Cached prefixes of one prompt under one version of the weights, as the index lists them.
pub struct PrefixCache {
    /// Version of the weights.
    pub version: u64,
    /// Salt of the block hashes: depends on the model, the version and the isolation.
    pub salt: String,
    /// Holders from which cached blocks can be transferred.
    pub sources: Sources,
    chain: Chain,
    /// Number of cached prompt parts, by index of the endpoint.
    depths: Vec<u16>,
}

impl PrefixCache {
    /// Number of prompt tokens cached at an endpoint, given by its index.
    pub fn cached_tokens(&self, endpoint: usize) -> u64 {
        self.chain.tokens(usize::from(self.depths[endpoint]))
    }
}

/// Looks up the prompt once for each version of the weights among the candidates.
pub fn prefix_caches(
    context: &SelectionContext,
    candidates: &[Candidate],
    isolation: &CacheIsolation,
) -> SmallVec<[PrefixCache; 2]> {
    let mut caches: SmallVec<[PrefixCache; 2]> = SmallVec::new();
    let Some(model) = &context.request.prompt.model else { return caches };
    let isolation = isolation.salt_field();
    for version in candidates.iter().filter_map(|candidate| candidate.version) {
        if !caches.iter().any(|prefix_cache| prefix_cache.version == version) {
            caches.push(prefix_cache(context, Weights { model, version }, &isolation));
        }
    }
    caches
}

fn prefix_cache(context: &SelectionContext, weights: Weights, isolation: &str) -> PrefixCache {
    let salt = invalidation::salt::format_salt(weights.model, weights.version, isolation);
    let part_sizes = context.request.prompt.part_sizes();
    let chain = context.index.chain(&salt, part_sizes.iter().copied());
    let shared = chain.len().min(part_sizes.len().saturating_sub(1));
    if shared > 0 {
        context.index.insert_chain(&salt, &Chain(chain.0[..shared].into()));
    }
    let mut depths = vec![0u16; context.endpoint_set.endpoints.len()];
    let mut sources = Sources::default();
    for (cell_index, cell) in context.index.cells().iter().enumerate() {
        let hits = cell.query(&chain, &HolderBitmap::ALL);
        for (depth, holders) in &hits.groups {
            let endpoints = holders
                .iter()
                .filter_map(|holder| context.endpoint_set.endpoint(cell_index, holder));
            endpoints.for_each(|endpoint| depths[endpoint] = *depth as u16);
        }
        sources.add_cell(context, weights, cell_index, &hits, &chain);
    }
    PrefixCache { version: weights.version, salt, sources, chain, depths }
}
