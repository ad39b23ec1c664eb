//! Filters the engines of a service down to those that may run a request.

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

/// An engine that may run the request.
pub struct Candidate {
    /// Index into [`EndpointSet::endpoints`].
    pub endpoint: usize,
    /// Version of the weights that the request would run under; none if the engine reports none for the model.
    pub version: Option<u64>,
    /// Whether the rollout is about to update the engine, so that new long streams should avoid it.
    pub draining_streams: bool,
    liveness: Liveness,
}

/// How likely an engine is to be alive, in ascending order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Liveness {
    /// Heartbeats are missed, and the engine has served nothing since a connection to it broke.
    ProbablyDead,
    /// Either heartbeats are missed or a connection broke recently. Neither alone is conclusive: a controller that is
    /// cut off misses the heartbeats of all engines, and a connection may fail once.
    Uncertain,
    /// Heartbeats arrive, and no connection broke recently.
    Alive,
}

impl Liveness {
    fn of(heartbeat_missed: bool, health: Health) -> Liveness {
        match (heartbeat_missed, health) {
            (false, Health::Healthy | Health::Unproven) => Liveness::Alive,
            (false, Health::Ejected) | (true, Health::Healthy) => Liveness::Uncertain,
            (true, Health::Unproven | Health::Ejected) => Liveness::ProbablyDead,
        }
    }
}

/// Returns the engines that may run the request, limited to those with the best liveness.
pub fn candidates(
    weights: &AllowedWeights<'_>,
    endpoint_set: &EndpointSet,
    attempted: &[String],
    now: Instant,
) -> Vec<Candidate> {
    let mut candidates = Vec::with_capacity(endpoint_set.endpoints.len());
    for (index, endpoint) in endpoint_set.endpoints.iter().enumerate() {
        if endpoint.state.state() != EngineState::Ready || attempted.contains(&endpoint.engine.id) {
            continue;
        }
        candidates.extend(weights.candidate(index, endpoint, now));
    }
    retain_best_liveness(&mut candidates);
    candidates
}

/// Keeps only the candidates with the best liveness found among them.
fn retain_best_liveness(candidates: &mut Vec<Candidate>) {
    if let Some(best) = candidates.iter().map(|candidate| candidate.liveness).max() {
        candidates.retain(|candidate| candidate.liveness == best);
    }
}

/// Decides which versions of the model's weights a request may run under.
pub struct AllowedWeights<'a> {
    model: Option<&'a str>,
    /// None if the request names no model.
    bound: Option<VersionBound>,
}

impl<'a> AllowedWeights<'a> {
    /// For the prompt's model; an older version may serve until `version_bound` after a newer one was announced.
    pub fn new(view: &FleetView, prompt: &'a Prompt, version_bound: Duration) -> Self {
        let model = prompt.model.as_deref();
        let bound = model.map(|model| view.version_bound(model, version_bound));
        AllowedWeights { model, bound }
    }

    /// Returns the engine as a candidate if its weights allow it to run the request.
    fn candidate(&self, index: usize, endpoint: &Endpoint, now: Instant) -> Option<Candidate> {
        let target_version = self.bound.as_ref().and_then(VersionBound::target_version);
        let has_recent_rollout_state = endpoint.engine.has_recent_rollout_state(now);
        let is_updating = |model| fleet::is_updating(&endpoint.state, model, target_version);
        if has_recent_rollout_state && self.model.is_some_and(is_updating) {
            return None;
        }
        let version = self.model.and_then(|model| fleet::version_of(&endpoint.state, model));
        if self.model.is_some() && !endpoint.state.weights.is_empty() && version.is_none() {
            return None;
        }
        if version.is_some_and(|version| !self.begins_in_time(version, endpoint, now)) {
            return None;
        }
        let is_draining_streams =
            |model| fleet::is_draining_streams(&endpoint.state, model, target_version);
        Some(Candidate {
            endpoint: index,
            version,
            draining_streams: has_recent_rollout_state
                && self.model.is_some_and(is_draining_streams),
            liveness: Liveness::of(endpoint.state.heartbeat_missed, endpoint.engine.health(now)),
        })
    }

    /// Whether a request dispatched now would begin before the bound of these weights at this engine.
    fn begins_in_time(&self, version: u64, endpoint: &Endpoint, now: Instant) -> bool {
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
