//! What engines and stores keep of a prompt, under each version of the weights in use.

use super::ask::Scene;
use super::candidates::Candidate;
use super::sources::{Sources, Weights};
use crate::fleet_view::table::Tenant;
use prompt_index::{Chain, HolderBitmap};
use smallvec::SmallVec;

/// What the index tells of a prompt under one version of the weights.
pub struct Memory {
    /// the version
    pub version: u64,
    /// the text under which its parts are kept
    pub salt: String,
    /// who else keeps some of it
    pub sources: Sources,
    chain: Chain,
    /// blocks kept, by row
    depths: Vec<u16>,
}

impl Memory {
    /// Tokens of the prompt that the engine of a row was seen to keep.
    pub fn known(&self, row: usize) -> u64 {
        self.chain.tokens(usize::from(self.depths[row]))
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
pub fn memories(scene: &Scene, candidates: &[Candidate], isolation: &str) -> SmallVec<[Memory; 2]> {
    let mut out: SmallVec<[Memory; 2]> = SmallVec::new();
    let Some(model) = &scene.ask.prompt.model else { return out };
    for version in candidates.iter().filter_map(|candidate| candidate.version) {
        if !out.iter().any(|memory| memory.version == version) {
            out.push(memory(scene, Weights { model, version }, isolation));
        }
    }
    out
}

fn memory(scene: &Scene, weights: Weights, isolation: &str) -> Memory {
    let salt = invalidation::salt::salt_text(weights.model, weights.version, isolation);
    let pairs = scene.ask.prompt.pairs();
    let chain = scene.index.chain(&salt, pairs.iter().copied());
    let shared = chain.len().min(pairs.len().saturating_sub(1));
    if shared > 0 {
        scene.index.learn(&salt, &Chain(chain.0[..shared].into()));
    }
    let mut depths = vec![0u16; scene.roll.rows.len()];
    let mut sources = Sources::default();
    for (number, cell) in scene.index.cells().iter().enumerate() {
        let found = cell.query(&chain, &HolderBitmap::ALL);
        for (depth, holders) in &found.groups {
            let rows = holders.iter().filter_map(|holder| scene.roll.row(number, holder));
            rows.for_each(|row| depths[row] = *depth as u16);
        }
        sources.take(scene, weights, number, &found, &chain);
    }
    Memory { version: weights.version, salt, sources, chain, depths }
}

#[cfg(test)]
#[path = "memory_tests.rs"]
mod tests;
