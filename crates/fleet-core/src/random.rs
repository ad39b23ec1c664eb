//! The pseudo-random numbers of one process.

use crate::node::stable_hash;
use std::sync::atomic::{AtomicU64, Ordering};

/// Step between two states of the generator (the golden ratio as a fraction of 2^64).
const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A source of pseudo-random numbers that all tasks of a process share. The same seed gives the same numbers,
/// so that a simulated run can be repeated. Not for secrets.
#[derive(Debug)]
pub struct RandomSource {
    state: AtomicU64,
}

impl RandomSource {
    /// A source whose numbers follow from this seed.
    pub fn seeded(seed: u64) -> RandomSource {
        RandomSource { state: AtomicU64::new(seed) }
    }

    /// The next number.
    pub fn next(&self) -> u64 {
        let state = self.state.fetch_add(STEP, Ordering::Relaxed);
        stable_hash(&[&state.to_le_bytes()])
    }

    /// A number below a bound; 0 for a bound of 0.
    pub fn below(&self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}
