//! Adaptive limit on how many engines load weights at the same time, driven by the measured load times.

use fleet_core::constants;
use std::time::Duration;
use tokio::time::Instant;

/// Additive increase, multiplicative decrease: each fast load raises the limit by one, and a slow load multiplies it
/// by [`constants::CONCURRENCY_DECREASE`].
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    /// Never below 1.
    limit: f64,
    fastest_load: Option<Duration>,
    last_decrease: Option<Instant>,
}

impl ConcurrencyLimit {
    /// The initial limit for a rollout over this many engines.
    pub fn new(engines: usize) -> ConcurrencyLimit {
        let limit = (engines as f64 * constants::ROLLOUT_INITIAL_SHARE).max(1.0);
        ConcurrencyLimit { limit, fastest_load: None, last_decrease: None }
    }

    /// Adjusts the limit to the time that one engine took to load its weights.
    pub fn record_load(&mut self, now: Instant, duration: Duration) {
        let fastest = self.fastest_load.map_or(duration, |fastest| fastest.min(duration));
        self.fastest_load = Some(fastest);
        if duration <= fastest.mul_f64(constants::SLOW_LOAD_FACTOR) {
            self.limit += 1.0;
        } else if self.may_decrease(now) {
            self.limit = (self.limit * constants::CONCURRENCY_DECREASE).max(1.0);
            self.last_decrease = Some(now);
        }
    }

    /// Loads that started under the previous limit must not lower it a second time.
    fn may_decrease(&self, now: Instant) -> bool {
        let interval = constants::CONCURRENCY_DECREASE_INTERVAL;
        self.last_decrease.is_none_or(|last| now.duration_since(last) >= interval)
    }

    /// Number of engines that may load at the same time.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }
}
