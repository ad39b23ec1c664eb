//! Estimates how long responses take, from those that completed.
//!
//! A router that shuts down exits at a known time. A request that would still be running then is better rejected
//! without being dispatched, since its client can send it to another router at once, than truncated
//! ([`Router::can_complete`](crate::Router::can_complete)).

use ahash::RandomState;
use hashbrown::HashMap;
use parking_lot::Mutex;
use std::time::Duration;

/// Weight of a new sample in the moving average, which covers a few seconds of traffic.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Moving average of the response time per output token, by service. No other lock is taken under its lock.
#[derive(Debug, Default)]
pub struct ResponseTimes {
    seconds_per_token: Mutex<HashMap<String, f64, RandomState>>,
}

impl ResponseTimes {
    /// Records the time from the request to the end of a complete response, for a request that declared `tokens`
    /// output tokens. Requests that declare none are ignored.
    pub fn record(&self, service: &str, tokens: u64, duration: Duration) {
        if tokens == 0 {
            return;
        }
        let time_per_token = duration.as_secs_f64() / tokens as f64;
        let mut means = self.seconds_per_token.lock();
        let mean = means.entry_ref(service).or_insert(time_per_token);
        *mean += (time_per_token - *mean) * SAMPLE_WEIGHT;
    }

    /// The expected time for a response of `tokens` output tokens; `None` before the service's first sample.
    pub fn estimate(&self, service: &str, tokens: u64) -> Option<Duration> {
        let time_per_token = self.seconds_per_token.lock().get(service).copied()?;
        Some(Duration::from_secs_f64(time_per_token * tokens as f64))
    }
}

#[cfg(test)]
#[path = "response_time_tests.rs"]
mod tests;
