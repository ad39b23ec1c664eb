//! Who of a cell's holders is there: apart from the shards, so that one of them goes at once.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::bitmap::{HolderBitmap, WORDS};
use crate::sync::{AtomicU64, Ordering};

pub struct Alive([AtomicU64; WORDS]);

impl Default for Alive {
    fn default() -> Self {
        Alive(std::array::from_fn(|_| AtomicU64::new(0)))
    }
}

impl Alive {
    pub fn load(&self) -> HolderBitmap {
        HolderBitmap(std::array::from_fn(|i| self.0[i].load(Ordering::Acquire)))
    }

    pub fn raise(&self, n: u8) -> bool {
        self.swap(n, true)
    }

    /// By compare-and-swap; true for the one caller who cleared it.
    pub fn clear(&self, n: u8) -> bool {
        self.swap(n, false)
    }

    fn swap(&self, n: u8, to: bool) -> bool {
        let (word, bit) = (&self.0[usize::from(n) / 64], 1u64 << (n % 64));
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
