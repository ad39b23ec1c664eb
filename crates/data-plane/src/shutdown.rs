//! The phases of a router's shutdown.
//!
//! The phase only moves forward. A request that has been read completely only after [`Phase::Draining`] is rejected
//! without being dispatched. A request that has no response when [`Phase::Terminating`] begins is answered by the
//! router itself, with the strongest statement that is known to be true of it, so that no client sees its connection
//! closed instead of a response.

use std::sync::OnceLock;
use tokio::sync::watch;
use tokio::time::Instant;

/// The shutdown phase of a router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Shutdown has not been requested.
    #[default]
    Serving,
    /// The router reports unready, and still accepts requests that it expects to complete.
    Draining,
    /// The router accepts no connections, and closes each open one after the response that is due on it.
    Closing,
    /// The router itself answers every request that has no response yet.
    Terminating,
}

/// The shutdown phase of one router, and the time at which its process exits.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: watch::Sender<Phase>,
    /// Set before the phase is `Draining`.
    ends_at: OnceLock<Instant>,
}

impl Shutdown {
    /// Starts draining; the process exits at `ends_at` at the latest. If called again, the first time stays in force.
    pub fn begin(&self, ends_at: Instant) {
        let _ = self.ends_at.set(ends_at);
        self.advance(Phase::Draining);
    }

    /// Moves to a later phase; has no effect if `to` is not later than the current one.
    pub fn advance(&self, to: Phase) {
        self.phase.send_if_modified(|phase| {
            let is_later = to > *phase;
            *phase = to.max(*phase);
            is_later
        });
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// When the process exits at the latest; `None` before shutdown has begun.
    pub fn ends_at(&self) -> Option<Instant> {
        self.ends_at.get().copied()
    }

    /// Waits until the router is in this phase or a later one.
    ///
    /// # Cancel safety
    ///
    /// Dropping the future has no effect.
    pub async fn reached(&self, phase: Phase) {
        // `self` owns the sender, so the wait can only end because the phase was reached.
        let _ = self.phase.subscribe().wait_for(|now| *now >= phase).await;
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
