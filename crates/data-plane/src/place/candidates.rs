//! The engines of a service that may run a request.

use super::prompt::Prompt;
use crate::Router;
use crate::fleet_view::Named;
use crate::fleet_view::roll::{Roll, Row};
use crate::pool::Health;
use fleet_core::constants;
use fleet_core::fleet;
use fleet_core::wire::EngineState;
use std::time::Duration;
use tokio::time::Instant;

/// An engine that may run the request, under these weights.
pub struct Candidate {
    /// its row of the roll
    pub row: usize,
    /// the weights that the request would run under
    pub version: Option<u64>,
    /// it is about to get other weights
    pub draining_streams: bool,
    liveness: Liveness,
}

/// What speaks for an engine being alive; the later, the more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Liveness {
    /// No controller hears it, and it has served nothing since a connection broke.
    Unlikely,
    /// One of the two: a controller that is cut off hears no engine, and a connection may fail once.
    Doubtful,
    /// It is heard, and nothing broke lately.
    Awake,
}

impl Liveness {
    fn of(heartbeat_missed: bool, health: Health) -> Liveness {
        match (heartbeat_missed, health) {
            (false, Health::Sound | Health::Unproven) => Liveness::Awake,
            (false, Health::Resting) | (true, Health::Sound) => Liveness::Doubtful,
            (true, Health::Unproven | Health::Resting) => Liveness::Unlikely,
        }
    }
}

/// Engines that may run the request; those that are likely dead only if there are no others.
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
        if row.news.state() != EngineState::Ready || tried.contains(&row.engine.id) {
            continue;
        }
        found.extend(weights.candidate(number, row, now));
    }
    keep_liveliest(&mut found);
    found
}

/// Drops all but those that most speaks for.
fn keep_liveliest(found: &mut Vec<Candidate>) {
    if let Some(best) = found.iter().map(|candidate| candidate.liveness).max() {
        found.retain(|candidate| candidate.liveness == best);
    }
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
        let is_updating = |model| fleet::is_updating(&row.news, model, named_version);
        if marked && self.model.is_some_and(is_updating) {
            return None;
        }
        let version = self.model.and_then(|model| fleet::version_of(&row.news, model));
        if self.model.is_some() && !row.news.weights.is_empty() && version.is_none() {
            return None;
        }
        if version.is_some_and(|version| !version_allowed(version, self.named, now, self.bound)) {
            return None;
        }
        let is_draining_streams =
            |model| fleet::is_draining_streams(&row.news, model, named_version);
        Some(Candidate {
            row: number,
            version,
            draining_streams: marked && self.model.is_some_and(is_draining_streams),
            liveness: Liveness::of(row.news.heartbeat_missed, row.engine.health(now)),
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
