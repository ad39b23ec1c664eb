//! Cumulative hashes: each block's names its own content and all that goes before it.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use fleet_core::constants;
use smallvec::SmallVec;

/// One block of a prompt. `raw` names the block alone, `hash` the whole prefix up to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    pub hash: u64,
    pub raw: u64,
    pub tokens: u64,
    /// tokens of the prefix up to here
    pub upto: u64,
}

#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain(pub SmallVec<[Block; 8]>);

fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    let x = (x ^ (x >> 27)).wrapping_mul(0x81da_def4_bc2d_d44d);
    x ^ (x >> 33)
}

/// Weights and isolation stand in the salt, so they seed chains that never meet.
pub fn seed(salt: &str) -> u64 {
    fleet_core::node::stable_hash(&[salt.as_bytes()])
}

pub fn raw(seed: u64, part: u64) -> u64 {
    mix(seed ^ mix(part ^ 0x5851_f42d_4c95_7f2d))
}

impl Chain {
    pub fn new(seed: u64, parts: impl IntoIterator<Item = (u64, u64)>) -> Chain {
        let (mut prev, mut upto) = (seed, 0);
        let blocks = parts.into_iter().take(constants::CHAIN_BLOCKS).map(|(part, tokens)| {
            let raw = raw(seed, part);
            prev = mix(prev.rotate_left(17) ^ raw ^ mix(tokens));
            upto += tokens;
            Block { hash: prev, raw, tokens, upto }
        });
        Chain(blocks.collect())
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Tokens of the first blocks.
    pub fn tokens(&self, depth: usize) -> u64 {
        depth.checked_sub(1).and_then(|i| self.0.get(i)).map_or(0, |b| b.upto)
    }
}
