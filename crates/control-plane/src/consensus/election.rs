//! Election timeouts: a key may be taken over only once voters have seen no progress of its owner for a while.
//!
//! Safety rests on ballots alone. The timeout only keeps nodes from preempting an owner in the middle of a round,
//! which can make both rounds fail. Pure state: the time is passed in.

use std::time::Duration;
use tokio::time::Instant;

/// When the owner of each key last made progress, as seen by one voter.
#[derive(Debug, Default)]
pub struct ProgressTracker {
    last_progress: hashbrown::HashMap<String, Instant>,
}

impl ProgressTracker {
    /// Records that the owner of the key, or a candidate, made progress: the voter promised or accepted a ballot.
    pub fn record_progress(&mut self, key: &str, now: Instant) {
        self.last_progress.insert(key.to_owned(), now);
    }

    /// Whether there was no progress on the key for `election_timeout`, so that another owner may be elected. True
    /// for a key without any recorded progress.
    pub fn has_timed_out(&self, key: &str, now: Instant, election_timeout: Duration) -> bool {
        self.last_progress
            .get(key)
            .is_none_or(|last_progress| now.duration_since(*last_progress) >= election_timeout)
    }
}

#[cfg(test)]
#[path = "election_tests.rs"]
mod tests;
