//! The set of a cell's live holders. It is separate from the shards, so that a removed holder is excluded at once.

use crate::bitmap::{HolderBitmap, WORDS};
use crate::sync::{AtomicU64, Ordering};

/// The live holders of one cell; each bit is changed atomically, without a lock.
pub struct LiveHolders([AtomicU64; WORDS]);

impl Default for LiveHolders {
    fn default() -> Self {
        LiveHolders(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl LiveHolders {
    /// All live holders. The words are loaded one by one, so this is no atomic snapshot of all of them.
    pub fn load(&self) -> HolderBitmap {
        HolderBitmap(std::array::from_fn(|i| self.0[i].load(Ordering::Acquire)))
    }

    /// Marks a holder as live; returns true if this call changed it.
    pub fn set(&self, holder: u8) -> bool {
        self.update(holder, true)
    }

    /// Marks a holder as removed; returns true if this call changed it, so only one of several callers gets true.
    pub fn clear(&self, holder: u8) -> bool {
        self.update(holder, false)
    }

    fn update(&self, holder: u8, live: bool) -> bool {
        let (word, bit) = (&self.0[usize::from(holder) / 64], 1u64 << (holder % 64));
        let mut current = word.load(Ordering::Acquire);
        loop {
            if (current & bit != 0) == live {
                return false;
            }
            match word.compare_exchange(current, current ^ bit, Ordering::AcqRel, Ordering::Acquire)
            {
                Ok(_) => return true,
                Err(actual) => current = actual,
            }
        }
    }
}
