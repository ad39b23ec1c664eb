//! The phases in which a router ends.
//!
//! The phase only moves forward. A request that is read later than [`Phase::Draining`] is rejected unsent; one that
//! has no answer when [`Phase::Answering`] begins is answered by the router itself, with as much as is known of it,
//! so that no client finds its connection closed in place of an answer.

use std::sync::OnceLock;
use tokio::sync::watch;
use tokio::time::Instant;

/// How far a router's end has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nobody has asked it to end.
    #[default]
    Serving,
    /// It calls itself unready, and takes what it can complete.
    Draining,
    /// It accepts no connection, and closes each one behind the answer that is due on it.
    Closing,
    /// What has no answer gets one now.
    Answering,
}

/// The phase of one router, and the moment at which it ends.
#[derive(Debug, Default)]
pub struct Shutdown {
    phase: watch::Sender<Phase>,
    /// Set before the phase is `Draining`.
    ends_at: OnceLock<Instant>,
}

impl Shutdown {
    /// Begins to drain; the process ends at this moment at the latest. Asked a second time, it ends when it was first
    /// told to.
    pub fn begin(&self, ends_at: Instant) {
        let _ = self.ends_at.set(ends_at);
        self.advance(Phase::Draining);
    }

    /// Moves on to a later phase; an earlier one changes nothing.
    pub fn advance(&self, to: Phase) {
        self.phase.send_if_modified(|phase| {
            let is_later = to > *phase;
            *phase = to.max(*phase);
            is_later
        });
    }

    /// The phase now.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// When the process ends; none while nobody has asked it to.
    pub fn ends_at(&self) -> Option<Instant> {
        self.ends_at.get().copied()
    }

    /// Waits until the router is in this phase or a later one.
    ///
    /// # Cancel safety
    ///
    /// It changes nothing.
    pub async fn reached(&self, phase: Phase) {
        // the sender lives as long as `self`, so that the wait ends by the phase alone
        let _ = self.phase.subscribe().wait_for(|now| *now >= phase).await;
    }
}

#[cfg(test)]
#[path = "shutdown_tests.rs"]
mod tests;
