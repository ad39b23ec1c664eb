//! Prompts as chains of cumulative hashes: the hash of each block covers the block and everything before it.

use fleet_core::constants;
use smallvec::SmallVec;

/// One block of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Block {
    /// Hash of the prefix up to and including this block.
    pub hash: u64,
    /// Hash of the block without its prefix.
    pub block_hash: u64,
    /// Number of tokens in the block.
    pub tokens: u64,
    /// Number of tokens in the prefix up to and including this block.
    pub prefix_tokens: u64,
}

/// The first blocks of a prompt, at most `MAX_LOOKUP_BLOCKS`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Chain(pub SmallVec<[Block; 8]>);

/// Mixes the bits of a number, so that similar inputs give unrelated hashes.
fn mix(number: u64) -> u64 {
    let mixed = (number ^ (number >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x81da_def4_bc2d_d44d);
    mixed ^ (mixed >> 33)
}

/// The initial hash of all chains under a salt. The salt includes the weights version and the isolation, so
/// chains of different versions or isolations have no blocks in common.
pub fn seed(salt: &str) -> u64 {
    fleet_core::node::stable_hash(&[salt.as_bytes()])
}

/// Hash of a part under a seed, independent of the parts before it.
pub fn block_hash(seed: u64, part: u64) -> u64 {
    mix(seed ^ mix(part ^ 0x5851_f42d_4c95_7f2d))
}

impl Chain {
    /// Builds the chain of a prompt from its parts, given as pairs of part id and token count. Parts after the first
    /// `MAX_LOOKUP_BLOCKS` are ignored.
    pub fn new(seed: u64, parts: impl IntoIterator<Item = (u64, u64)>) -> Chain {
        let (mut hash, mut prefix_tokens) = (seed, 0);
        let blocks = parts.into_iter().take(constants::MAX_LOOKUP_BLOCKS).map(|(part, tokens)| {
            let block_hash = block_hash(seed, part);
            hash = mix(hash.rotate_left(17) ^ block_hash ^ mix(tokens));
            prefix_tokens += tokens;
            Block { hash, block_hash, tokens, prefix_tokens }
        });
        Chain(blocks.collect())
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the chain has no blocks.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Number of tokens in the first `depth` blocks; 0 if `depth` is 0 or exceeds the length of the chain.
    pub fn tokens(&self, depth: usize) -> u64 {
        depth
            .checked_sub(1)
            .and_then(|last| self.0.get(last))
            .map_or(0, |block| block.prefix_tokens)
    }
}
