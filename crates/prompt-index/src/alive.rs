//! Which of a cell's holders are there. Apart from the shards, so that a holder goes at once.

use crate::bitmap::{HolderBitmap, WORDS};
use crate::sync::{AtomicU64, Ordering};

/// The live holders of one cell, changed bit by bit without a lock.
pub struct Alive([AtomicU64; WORDS]);

impl Default for Alive {
    fn default() -> Self {
        Alive(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Alive {
    /// All live holders; words are read one after the other.
    pub fn load(&self) -> HolderBitmap {
        HolderBitmap(std::array::from_fn(|i| self.0[i].load(Ordering::Acquire)))
    }

    /// Sets a holder alive; true for the one caller who did.
    pub fn raise(&self, holder: u8) -> bool {
        self.swap(holder, true)
    }

    /// Clears a holder by compare-and-swap; true for the one caller who did.
    pub fn clear(&self, holder: u8) -> bool {
        self.swap(holder, false)
    }

    fn swap(&self, holder: u8, to: bool) -> bool {
        let (word, bit) = (&self.0[usize::from(holder) / 64], 1u64 << (holder % 64));
        let mut now = word.load(Ordering::Acquire);
        loop {
            if (now & bit != 0) == to {
                return false;
            }
            match word.compare_exchange(now, now ^ bit, Ordering::AcqRel, Ordering::Acquire) {
                Ok(_) => return true,
                Err(seen) => now = seen,
            }
        }
    }
}
