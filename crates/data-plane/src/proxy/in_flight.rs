//! Requests that this router has accepted and not yet answered completely.
//!
//! A router that is asked to end waits for them. Those that came after it was asked are counted apart: it took them
//! although it knew when it would end.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Counts of the requests in flight.
#[derive(Debug, Default)]
pub struct InFlight {
    /// All of them.
    all: AtomicUsize,
    /// Those accepted while shutting down; at most `all`.
    accepted_late: AtomicUsize,
}

impl InFlight {
    /// Counts one more request, until the guard is dropped.
    pub fn enter(self: &Arc<Self>, is_shutting_down: bool) -> InFlightGuard {
        self.all.fetch_add(1, Ordering::Relaxed);
        if is_shutting_down {
            self.accepted_late.fetch_add(1, Ordering::Relaxed);
        }
        InFlightGuard { counts: self.clone(), accepted_late: is_shutting_down }
    }

    /// Requests in flight.
    pub fn all(&self) -> usize {
        self.all.load(Ordering::Relaxed)
    }

    /// Requests in flight that were accepted while shutting down.
    pub fn accepted_late(&self) -> usize {
        self.accepted_late.load(Ordering::Relaxed)
    }
}

/// One request in flight, for as long as this lives.
#[derive(Debug)]
pub struct InFlightGuard {
    counts: Arc<InFlight>,
    accepted_late: bool,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counts.all.fetch_sub(1, Ordering::Relaxed);
        if self.accepted_late {
            self.counts.accepted_late.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
#[path = "in_flight_tests.rs"]
mod tests;
