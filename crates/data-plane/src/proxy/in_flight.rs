//! Counts the requests that this router has accepted and whose response is not complete.
//!
//! A router that shuts down waits for them. Requests accepted after shutdown began are also counted separately: the
//! router took them although it knew when it would exit.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Numbers of requests in flight.
#[derive(Debug, Default)]
pub struct InFlight {
    /// All requests in flight.
    total: AtomicUsize,
    /// Requests accepted after shutdown began; at most `total`.
    accepted_during_shutdown: AtomicUsize,
}

impl InFlight {
    /// Counts one more request until the guard is dropped.
    pub fn enter(self: &Arc<Self>, is_shutting_down: bool) -> InFlightGuard {
        self.total.fetch_add(1, Ordering::Relaxed);
        if is_shutting_down {
            self.accepted_during_shutdown.fetch_add(1, Ordering::Relaxed);
        }
        InFlightGuard { counts: self.clone(), accepted_during_shutdown: is_shutting_down }
    }

    /// Number of all requests in flight.
    pub fn total(&self) -> usize {
        self.total.load(Ordering::Relaxed)
    }

    /// Number of requests in flight that were accepted after shutdown began.
    pub fn accepted_during_shutdown(&self) -> usize {
        self.accepted_during_shutdown.load(Ordering::Relaxed)
    }
}

/// Counts one request in flight until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    counts: Arc<InFlight>,
    accepted_during_shutdown: bool,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.counts.total.fetch_sub(1, Ordering::Relaxed);
        if self.accepted_during_shutdown {
            self.counts.accepted_during_shutdown.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
#[path = "in_flight_tests.rs"]
mod tests;
