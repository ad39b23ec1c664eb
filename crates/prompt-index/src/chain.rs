//! Cumulative hashes: each block's names its own content and all that goes before it.

use fleet_core::constants;
use smallvec::SmallVec;

/// One block of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// Names the whole prefix up to this block.
    pub hash: u64,
    /// Names the block alone.
    pub raw: u64,
    /// Tokens of the block.
    pub tokens: u64,
    /// Tokens of the prefix up to here.
    pub upto: u64,
}

/// The blocks of a prompt, from its start; at most `CHAIN_BLOCKS`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain(pub SmallVec<[Block; 8]>);

/// Spreads the bits of a number.
fn mix(number: u64) -> u64 {
    let mixed = (number ^ (number >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x81da_def4_bc2d_d44d);
    mixed ^ (mixed >> 33)
}

/// Where the chains of a salt start. Weights and isolation stand in the salt, so chains of two never
/// meet.
pub fn seed(salt: &str) -> u64 {
    fleet_core::node::stable_hash(&[salt.as_bytes()])
}

/// The name of a part under a seed, without what goes before it.
pub fn raw(seed: u64, part: u64) -> u64 {
    mix(seed ^ mix(part ^ 0x5851_f42d_4c95_7f2d))
}

impl Chain {
    /// The chain of a prompt whose parts are given with their tokens.
    pub fn new(seed: u64, parts: impl IntoIterator<Item = (u64, u64)>) -> Chain {
        let (mut hash, mut upto) = (seed, 0);
        let blocks = parts.into_iter().take(constants::CHAIN_BLOCKS).map(|(part, tokens)| {
            let raw = raw(seed, part);
            hash = mix(hash.rotate_left(17) ^ raw ^ mix(tokens));
            upto += tokens;
            Block { hash, raw, tokens, upto }
        });
        Chain(blocks.collect())
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Tokens of the first `depth` blocks.
    pub fn tokens(&self, depth: usize) -> u64 {
        depth.checked_sub(1).and_then(|last| self.0.get(last)).map_or(0, |block| block.upto)
    }
}
