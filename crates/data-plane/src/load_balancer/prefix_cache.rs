//! What engines and stores keep of a prompt, under each version of the weights in use.

use super::candidates::Candidate;
use super::kv_transfer::{Sources, Weights};
use super::request_profile::SelectionContext;
use crate::fleet_view::routing_table::Tenant;
use prompt_index::{Chain, HolderBitmap};
use smallvec::SmallVec;

/// What the index knows of a prompt under one version of the weights.
pub struct PrefixCache {
    /// the version
    pub version: u64,
    /// The salt under which its blocks are cached.
    pub salt: String,
    /// Who else has some of it.
    pub sources: Sources,
    chain: Chain,
    /// Cached blocks, by endpoint.
    depths: Vec<u16>,
}

impl PrefixCache {
    /// Tokens of the prompt that the engine of a row was seen to keep.
    pub fn cached(&self, endpoint: usize) -> u64 {
        self.chain.tokens(usize::from(self.depths[endpoint]))
    }
}

/// The isolation of a tenant: its own if isolated, else the generation of the shared one.
pub fn isolation(tenant: Option<&Tenant>, generation: u64) -> String {
    match tenant.filter(|tenant| tenant.isolated) {
        Some(tenant) => format!("t/{}", tenant.name),
        None => invalidation::salt::shared_isolation(generation),
    }
}

/// What each version of the weights that candidates have means for this prompt.
pub fn prefix_caches(
    context: &SelectionContext,
    candidates: &[Candidate],
    isolation: &str,
) -> SmallVec<[PrefixCache; 2]> {
    let mut out: SmallVec<[PrefixCache; 2]> = SmallVec::new();
    let Some(model) = &context.request.prompt.model else { return out };
    for version in candidates.iter().filter_map(|candidate| candidate.version) {
        if !out.iter().any(|prefix_cache| prefix_cache.version == version) {
            out.push(prefix_cache(context, Weights { model, version }, isolation));
        }
    }
    out
}

fn prefix_cache(context: &SelectionContext, weights: Weights, isolation: &str) -> PrefixCache {
    let salt = invalidation::salt::salt_text(weights.model, weights.version, isolation);
    let pairs = context.request.prompt.pairs();
    let chain = context.index.chain(&salt, pairs.iter().copied());
    let shared = chain.len().min(pairs.len().saturating_sub(1));
    if shared > 0 {
        context.index.learn(&salt, &Chain(chain.0[..shared].into()));
    }
    let mut depths = vec![0u16; context.endpoint_set.endpoints.len()];
    let mut sources = Sources::default();
    for (number, cell) in context.index.cells().iter().enumerate() {
        let found = cell.query(&chain, &HolderBitmap::ALL);
        for (depth, holders) in &found.groups {
            let endpoints =
                holders.iter().filter_map(|holder| context.endpoint_set.endpoint(number, holder));
            endpoints.for_each(|endpoint| depths[endpoint] = *depth as u16);
        }
        sources.add(context, weights, number, &found, &chain);
    }
    PrefixCache { version: weights.version, salt, sources, chain, depths }
}

#[cfg(test)]
#[path = "prefix_cache_tests.rs"]
mod tests;
