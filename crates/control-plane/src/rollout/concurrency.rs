//! How many engines may load weights at once, learnt from how long loads take.

use fleet_core::constants;
use std::time::Duration;
use tokio::time::Instant;

/// Additive increase, multiplicative decrease: one more engine for each quick load, fewer by
/// [`constants::CONCURRENCY_DECREASE`] when loads turn slow.
#[derive(Debug, Clone)]
pub struct Concurrency {
    /// at least 1
    limit: f64,
    fastest_load: Option<Duration>,
    last_decrease: Option<Instant>,
}

impl Concurrency {
    /// The limit that a roll-out over this many engines begins with.
    pub fn new(engines: usize) -> Concurrency {
        let limit = (engines as f64 * constants::ROLLOUT_INITIAL_SHARE).max(1.0);
        Concurrency { limit, fastest_load: None, last_decrease: None }
    }

    /// Takes in how long one engine took to load its weights.
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

    /// Loads that were begun under the old limit must not lower it once more.
    fn may_decrease(&self, now: Instant) -> bool {
        let interval = constants::CONCURRENCY_DECREASE_INTERVAL;
        self.last_decrease.is_none_or(|last| now.duration_since(last) >= interval)
    }

    /// Engines that may load at once now.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }
}
