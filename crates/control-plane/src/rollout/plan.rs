//! Selects the engines to update next. Pure state without I/O: time and engine loads are passed in.
//!
//! An engine that serves interactive requests first goes through [`Step::DrainingStreams`]; then every engine goes
//! through [`Step::Updating`], and is done once it reports the target weights. Interactive engines come first, to keep
//! the time short in which users are served by a mix of old and new weights with fewer engines.

use super::concurrency::ConcurrencyLimit;
use fleet_core::constants;
use hashbrown::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// An engine that lacks the target weights.
#[derive(Debug, Clone, PartialEq)]
pub struct OutdatedEngine {
    /// Instance id of the engine.
    pub id: String,
    /// The zone it is in.
    pub zone: String,
    /// Share of its recent requests that are interactive (a user is waiting for the response), from 0 to 1.
    pub interactive_share: f64,
    /// Interactive requests in flight.
    pub interactive_in_flight: u32,
    /// All requests in flight.
    pub in_flight: u32,
    /// Time until routers stop sending it requests because of its outdated weights; the older these are, the shorter.
    pub remaining: Duration,
    /// Time in which it should load the target weights: requests that it serves with older weights later are worth
    /// less.
    pub goal: Duration,
}

/// Current step of an engine's update, and when it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Routers send it no new long streams.
    DrainingStreams(Instant),
    /// Routers send it no requests. It finishes those in flight, then loads the weights and reports them.
    Updating(Instant),
}

/// An action to start, with the id of the engine that it applies to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Have routers send the engine no new long streams.
    DrainStreams(String),
    /// Order the engine to load the target weights.
    Update(String),
}

/// Progress of the engines of a rollout, and what was measured during it.
pub struct Plan {
    steps: HashMap<String, Step>,
    /// Whether each engine serves interactive requests, as determined when the plan first saw it: once its streams are
    /// drained, its request mix no longer shows this.
    is_interactive: HashMap<String, bool>,
    /// `None` until the first call of [`Plan::next`].
    concurrency: Option<ConcurrencyLimit>,
    /// Moving average of the duration of an update, retained across rollouts.
    update_duration: Duration,
    /// Error of the last failed update of each engine.
    errors: HashMap<String, String>,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            steps: HashMap::new(),
            is_interactive: HashMap::new(),
            concurrency: None,
            update_duration: constants::UPDATE_INITIAL_ESTIMATE,
            errors: HashMap::new(),
        }
    }
}

/// How many updates may start now.
struct UpdateBudget {
    capacity: usize,
    /// The current concurrency limit is too low for the remaining time, or leaves little slack for the goal.
    is_late: bool,
}

impl Plan {
    /// The step that an engine is in; `None` if its update has not started.
    pub fn step(&self, id: &str) -> Option<Step> {
        self.steps.get(id).copied()
    }

    /// Number of engines that are being updated.
    pub fn updating(&self) -> usize {
        self.steps.values().filter(|step| matches!(step, Step::Updating(_))).count()
    }

    /// Number of engines that may load weights at the same time; 0 before the rollout has started.
    pub fn concurrency(&self) -> usize {
        self.concurrency.as_ref().map_or(0, ConcurrencyLimit::limit)
    }

    /// Takes over an engine whose streams are already being drained on behalf of a former lease holder.
    pub fn adopt(&mut self, id: &str, now: Instant) {
        self.steps.entry_ref(id).or_insert(Step::DrainingStreams(now));
    }

    /// Records the end of an update, with the time that the engine took to load the weights, or `None` if it failed.
    pub fn record_update_end(&mut self, id: &str, now: Instant, load: Option<Duration>) {
        let step = self.steps.remove(id);
        if let (Some(Step::Updating(since)), Some(load)) = (step, load) {
            self.update_duration = (self.update_duration * 3 + now.duration_since(since)) / 4;
            if let Some(concurrency) = &mut self.concurrency {
                concurrency.record_load(now, load);
            }
        }
    }

    /// Records that an update failed, and the reason.
    pub fn record_update_failure(&mut self, id: &str, now: Instant, why: &str) {
        self.record_update_end(id, now, None);
        self.errors.insert(id.to_owned(), why.to_owned());
    }

