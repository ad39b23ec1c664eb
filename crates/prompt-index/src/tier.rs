//! Where on its holder a block lies: asked for the winner and its sources only.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::shard::Map;
use crate::sync::{Mutex, held};
use fleet_core::constants;

/// Tokens of blocks that a holder keeps in part only; these set no bit.
#[derive(Default)]
pub struct Tiers(Mutex<hashbrown::HashMap<u8, Map<u32>, ahash::RandomState>>);

impl Tiers {
    pub fn put(&self, holder: u8, raw: u64, tokens: u32) {
        let mut t = held(&self.0);
        if tokens == 0 {
            if let Some(m) = t.get_mut(&holder) {
                m.remove(&raw);
            }
            return;
        }
        let m = t.entry(holder).or_default();
        if m.len() >= constants::TIER_ENTRIES {
            m.clear();
        }
        m.insert(raw, tokens);
    }

    pub fn tokens(&self, holder: u8, raw: u64) -> u32 {
        held(&self.0).get(&holder).and_then(|m| m.get(&raw)).copied().unwrap_or(0)
    }

    pub fn forget(&self, holder: u8) {
        held(&self.0).remove(&holder);
    }

    pub fn len(&self) -> usize {
        held(&self.0).values().map(|m| m.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
