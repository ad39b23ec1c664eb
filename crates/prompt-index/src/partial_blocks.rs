//! Partially cached blocks. They are looked up only for the selected holder and the sources it can copy from.

use crate::shard::Map;
use crate::sync::{Mutex, lock};
use fleet_core::constants;

/// Token counts of partially cached blocks, by holder. Such blocks set no bit in the bitmaps. At most
/// `PARTIAL_BLOCKS_CAPACITY` blocks per holder are recorded; when that is reached, the holder's entries are cleared.
#[derive(Default)]
pub struct PartialBlocks(Mutex<hashbrown::HashMap<u8, Map<u32>, ahash::RandomState>>);

impl PartialBlocks {
    /// Records how many tokens of a block a holder has cached; 0 removes the block.
    pub fn set(&self, holder: u8, block_hash: u64, tokens: u32) {
        let mut holders = lock(&self.0);
        if tokens == 0 {
            if let Some(blocks) = holders.get_mut(&holder) {
                blocks.remove(&block_hash);
            }
            return;
        }
        let blocks = holders.entry(holder).or_default();
        if blocks.len() >= constants::PARTIAL_BLOCKS_CAPACITY {
            blocks.clear();
        }
        blocks.insert(block_hash, tokens);
    }

    /// Number of cached tokens of a block at a holder; 0 if the block is not recorded.
    pub fn tokens(&self, holder: u8, block_hash: u64) -> u32 {
        lock(&self.0).get(&holder).and_then(|blocks| blocks.get(&block_hash)).copied().unwrap_or(0)
    }

    /// Removes all blocks of a holder.
    pub fn remove_holder(&self, holder: u8) {
        lock(&self.0).remove(&holder);
    }

    /// Number of blocks recorded, over all holders.
    pub fn len(&self) -> usize {
        lock(&self.0).values().map(|blocks| blocks.len()).sum()
    }

    /// Whether no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