    /// Why the last failed update of an engine failed, if one did during this rollout.
    pub fn error(&self, id: &str) -> Option<&str> {
        self.errors.get(id).map(String::as_str)
    }

    /// Clears the state of a completed rollout, except for the measured update duration.
    pub fn reset(&mut self) {
        *self = Plan { update_duration: self.update_duration, ..Plan::default() };
    }

    /// Returns the actions to start now, where `outdated` of `total` engines lack the target weights. Engines with the
    /// least time remaining come first.
    pub fn next(&mut self, now: Instant, total: usize, outdated: &[OutdatedEngine]) -> Vec<Action> {
        self.track(outdated);
        let budget = self.update_budget(total, outdated);
        let not_started = self.not_started(outdated);
        let mut actions = self.begin_drains(now, outdated, &not_started);
        let mut updates = self.drained(now, outdated);
        updates.truncate(budget.capacity);
        if budget.is_late || self.is_interactive_quota_updated(outdated) {
            let others = not_started.iter().filter(|engine| !self.is_interactive(engine));
            let free = budget.capacity - updates.len();
            updates.extend(others.take(free).map(|engine| engine.id.clone()));
        }
        for id in updates {
            self.steps.insert(id.clone(), Step::Updating(now));
            actions.push(Action::Update(id));
        }
        actions
    }

    /// Classifies engines that are seen for the first time, and removes those that are no longer outdated.
    fn track(&mut self, outdated: &[OutdatedEngine]) {
        for engine in outdated {
            let is_interactive = engine.interactive_share >= constants::INTERACTIVE_SHARE;
            self.is_interactive.entry_ref(&engine.id).or_insert(is_interactive);
        }
        let is_outdated = |id: &String| outdated.iter().any(|engine| engine.id == *id);
        self.steps.retain(|id, step| matches!(step, Step::Updating(_)) || is_outdated(id));
    }

    fn is_interactive(&self, engine: &OutdatedEngine) -> bool {
        self.is_interactive.get(&engine.id).copied().unwrap_or(false)
    }

    fn update_budget(&mut self, total: usize, outdated: &[OutdatedEngine]) -> UpdateBudget {
        let concurrency =
            self.concurrency.get_or_insert_with(|| ConcurrencyLimit::new(total)).limit();
        let required = self.needed_concurrency(outdated.iter().map(|engine| engine.remaining));
        let share_of_engines = |share: f64| ((total as f64 * share).ceil() as usize).max(1);
        // Meeting the goal justifies updating more engines at the same time, but not to the point of overloading the
        // remaining engines or slowing down loads.
        let desired = self.needed_concurrency(outdated.iter().map(|engine| engine.goal));
        let desired =
            desired.min(concurrency * 2).min(share_of_engines(constants::ROLLOUT_MAX_SHARE));
        let max_share = if required > share_of_engines(constants::ROLLOUT_MAX_SHARE) {
            constants::ROLLOUT_MAX_SHARE_LATE
        } else {
            constants::ROLLOUT_MAX_SHARE
        };
        // Don't go faster than the goal requires: cached prefixes are invalid under the new weights, and the more
        // engines are updated at the same time, the more prefixes have to be recomputed at once.
        let baseline = concurrency.min(share_of_engines(constants::ROLLOUT_INITIAL_SHARE));
        let target_concurrency =
            baseline.max(required).max(desired).min(share_of_engines(max_share));
        let capacity = target_concurrency.saturating_sub(self.updating());
        let is_goal_tight = 2 * desired > concurrency;
        UpdateBudget { capacity, is_late: is_goal_tight || required > concurrency }
    }

    /// How many engines have to be updated concurrently so that each one is ready in its remaining time, given that all
    /// engines with less time remaining are updated before it or at the same time.
    fn needed_concurrency(&self, remaining: impl Iterator<Item = Duration>) -> usize {
        let mut remaining: Vec<Duration> = remaining.collect();
        remaining.sort_unstable();
        let duration = self.update_duration.as_secs_f64().max(0.1);
        let required = |(index, time_left): (usize, &Duration)| {
            let rounds = time_left.as_secs_f64() / duration;
            ((index + 1) as f64 / rounds.max(0.5)).ceil() as usize
        };
        remaining.iter().enumerate().map(required).max().unwrap_or(0)
    }

