//! Blocks that are kept in part: asked for the winner and its sources only.

use crate::shard::Map;
use crate::sync::{Mutex, lock};
use fleet_core::constants;

/// Tokens of blocks that a holder keeps in part only; these set no bit. At most `TIER_ENTRIES` a
/// holder.
#[derive(Default)]
pub struct Tiers(Mutex<hashbrown::HashMap<u8, Map<u32>, ahash::RandomState>>);

impl Tiers {
    /// Remembers the tokens of a block at a holder; forgets the block where there are none.
    pub fn put(&self, holder: u8, raw: u64, tokens: u32) {
        let mut holders = lock(&self.0);
        if tokens == 0 {
            if let Some(blocks) = holders.get_mut(&holder) {
                blocks.remove(&raw);
            }
            return;
        }
        let blocks = holders.entry(holder).or_default();
        if blocks.len() >= constants::TIER_ENTRIES {
            blocks.clear();
        }
        blocks.insert(raw, tokens);
    }

    /// Tokens of a block at a holder; 0 if nothing is known.
    pub fn tokens(&self, holder: u8, raw: u64) -> u32 {
        lock(&self.0).get(&holder).and_then(|blocks| blocks.get(&raw)).copied().unwrap_or(0)
    }

    /// Forgets a holder.
    pub fn forget(&self, holder: u8) {
        lock(&self.0).remove(&holder);
    }

    /// Blocks remembered, of all holders.
    pub fn len(&self) -> usize {
        lock(&self.0).values().map(|blocks| blocks.len()).sum()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
