//! The engines of a service that may run a request.

use super::cost;
use super::prompt::Prompt;
use crate::fleet_view::FleetView;
use crate::fleet_view::endpoints::{Endpoint, EndpointSet};
use crate::fleet_view::version_bound::VersionBound;
use crate::pool::Health;
use fleet_core::fleet;
use fleet_core::wire::EngineState;
use std::time::Duration;
use tokio::time::Instant;

/// An engine that may run the request, under these weights.
pub struct Candidate {
    /// Its place in the endpoint set.
    pub endpoint: usize,
    /// The weights that the request would run under; none if the engine names none for the model.
    pub version: Option<u64>,
    /// The roll-out is about to update it.
    pub draining_streams: bool,
    liveness: Liveness,
}

/// The evidence that an engine is alive, the weakest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Liveness {
    /// Its heartbeats are missed, and it has served nothing since a connection broke.
    Unlikely,
    /// One of the two: a controller that is cut off misses all heartbeats, and a connection may fail once.
    Doubtful,
    /// Its heartbeats come, and nothing broke lately.
    Awake,
}

impl Liveness {
    fn of(heartbeat_missed: bool, health: Health) -> Liveness {
        match (heartbeat_missed, health) {
            (false, Health::Sound | Health::Unproven) => Liveness::Awake,
            (false, Health::Ejected) | (true, Health::Sound) => Liveness::Doubtful,
            (true, Health::Unproven | Health::Ejected) => Liveness::Unlikely,
        }
    }
}

/// Engines that may run the request; those that are likely dead only if there are no others.
pub fn candidates(
    weights: &WantedWeights<'_>,
    endpoint_set: &EndpointSet,
    attempted: &[String],
    now: Instant,
) -> Vec<Candidate> {
    let mut found = Vec::with_capacity(endpoint_set.endpoints.len());
    for (number, endpoint) in endpoint_set.endpoints.iter().enumerate() {
        if endpoint.state.state() != EngineState::Ready || attempted.contains(&endpoint.engine.id) {
            continue;
        }
        found.extend(weights.candidate(number, endpoint, now));
    }
    retain_liveliest(&mut found);
    found
}

/// Drops all but those with the strongest evidence of being alive.
fn retain_liveliest(found: &mut Vec<Candidate>) {
    if let Some(best) = found.iter().map(|candidate| candidate.liveness).max() {
        found.retain(|candidate| candidate.liveness == best);
    }
}

/// The weights that a request wants, and how long older ones may serve it.
pub struct WantedWeights<'a> {
    model: Option<&'a str>,
    /// Of the model; none without one.
    bound: Option<VersionBound>,
}

impl<'a> WantedWeights<'a> {
    /// Of the prompt's model, of which older versions serve until `version_bound` after a newer one was named.
    pub fn new(view: &FleetView, prompt: &'a Prompt, version_bound: Duration) -> Self {
        let model = prompt.model.as_deref();
        let bound = model.map(|model| view.version_bound(model, version_bound));
        WantedWeights { model, bound }
    }

    /// The engine, if its weights allow it.
    fn candidate(&self, number: usize, endpoint: &Endpoint, now: Instant) -> Option<Candidate> {
        let target_version = self.bound.as_ref().and_then(VersionBound::target_version);
        let marked = endpoint.engine.has_rollout_mark(now);
        let is_updating = |model| fleet::is_updating(&endpoint.state, model, target_version);
        if marked && self.model.is_some_and(is_updating) {
            return None;
        }
        let version = self.model.and_then(|model| fleet::version_of(&endpoint.state, model));
        if self.model.is_some() && !endpoint.state.weights.is_empty() && version.is_none() {
            return None;
        }
        if version.is_some_and(|version| !self.may_begin(version, endpoint, now)) {
            return None;
        }
        let is_draining_streams =
            |model| fleet::is_draining_streams(&endpoint.state, model, target_version);
        Some(Candidate {
            endpoint: number,
            version,
            draining_streams: marked && self.model.is_some_and(is_draining_streams),
            liveness: Liveness::of(endpoint.state.heartbeat_missed, endpoint.engine.health(now)),
        })
    }

    /// Whether a request that is sent now begins in time at an engine with these weights.
    fn may_begin(&self, version: u64, endpoint: &Endpoint, now: Instant) -> bool {
        let Some(bound) = &self.bound else { return true };
        if bound.target_version().is_none_or(|target| version >= target) {
            return true;
        }
        bound.allows(version, cost::expected_wait(endpoint, now), now)
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