    /// Engines whose update has not started: oldest weights first, then the least busy, alternating between zones.
    fn not_started<'a>(&self, outdated: &'a [OutdatedEngine]) -> Vec<&'a OutdatedEngine> {
        let mut not_started: Vec<&OutdatedEngine> =
            outdated.iter().filter(|engine| !self.steps.contains_key(&engine.id)).collect();
        not_started.sort_by(|a, b| {
            let rank = |engine: &OutdatedEngine| {
                (engine.remaining, engine.interactive_in_flight, engine.in_flight)
            };
            (rank(a), &a.id).cmp(&(rank(b), &b.id))
        });
        let same_deadline = |a: &&OutdatedEngine, b: &&OutdatedEngine| a.remaining == b.remaining;
        not_started.chunk_by(same_deadline).flat_map(interleave_zones).collect()
    }

    /// How many interactive engines may be drained or updated at the same time.
    fn drain_quota(&self) -> usize {
        let interactive =
            self.is_interactive.values().filter(|is_interactive| **is_interactive).count();
        ((interactive as f64 * constants::STREAM_DRAIN_SHARE).ceil() as usize).max(1)
    }

    /// Starts draining interactive engines, as far as the quota allows.
    fn begin_drains(
        &mut self,
        now: Instant,
        outdated: &[OutdatedEngine],
        not_started: &[&OutdatedEngine],
    ) -> Vec<Action> {
        let is_being_updated = |engine: &&OutdatedEngine| {
            self.is_interactive(engine) && self.steps.contains_key(&engine.id)
        };
        let free =
            self.drain_quota().saturating_sub(outdated.iter().filter(is_being_updated).count());
        let interactive = not_started.iter().filter(|engine| self.is_interactive(engine));
        let ids: Vec<String> = interactive.take(free).map(|engine| engine.id.clone()).collect();
        for id in &ids {
            self.steps.insert(id.clone(), Step::DrainingStreams(now));
        }
        ids.into_iter().map(Action::DrainStreams).collect()
    }

    /// Engines whose streams have ended or timed out: oldest weights first, then the least busy.
    fn drained(&self, now: Instant, outdated: &[OutdatedEngine]) -> Vec<String> {
        let draining = outdated.iter().filter_map(|engine| match self.step(&engine.id) {
            Some(Step::DrainingStreams(since)) => Some((since, engine)),
            _ => None,
        });
        let timed_out =
            |since: &Instant| now.duration_since(*since) >= constants::STREAM_DRAIN_TIMEOUT;
        let mut drained: Vec<(Instant, &OutdatedEngine)> = draining
            .filter(|(since, engine)| engine.interactive_in_flight == 0 || timed_out(since))
            .collect();
        drained.sort_by(|(since_a, a), (since_b, b)| {
            let rank = |engine: &OutdatedEngine| (engine.remaining, engine.interactive_in_flight);
            (rank(a), since_a, &a.id).cmp(&(rank(b), since_b, &b.id))
        });
        drained.into_iter().map(|(_, engine)| engine.id.clone()).collect()
    }

    /// Whether as many interactive engines as the quota have the target weights, so that the other engines may follow.
    fn is_interactive_quota_updated(&self, outdated: &[OutdatedEngine]) -> bool {
        let interactive =
            self.is_interactive.values().filter(|is_interactive| **is_interactive).count();
        let pending = outdated.iter().filter(|engine| self.is_interactive(engine)).count();
        interactive - pending.min(interactive) >= self.drain_quota().min(interactive)
    }
}

/// Alternates between the zones, keeping the order of engines within each zone.
fn interleave_zones<'a>(engines: &[&'a OutdatedEngine]) -> Vec<&'a OutdatedEngine> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let mut ranked: Vec<(usize, &OutdatedEngine)> = Vec::with_capacity(engines.len());
    for engine in engines.iter().copied() {
        let rank = counts.entry(engine.zone.as_str()).or_default();
        *rank += 1;
        ranked.push((*rank, engine));
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, engine)| engine).collect()
}
