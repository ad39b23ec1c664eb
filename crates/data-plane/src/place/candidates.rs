//! The engines of a service that may run a request.

use super::prompt::Prompt;
use crate::Router;
use crate::fleet_view::Named;
use crate::fleet_view::roll::{Roll, Row};
use fleet_core::constants;
use fleet_core::fleet;
use fleet_core::wire::Standing;
use std::time::Duration;
use tokio::time::Instant;

/// An engine that may run the request, under these weights.
pub struct Candidate {
    /// its row of the roll
    pub row: usize,
    /// the weights that the request would run under
    pub version: Option<u64>,
    /// it is about to get other weights
    pub fading: bool,
    awake: bool,
}

/// Engines that may run the request; the silent and resting ones only if there are no others.
pub fn candidates(
    router: &Router,
    roll: &Roll,
    prompt: &Prompt,
    tried: &[String],
    now: Instant,
) -> Vec<Candidate> {
    let weights = WantedWeights {
        model: prompt.model.as_deref(),
        named: prompt.model.as_deref().and_then(|model| router.fleet_view.named(model)),
        bound: router.settings().bounds.version,
    };
    let mut found = Vec::with_capacity(roll.rows.len());
    for (number, row) in roll.rows.iter().enumerate() {
        if row.news.standing() != Standing::Ready || tried.contains(&row.engine.id) {
            continue;
        }
        found.extend(weights.candidate(number, row, now));
    }
    if found.iter().any(|candidate| candidate.awake) {
        found.retain(|candidate| candidate.awake);
    }
    found
}

/// The weights that a request wants, and how long older ones may serve it.
struct WantedWeights<'a> {
    model: Option<&'a str>,
    named: Option<Named>,
    bound: Duration,
}

impl WantedWeights<'_> {
    /// The engine, if its weights allow it.
    fn candidate(&self, number: usize, row: &Row, now: Instant) -> Option<Candidate> {
        let named_version = self.named.map(|named| named.version);
        let marked = row.engine.is_marked(now);
        let is_changing = |model| fleet::is_changing(&row.news, model, named_version);
        if marked && self.model.is_some_and(is_changing) {
            return None;
        }
        let version = self.model.and_then(|model| fleet::version_of(&row.news, model));
        if self.model.is_some() && !row.news.weights.is_empty() && version.is_none() {
            return None;
        }
        if version.is_some_and(|version| !version_allowed(version, self.named, now, self.bound)) {
            return None;
        }
        let is_fading = |model| fleet::is_fading(&row.news, model, named_version);
        Some(Candidate {
            row: number,
            version,
            fading: marked && self.model.is_some_and(is_fading),
            awake: !row.news.silent && !row.engine.is_resting(now),
        })
    }
}

/// May a send still go to an engine with these weights?
pub fn version_allowed(engine: u64, named: Option<Named>, now: Instant, bound: Duration) -> bool {
    let Some(named) = named else { return true };
    let late = named.since + bound.saturating_sub(constants::VERSION_MARGIN);
    engine >= named.version || now < late
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
