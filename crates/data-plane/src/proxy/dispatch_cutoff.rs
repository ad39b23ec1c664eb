//! Until when a dispatch may wait for its response.
//!
//! An engine is chosen by what this router knows at that time, and may begin the request much later: requests wait in
//! its queue. Whatever becomes known meanwhile counts as well: [`DispatchCutoff::is_superseded`] is asked once there is a
//! connection, and [`DispatchCutoff::passed`] computes the cutoff again with each change of the fleet view that it
//! depends on until there is a response.

use super::stage::ClientRequest;
use crate::Router;
use crate::load_balancer::Choice;
use crate::load_balancer::cache_isolation::CacheIsolation;
use fleet_core::constants;
use fleet_core::wire::EngineState;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// Why a dispatch that has no response is cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutoffReason {
    /// The engine's weights are outdated, and their version bound is close.
    OutdatedWeights,
    /// A tenant was isolated: the request may use other cached prompt parts than those under the salt that it was sent
    /// with.
    IsolationChanged,
}

impl CutoffReason {
    /// Counts a cancelled dispatch.
    pub fn record(self, router: &Router) {
        let counter = match self {
            CutoffReason::OutdatedWeights => &router.counters.version_cutoffs,
            CutoffReason::IsolationChanged => &router.counters.isolation_cutoffs,
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// A time from which a dispatch must not wait any longer.
#[derive(Debug, Clone, Copy)]
struct Cutoff {
    /// The time; it may have passed.
    at: Instant,
    /// Why.
    reason: CutoffReason,
}

/// The cutoff of one dispatch, as the fleet view changes.
pub struct DispatchCutoff<'a> {
    router: &'a Router,
    request: &'a ClientRequest,
    choice: &'a Choice,
    /// When this dispatch first saw a configuration under which its salt is another one.
    isolation_changed_at: Option<Instant>,
}

impl<'a> DispatchCutoff<'a> {
    /// For a request that is sent to the engine of `choice`.
    pub fn new(router: &'a Router, request: &'a ClientRequest, choice: &'a Choice) -> Self {
        DispatchCutoff { router, request, choice, isolation_changed_at: None }
    }

    /// The cutoff by what is known now; none if the dispatch may wait until its deadline.
    fn current(&mut self) -> Option<Cutoff> {
        let cutoffs = [self.version_cutoff(), self.isolation_cutoff()];
        cutoffs.into_iter().flatten().min_by_key(|cutoff| cutoff.at)
    }

    /// Whether the engine uses outdated weights for this request, which bounds the dispatch.
    pub fn has_outdated_weights(&self) -> bool {
        self.version_cutoff().is_some()
    }

    /// Outdated weights: shortly before the version bound; none for the newest weights.
    fn version_cutoff(&self) -> Option<Cutoff> {
        let model = self.request.prompt.model.as_deref()?;
        let version_bound = self.router.settings().bounds.version;
        let bound = self.router.fleet_view.version_bound(model, version_bound);
        let at = bound.cutoff_of(self.choice.version?)?;
        Some(Cutoff { at, reason: CutoffReason::OutdatedWeights })
    }

    /// An isolation that has changed: [`constants::ISOLATION_GRACE_RATIO`] of `applyMs` after this router has it in
    /// force, so that what the engine is about to begin still gets its response.
    fn isolation_cutoff(&mut self) -> Option<Cutoff> {
        if self.has_current_isolation() {
            return None;
        }
        let changed_at = *self.isolation_changed_at.get_or_insert_with(Instant::now);
        let grace = self.router.settings().bounds.apply.mul_f64(constants::ISOLATION_GRACE_RATIO);
        Some(Cutoff { at: changed_at + grace, reason: CutoffReason::IsolationChanged })
    }

    /// Whether the salt is still that of the configuration in force; without prompt parts, nothing is shared under it.
    fn has_current_isolation(&self) -> bool {
        let shares_nothing = self.request.prompt.parts.is_empty() || self.choice.salt.is_none();
        let in_force = self.router.fleet_view.routing_table_since(&self.request.routing_table);
        shares_nothing
            || self.choice.isolation
                == CacheIsolation::new(self.request.tenant.as_deref(), &in_force)
    }

    /// Whether the engine would not be chosen like this any more: it drains or has gone, its version bound is close, or
    /// the isolation has changed. To be asked right before the request is sent, since obtaining a connection takes time.
    pub fn is_superseded(&self) -> bool {
        let is_ready = self.choice.engine.state().state() == EngineState::Ready;
        let is_past_bound = self.version_cutoff().is_some_and(|cutoff| cutoff.at <= Instant::now());
        !is_ready || is_past_bound || !self.has_current_isolation()
    }

    /// Waits until the cutoff passes, wherever changes of the fleet view move it meanwhile.
    ///
    /// # Cancel safety
    ///
    /// Dropping the future has no effect.
    pub async fn passed(mut self) -> CutoffReason {
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

#[cfg(test)]
#[path = "dispatch_cutoff_tests.rs"]
mod tests;
