//! Which engines are updated next, as pure state: time and the engines' loads are passed in.
//!
//! An engine goes from serving, if it has long streams through [`Step::DrainingStreams`], to
//! [`Step::Updating`], and is done once it reports the target weights. Engines that serve interactive
//! requests come first, so that people get the new weights (and lose the old engines) for as short a time
//! as possible.

use super::concurrency::Concurrency;
use fleet_core::constants;
use hashbrown::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// An engine that lacks the target weights.
#[derive(Debug, Clone, PartialEq)]
pub struct OutdatedEngine {
    /// Its instance id.
    pub id: String,
    /// The zone it is in.
    pub zone: String,
    /// Share of its recent requests that somebody waits for, from 0 to 1.
    pub interactive_share: f64,
    /// Requests in flight that somebody waits for.
    pub interactive_runs: u32,
    /// All requests in flight.
    pub runs: u32,
    /// Time until routers send it nothing more under the weights that it has; less, the older these are.
    pub remaining: Duration,
    /// Time in which it should have the target weights: what it serves later counts for less.
    pub goal: Duration,
}

/// How far the update of one engine has come, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// It gets no more long streams.
    DrainingStreams(Instant),
    /// It gets no requests: those that run end, then it loads the weights and reports them.
    Updating(Instant),
}

/// What is to be begun, with the engine's id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Keep long streams away from it.
    DrainStreams(String),
    /// Order it to load the target weights.
    Update(String),
}

/// The engines of one roll-out and what was learnt of them.
pub struct Plan {
    steps: HashMap<String, Step>,
    /// Whether an engine serves interactive requests, as found when the plan first saw it: one whose
    /// streams are drained loses its mix of requests.
    is_interactive: HashMap<String, bool>,
    /// None until the first engines are known.
    concurrency: Option<Concurrency>,
    /// Moving average of how long an update takes, kept from one roll-out to the next.
    update_duration: Duration,
    /// Why the last update of an engine failed.
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

/// How many updates may begin now.
struct UpdateBudget {
    capacity: usize,
    /// The learnt concurrency does not suffice for the time that is left, or for the goal.
    is_late: bool,
}

impl Plan {
    /// The step that an engine is in; none if nothing was begun with it.
    pub fn step(&self, id: &str) -> Option<Step> {
        self.steps.get(id).copied()
    }

    /// Engines that are being updated.
    pub fn updating(&self) -> usize {
        self.steps.values().filter(|step| matches!(step, Step::Updating(_))).count()
    }

    /// Engines that may load at once; 0 before the roll-out has begun.
    pub fn concurrency(&self) -> usize {
        self.concurrency.as_ref().map_or(0, Concurrency::limit)
    }

    /// Takes over an engine whose streams a former lease holder has drained.
    pub fn adopt(&mut self, id: &str, now: Instant) {
        self.steps.entry_ref(id).or_insert(Step::DrainingStreams(now));
    }

    /// Ends an update: with the time that the engine took to load, or with none if it failed.
    pub fn ended(&mut self, id: &str, now: Instant, load: Option<Duration>) {
        let step = self.steps.remove(id);
        if let (Some(Step::Updating(since)), Some(load)) = (step, load) {
            self.update_duration = (self.update_duration * 3 + now.duration_since(since)) / 4;
            if let Some(concurrency) = &mut self.concurrency {
                concurrency.record_load(now, load);
            }
        }
    }

    /// Ends an update that failed, and remembers why.
    pub fn failed(&mut self, id: &str, now: Instant, why: &str) {
        self.ended(id, now, None);
        self.errors.insert(id.to_owned(), why.to_owned());
    }

    /// Why the last update of an engine failed.
    pub fn error(&self, id: &str) -> Option<&str> {
        self.errors.get(id).map(String::as_str)
    }

    /// Forgets a roll-out that is complete, but for how long an update takes.
    pub fn reset(&mut self) {
        *self = Plan { update_duration: self.update_duration, ..Plan::default() };
    }

    /// What to begin now, of `all` engines of a service of which some are outdated. Those that have the least time left
    /// come first.
    pub fn next(&mut self, now: Instant, all: usize, outdated: &[OutdatedEngine]) -> Vec<Action> {
        self.track(outdated);
        let budget = self.update_budget(all, outdated);
        let serving = self.serving(outdated);
        let mut actions = self.begin_drains(now, outdated, &serving);
        let mut updates = self.drained(now, outdated);
        updates.truncate(budget.capacity);
        if budget.is_late || self.interactive_ones_are_ready(outdated) {
            let others = serving.iter().filter(|engine| !self.is_interactive(engine));
            let free = budget.capacity - updates.len();
            updates.extend(others.take(free).map(|engine| engine.id.clone()));
        }
        for id in updates {
            self.steps.insert(id.clone(), Step::Updating(now));
            actions.push(Action::Update(id));
        }
        actions
    }

    /// Notes the kind of engines that are new here, and drops those that are no longer outdated.
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

