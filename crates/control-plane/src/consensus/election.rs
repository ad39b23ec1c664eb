//! When a key may be taken from its owner: not while voters see the owner make progress.
//!
//! Safety never depends on this, ballots alone decide. It only keeps nodes from unseating an owner whose
//! round is under way, which would make both rounds fail. Pure: time is passed in.

use std::time::Duration;
use tokio::time::Instant;

/// When each key last moved, as one voter saw it.
#[derive(Debug, Default)]
pub struct Elections {
    progress: hashbrown::HashMap<String, Instant>,
}

impl Elections {
    /// The voter has promised or accepted something for the key.
    pub fn record_progress(&mut self, key: &str, now: Instant) {
        self.progress.insert(key.to_owned(), now);
    }

    /// Whether the key has not moved for `quiet`, so that another owner may be elected.
    pub fn is_quiet(&self, key: &str, now: Instant, quiet: Duration) -> bool {
        self.progress.get(key).is_none_or(|at| now.duration_since(*at) >= quiet)
    }
}

#[cfg(test)]
#[path = "election_tests.rs"]
mod tests;
