//! Until when a dispatch may wait for its response.
//!
//! An engine is chosen by what this router knows at that time, and may begin the request much later: requests wait in
//! its queue. Whatever becomes known meanwhile counts as well, so the cutoff is computed again with each change of the
//! fleet view that it depends on, and not once when the request is sent.

use super::stage::ClientRequest;
use crate::Router;
use crate::load_balancer::Choice;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::time::Instant;

/// Why a dispatch that has no response is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutoffReason {
    /// The engine's weights are outdated, and their version bound is close.
    OutdatedWeights,
}

impl CutoffReason {
    /// Counts a cancelled dispatch.
    pub fn record(self, router: &Router) {
        self.counter(router).fetch_add(1, Ordering::Relaxed);
    }

    fn counter(self, router: &Router) -> &AtomicU64 {
        match self {
            CutoffReason::OutdatedWeights => &router.counters.version_cutoffs,
        }
    }
}

/// A time from which a dispatch must not wait any longer.
#[derive(Debug, Clone, Copy)]
pub struct Cutoff {
    /// The time; it may have passed.
    pub at: Instant,
    /// Why.
    pub reason: CutoffReason,
}

/// The cutoff of one dispatch, as the fleet view changes.
pub struct DispatchCutoff<'a> {
    router: &'a Router,
    request: &'a ClientRequest,
    choice: &'a Choice,
}

impl<'a> DispatchCutoff<'a> {
    /// For a request that is sent to the engine of `choice`.
    pub fn new(router: &'a Router, request: &'a ClientRequest, choice: &'a Choice) -> Self {
        DispatchCutoff { router, request, choice }
    }

    /// The cutoff by what is known now; none if the dispatch may wait until its deadline.
    pub fn current(&self) -> Option<Cutoff> {
        self.version_cutoff()
    }

    /// Outdated weights: shortly before the version bound; none for the newest weights.
    fn version_cutoff(&self) -> Option<Cutoff> {
        let model = self.request.prompt.model.as_deref()?;
        let version_bound = self.router.settings().bounds.version;
        let bound = self.router.fleet_view.version_bound(model, version_bound);
        let at = bound.cutoff_of(self.choice.version?)?;
        Some(Cutoff { at, reason: CutoffReason::OutdatedWeights })
    }

    /// Waits until the cutoff passes, wherever changes of the fleet view move it meanwhile.
    ///
    /// # Cancel safety
    ///
    /// Dropping the future has no effect.
    pub async fn passed(self) -> CutoffReason {
        let mut view_changes = self.router.fleet_view.watch_dispatch_constraints();
        loop {
            let cutoff = self.current();
            if let Some(Cutoff { reason, .. }) = cutoff.filter(|cutoff| cutoff.at <= Instant::now())
            {
                return reason;
            }
            tokio::select! {
                // The view owns the sender and outlives the request, so the channel is never closed.
                _ = view_changes.changed() => {}
                () = sleep_until(cutoff) => {}
            }
        }
    }
}

async fn sleep_until(cutoff: Option<Cutoff>) {
    match cutoff {
        Some(Cutoff { at, .. }) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
