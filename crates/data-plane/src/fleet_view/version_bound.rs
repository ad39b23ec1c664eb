//! May a request begin under the weights that an engine has?
//!
//! This is the only place that decides it. First dispatches, retries and resumed streams all come through the load
//! balancer's [`candidates`](crate::load_balancer::candidates), which asks here; `proxy::dispatch` holds a
//! dispatch to the answer after it was sent.
//!
//! The rule is on the beginning of a run, which is the engine's to decide. Between the dispatch and the beginning lie
//! the way to the engine and the wait in its queue. A router knows the wait only by what engines and other routers
//! report, so an outdated engine is given up [`constants::VERSION_MARGIN`] and the expected wait before the bound, and a
//! request that has no response at [`constants::VERSION_CUTOFF`] before the bound is taken back.

use fleet_core::constants;
use fleet_core::target_versions::TargetVersions;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Until when requests may begin under the weights of each version of one model.
#[derive(Debug, Clone)]
pub struct VersionBound {
    targets: Arc<TargetVersions>,
    /// The bound counts from here at the earliest; none if nothing held the roll-out up.
    disturbed: Option<Instant>,
    bound: Duration,
}

impl VersionBound {
    /// The bound of a model: so long after a version was named, no request begins under an older one.
    pub fn new(
        targets: Arc<TargetVersions>,
        disturbed: Option<Instant>,
        bound: Duration,
    ) -> VersionBound {
        VersionBound { targets, disturbed, bound }
    }

    /// The newest version; none if no version was named.
    pub fn target_version(&self) -> Option<u64> {
        self.targets.newest().map(|target| target.version)
    }

    /// The moment from which no request may begin under the weights of a version; none for the newest.
    pub fn end_of(&self, version: u64) -> Option<Instant> {
        let since = self.targets.outdated_since(version)?;
        let since = self.disturbed.map_or(since, |disturbed| disturbed.max(since));
        Some(since + self.bound)
    }

    /// Whether a request may be dispatched to an engine with the weights of a version, if it is expected to wait so
    /// long there before it begins.
    pub fn allows(&self, version: u64, expected_wait: Duration, now: Instant) -> bool {
        let margin = constants::VERSION_MARGIN + expected_wait;
        self.end_of(version).is_none_or(|end| now + margin < end)
    }

    /// When a dispatch under the weights of a version is taken back if no response has begun; none for the newest.
    pub fn cutoff_of(&self, version: u64) -> Option<Instant> {
        self.end_of(version).map(|end| end - constants::VERSION_CUTOFF)
    }
}

#[cfg(test)]
#[path = "version_bound_tests.rs"]
mod tests;
