//! Decides whether a request may begin under the weights that an engine has.
//!
//! No other code decides this. First dispatches, retries and resumed streams all use the load balancer's
//! [`candidates`](crate::load_balancer::candidates), which checks the bound here, and `proxy::dispatch_cutoff` enforces
//! it after a dispatch, also by versions that are announced only then.
//!
//! The rule applies to the time when an engine begins to run a request, which the engine decides. Between the dispatch
//! and that time lie the network latency and the wait in the engine's queue. A router can only estimate that wait from
//! what engines and other routers report. It therefore stops dispatching to an outdated engine
//! [`constants::VERSION_MARGIN`] plus the expected wait before the bound, and cancels a request that still has no
//! response [`constants::VERSION_CUTOFF_MARGIN`] before the bound.

use fleet_core::constants;
use fleet_core::target_versions::TargetVersions;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The bounds until which requests may begin under each version of one model's weights.
#[derive(Debug, Clone)]
pub struct VersionBound {
    targets: Arc<TargetVersions>,
    /// Bounds are counted from this time at the earliest, since the loss of a controller may delay the rollout; none if
    /// no controller was lost.
    controller_lost_at: Option<Instant>,
    bound: Duration,
}

impl VersionBound {
    /// `bound` is the time after the announcement of a version from which no request may begin under an older one.
    pub fn new(
        targets: Arc<TargetVersions>,
        controller_lost_at: Option<Instant>,
        bound: Duration,
    ) -> VersionBound {
        VersionBound { targets, controller_lost_at, bound }
    }

    /// The newest target version; none if none was announced.
    pub fn target_version(&self) -> Option<u64> {
        self.targets.newest().map(|target| target.version)
    }

    /// The time from which no request may begin under a version of the weights; none for the newest version.
    pub fn end_of(&self, version: u64) -> Option<Instant> {
        let since = self.targets.outdated_since(version)?;
        let since = self
            .controller_lost_at
            .map_or(since, |controller_lost_at| controller_lost_at.max(since));
        Some(since + self.bound)
    }

    /// Whether a request may be dispatched to an engine with a version of the weights, given its expected wait there
    /// before it begins.
    pub fn allows(&self, version: u64, expected_wait: Duration, now: Instant) -> bool {
        let margin = constants::VERSION_MARGIN + expected_wait;
        self.end_of(version).is_none_or(|end| now + margin < end)
    }

    /// When a dispatch under a version of the weights is cancelled if no response has begun; none for the newest
    /// version.
    pub fn cutoff_of(&self, version: u64) -> Option<Instant> {
        self.end_of(version).map(|end| end - constants::VERSION_CUTOFF_MARGIN)
    }
}

#[cfg(test)]
#[path = "version_bound_tests.rs"]
mod tests;
