//! How long responses take, learnt from those that were complete.
//!
//! A router that shuts down ends at a known moment. A request that would still be under way then is better rejected
//! unsent, since its client can take it to another router at once, than broken off midway
//! ([`Router::can_finish`](crate::Router::can_finish)).

use ahash::RandomState;
use hashbrown::HashMap;
use parking_lot::Mutex;
use std::time::Duration;

/// Weight of the newest response in the mean; a few seconds of traffic count.
const NEWEST_WEIGHT: f64 = 0.05;

/// Mean time for each token that is put out, by service. The lock is a leaf.
#[derive(Debug, Default)]
pub struct StreamPaces {
    seconds_per_token: Mutex<HashMap<String, f64, RandomState>>,
}

impl StreamPaces {
    /// Takes in how long a complete response took, from its request to its end, of a request that declared so many
    /// tokens to be put out.
    pub fn record(&self, service: &str, tokens: u64, took: Duration) {
        if tokens == 0 {
            return;
        }
        let pace = took.as_secs_f64() / tokens as f64;
        let mut paces = self.seconds_per_token.lock();
        let mean = paces.entry_ref(service).or_insert(pace);
        *mean += (pace - *mean) * NEWEST_WEIGHT;
    }

    /// How long a response with so many tokens is expected to take; none before the first one was seen.
    pub fn expected(&self, service: &str, tokens: u64) -> Option<Duration> {
        let pace = self.seconds_per_token.lock().get(service).copied()?;
        Some(Duration::from_secs_f64(pace * tokens as f64))
    }
}

#[cfg(test)]
#[path = "stream_pace_tests.rs"]
mod tests;