    fn update_budget(&mut self, all: usize, outdated: &[OutdatedEngine]) -> UpdateBudget {
        let concurrency = self.concurrency.get_or_insert_with(|| Concurrency::new(all)).limit();
        let needed = self.needed_concurrency(outdated.iter().map(|engine| engine.remaining));
        let engines = |share: f64| ((all as f64 * share).ceil() as usize).max(1);
        // the goal is worth a wider roll-out, but neither crowded engines nor slow loads
        let wanted = self.needed_concurrency(outdated.iter().map(|engine| engine.goal));
        let wanted = wanted.min(concurrency * 2).min(engines(constants::ROLLOUT_MAX_SHARE));
        let max_share = if needed > engines(constants::ROLLOUT_MAX_SHARE) {
            constants::ROLLOUT_MAX_SHARE_LATE
        } else {
            constants::ROLLOUT_MAX_SHARE
        };
        // no faster than the goal asks: what engines cached is read again under the new weights, all the more at once
        let unhurried = concurrency.min(engines(constants::ROLLOUT_INITIAL_SHARE));
        let at_once = unhurried.max(needed).max(wanted).min(engines(max_share));
        let capacity = at_once.saturating_sub(self.updating());
        let leaves_no_wait = 2 * wanted > concurrency;
        UpdateBudget { capacity, is_late: leaves_no_wait || needed > concurrency }
    }

    /// Engines that have to be updated at once so that each is ready in the time that it has left: for each of them, all
    /// that have no more time than it come before it or beside it.
    fn needed_concurrency(&self, remaining: impl Iterator<Item = Duration>) -> usize {
        let mut remaining: Vec<Duration> = remaining.collect();
        remaining.sort_unstable();
        let duration = self.update_duration.as_secs_f64().max(0.1);
        let needed = |(before, left): (usize, &Duration)| {
            let rounds = left.as_secs_f64() / duration;
            ((before + 1) as f64 / rounds.max(0.5)).ceil() as usize
        };
        remaining.iter().enumerate().map(needed).max().unwrap_or(0)
    }

    /// Engines with which nothing was begun: those with the oldest weights first, then the least busy, zones taking turns.
    fn serving<'a>(&self, outdated: &'a [OutdatedEngine]) -> Vec<&'a OutdatedEngine> {
        let mut serving: Vec<&OutdatedEngine> =
            outdated.iter().filter(|engine| !self.steps.contains_key(&engine.id)).collect();
        serving.sort_by(|a, b| {
            let rank =
                |engine: &OutdatedEngine| (engine.remaining, engine.interactive_runs, engine.runs);
            (rank(a), &a.id).cmp(&(rank(b), &b.id))
        });
        let same_time = |a: &&OutdatedEngine, b: &&OutdatedEngine| a.remaining == b.remaining;
        serving.chunk_by(same_time).flat_map(interleave_zones).collect()
    }

    /// Interactive engines that may be away at once.
    fn drain_quota(&self) -> usize {
        let interactive = self.is_interactive.values().filter(|is| **is).count();
        ((interactive as f64 * constants::STREAM_DRAIN_SHARE).ceil() as usize).max(1)
    }

    /// Begins to drain interactive engines, as many as the quota leaves.
    fn begin_drains(
        &mut self,
        now: Instant,
        outdated: &[OutdatedEngine],
        serving: &[&OutdatedEngine],
    ) -> Vec<Action> {
        let is_away = |engine: &&OutdatedEngine| {
            self.is_interactive(engine) && self.steps.contains_key(&engine.id)
        };
        let free = self.drain_quota().saturating_sub(outdated.iter().filter(is_away).count());
        let interactive = serving.iter().filter(|engine| self.is_interactive(engine));
        let ids: Vec<String> = interactive.take(free).map(|engine| engine.id.clone()).collect();
        for id in &ids {
            self.steps.insert(id.clone(), Step::DrainingStreams(now));
        }
        ids.into_iter().map(Action::DrainStreams).collect()
    }

    /// Engines whose streams have ended, or had their time: those with the oldest weights first, then the least busy.
    fn drained(&self, now: Instant, outdated: &[OutdatedEngine]) -> Vec<String> {
        let draining = outdated.iter().filter_map(|engine| match self.step(&engine.id) {
            Some(Step::DrainingStreams(since)) => Some((since, engine)),
            _ => None,
        });
        let timed_out =
            |since: &Instant| now.duration_since(*since) >= constants::STREAM_DRAIN_TIMEOUT;
        let mut drained: Vec<(Instant, &OutdatedEngine)> = draining
            .filter(|(since, engine)| engine.interactive_runs == 0 || timed_out(since))
            .collect();
        drained.sort_by(|(since_a, a), (since_b, b)| {
            let rank = |engine: &OutdatedEngine| (engine.remaining, engine.interactive_runs);
            (rank(a), since_a, &a.id).cmp(&(rank(b), since_b, &b.id))
        });
        drained.into_iter().map(|(_, engine)| engine.id.clone()).collect()
    }

    /// Whether a quota of interactive engines has the target weights, so that the others may follow.
    fn interactive_ones_are_ready(&self, outdated: &[OutdatedEngine]) -> bool {
        let all = self.is_interactive.values().filter(|is| **is).count();
        let waiting = outdated.iter().filter(|engine| self.is_interactive(engine)).count();
        all - waiting.min(all) >= self.drain_quota().min(all)
    }
}

/// One engine of each zone after the other, each zone in the order that it had.
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
