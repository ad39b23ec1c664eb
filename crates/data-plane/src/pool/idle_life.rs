//! How long engines of a service keep an idle connection, learnt from what became of such ones.
//!
//! An engine may forget an idle connection early and silently: whatever goes out next is reset, and
//! may have run. A request that may run only once therefore takes a connection that rested for less
//! than the service was seen to forget, or a new one. Requests that may be repeated take longer
//! rested ones too, and so find out how long these live.

use fleet_core::constants;
use hashbrown::HashMap;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// What is known of one service.
pub struct IdleLife {
    known: Mutex<Known>,
}

struct Known {
    safe: Duration,
    lowered: Option<Instant>,
}

impl Default for IdleLife {
    fn default() -> Self {
        let known = Known { safe: constants::IDLE_LIFE_UNPROVEN, lowered: None };
        IdleLife { known: Mutex::new(known) }
    }
}

impl IdleLife {
    /// How long a connection may have rested for a request that may run only once.
    pub fn safe_rest(&self, now: Instant) -> Duration {
        self.known.lock().safe_rest(now)
    }

    /// A connection served after this rest.
    pub fn served_after(&self, rest: Duration, now: Instant) {
        let mut known = self.known.lock();
        let safe = known.safe_rest(now);
        if rest > safe {
            known.safe = safe + (rest - safe).mul_f64(constants::IDLE_LIFE_GAIN);
            known.lowered = None;
        }
    }

    /// An engine that lives on dropped a connection after this rest.
    pub fn forgotten_after(&self, rest: Duration, now: Instant) {
        if rest < constants::IDLE_LIFE_LEAST {
            return;
        }
        let mut known = self.known.lock();
        let shorter = rest.mul_f64(constants::IDLE_LIFE_SHARE).max(constants::IDLE_LIFE_LEAST);
        if shorter < known.safe_rest(now) {
            known.safe = shorter;
            known.lowered = Some(now);
        }
    }
}

impl Known {
    /// What was learnt to be short is tried longer again as time passes.
    fn safe_rest(&self, now: Instant) -> Duration {
        let Some(lowered) = self.lowered else { return self.safe };
        let spans = now.duration_since(lowered).div_duration_f64(constants::IDLE_LIFE_DOUBLES);
        let doublings = spans.floor().min(constants::IDLE_LIFE_DOUBLINGS);
        let recovered = self.safe.mul_f64(doublings.exp2()).min(constants::IDLE_LIFE_UNPROVEN);
        self.safe.max(recovered)
    }
}

/// What is known of each service, by its name.
#[derive(Default)]
pub struct IdleLives {
    services: Mutex<HashMap<String, Arc<IdleLife>, ahash::RandomState>>,
}

impl IdleLives {
    /// The service's own.
    pub fn of(&self, service: &str) -> Arc<IdleLife> {
        self.services.lock().entry_ref(service).or_default().clone()
    }
}

#[cfg(test)]
#[path = "idle_life_tests.rs"]
mod tests;
