//! Pseudo-random numbers of one process.

use crate::node::stable_hash;
use std::sync::atomic::{AtomicU64, Ordering};

/// Increment of the generator's state (the golden ratio as a fraction of 2^64).
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// A pseudo-random number generator shared by all tasks of a process. The same seed produces the same sequence, so
/// that a simulation run can be repeated. Not suitable for secrets.
#[derive(Debug)]
pub struct RandomSource {
    state: AtomicU64,
}

impl RandomSource {
    /// Creates a generator with this seed.
    pub fn seeded(seed: u64) -> RandomSource {
        RandomSource { state: AtomicU64::new(seed) }
    }

    /// The next number of the sequence.
    pub fn next(&self) -> u64 {
        let state = self.state.fetch_add(INCREMENT, Ordering::Relaxed);
        stable_hash(&[&state.to_le_bytes()])
    }

    /// A number below `bound`; 0 if `bound` is 0.
    pub fn below(&self, bound: u64) -> u64 {
        self.next() % bound.max(1)
    }
}
