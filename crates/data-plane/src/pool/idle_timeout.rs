//! Estimates how long the engines of a service keep an idle connection, by the fate of such connections.
//!
//! An engine may close an idle connection early and without notice: the next request on it is reset, and may have
//! run. A request that may run only once therefore takes a connection that was idle for less than the estimate, or a
//! new one. Repeatable requests also take connections that were idle for longer, and so show how long these last.

use fleet_core::constants;
use hashbrown::HashMap;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The estimate for one service.
pub struct IdleTimeout {
    estimate: Mutex<Estimate>,
}

struct Estimate {
    safe: Duration,
    lowered_at: Option<Instant>,
}

impl Default for IdleTimeout {
    fn default() -> Self {
        let estimate = Estimate { safe: constants::IDLE_TIMEOUT_DEFAULT, lowered_at: None };
        IdleTimeout { estimate: Mutex::new(estimate) }
    }
}

impl IdleTimeout {
    /// How long a connection may have been idle to be used for a request that may run only once.
    pub fn safe_idle_time(&self, now: Instant) -> Duration {
        self.estimate.lock().safe_idle_time(now)
    }

    /// Records that a connection gave a response after `idle_time`.
    pub fn record_reuse(&self, idle_time: Duration, now: Instant) {
        let mut estimate = self.estimate.lock();
        let safe = estimate.safe_idle_time(now);
        if idle_time > safe {
            estimate.safe = safe + (idle_time - safe).mul_f64(constants::IDLE_TIMEOUT_GAIN);
            estimate.lowered_at = None;
        }
    }

    /// Records that an engine which is still running closed a connection after `idle_time`.
    pub fn record_idle_close(&self, idle_time: Duration, now: Instant) {
        if idle_time < constants::IDLE_TIMEOUT_MIN {
            return;
        }
        let mut estimate = self.estimate.lock();
        let lowered =
            idle_time.mul_f64(constants::IDLE_TIMEOUT_MARGIN).max(constants::IDLE_TIMEOUT_MIN);
        if lowered < estimate.safe_idle_time(now) {
            estimate.safe = lowered;
            estimate.lowered_at = Some(now);
        }
    }
}

impl Estimate {
    /// A lowered estimate doubles as time passes, up to the default: engines may have changed since.
    fn safe_idle_time(&self, now: Instant) -> Duration {
        let Some(lowered_at) = self.lowered_at else { return self.safe };
        let periods = now
            .duration_since(lowered_at)
            .div_duration_f64(constants::IDLE_TIMEOUT_DOUBLING_PERIOD);
        let doublings = periods.floor().min(constants::IDLE_TIMEOUT_MAX_DOUBLINGS);
        let recovered = self.safe.mul_f64(doublings.exp2()).min(constants::IDLE_TIMEOUT_DEFAULT);
        self.safe.max(recovered)
    }
}

/// The estimates of all services, by name.
#[derive(Default)]
pub struct IdleTimeouts {
    services: Mutex<HashMap<String, Arc<IdleTimeout>, ahash::RandomState>>,
}

impl IdleTimeouts {
    /// The estimate for a service.
    pub fn for_service(&self, service: &str) -> Arc<IdleTimeout> {
        self.services.lock().entry_ref(service).or_default().clone()
    }
}

#[cfg(test)]
#[path = "idle_timeout_tests.rs"]
mod tests;
