//! Which engines turn to new weights next: those that serve people who wait come first.
//! Serving, then (with long streams) Fading, then Turning, then at the named weights.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use fleet_core::constants;
use std::time::Duration;
use tokio::time::Instant;

/// An engine that still lacks the named weights.
#[derive(Debug, Clone, PartialEq)]
pub struct Old {
    pub id: String,
    pub zone: String,
    /// share of its recent runs that somebody waits for
    pub interactive: f64,
    /// such runs in flight now
    pub waits: u32,
    pub runs: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// gets no more long streams
    Fading(Instant),
    /// gets nothing: its runs end, it receives its copy, and shows it
    Turning(Instant),
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Fade(String),
    Turn(String),
}

/// How many may load at once: more by one for each quick load, fewer by a third when loads turn slow.
#[derive(Debug, Clone)]
pub struct Width {
    now: f64,
    fastest: Option<Duration>,
    cut: Option<Instant>,
}

impl Width {
    pub fn new(engines: usize) -> Width {
        Width { now: (engines as f64 * constants::ROLL_START).max(1.0), fastest: None, cut: None }
    }

    pub fn loaded(&mut self, now: Instant, took: Duration) {
        let fastest = self.fastest.map_or(took, |f| f.min(took));
        self.fastest = Some(fastest);
        if took <= fastest.mul_f64(constants::LOAD_SLOW) {
            self.now += 1.0;
            return;
        }
        if self.cut.is_none_or(|c| now.duration_since(c) >= constants::WIDTH_CUT_PAUSE) {
            self.now = (self.now * constants::WIDTH_CUT).max(1.0);
            self.cut = Some(now);
        }
    }

    pub fn now(&self) -> usize {
        self.now as usize
    }
}

pub struct Plan {
    steps: hashbrown::HashMap<String, Step>,
    /// as found when the roll-out first saw it; an engine that fades loses its mix
    kinds: hashbrown::HashMap<String, bool>,
    width: Option<Width>,
    turn: Duration,
    /// why the last turn of an engine failed
    errors: hashbrown::HashMap<String, String>,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            steps: hashbrown::HashMap::new(),
            kinds: hashbrown::HashMap::new(),
            width: None,
            turn: constants::TURN_FIRST,
            errors: hashbrown::HashMap::new(),
        }
    }
}

impl Plan {
    pub fn step(&self, id: &str) -> Option<Step> {
        self.steps.get(id).copied()
    }

    pub fn turning(&self) -> usize {
        self.steps.values().filter(|s| matches!(s, Step::Turning(_))).count()
    }

    pub fn width(&self) -> usize {
        self.width.as_ref().map_or(0, Width::now)
    }

    /// Faded under a former holder.
    pub fn adopt(&mut self, id: &str, now: Instant) {
        self.steps.entry_ref(id).or_insert(Step::Fading(now));
    }

    /// The end of a turn: with the weights it took so long to load, or without them.
    pub fn ended(&mut self, id: &str, now: Instant, load: Option<Duration>) {
        let step = self.steps.remove(id);
        if let (Some(Step::Turning(since)), Some(load)) = (step, load) {
            self.turn = (self.turn * 3 + now.duration_since(since)) / 4;
            if let Some(w) = &mut self.width {
                w.loaded(now, load);
            }
        }
    }

    pub fn failed(&mut self, id: &str, now: Instant, why: &str) {
        self.ended(id, now, None);
        self.errors.insert(id.to_owned(), why.to_owned());
    }

    pub fn error(&self, id: &str) -> Option<&str> {
        self.errors.get(id).map(String::as_str)
    }

    /// All are there: what was learnt of kinds and width is of this roll-out only.
    pub fn rest(&mut self) {
        *self = Plan { turn: self.turn, ..Plan::default() };
    }

    /// What to begin now, of `all` engines of a service, with this much time left.
    pub fn next(&mut self, now: Instant, all: usize, old: &[Old], left: Duration) -> Vec<Action> {
        for o in old {
            self.kinds.entry_ref(&o.id).or_insert(o.interactive >= constants::INTERACTIVE_SHARE);
        }
        self.steps.retain(|id, s| matches!(s, Step::Turning(_)) || old.iter().any(|o| o.id == *id));
        let width = self.width.get_or_insert_with(|| Width::new(all)).now();
        let rounds = left.as_secs_f64() / self.turn.as_secs_f64().max(0.1);
        let needed = (old.len() as f64 / rounds.max(0.5)).ceil() as usize;
        let share = |s: f64| ((all as f64 * s).ceil() as usize).max(1);
        let late = needed > width;
        let most = if needed > share(constants::ROLL_SHARE) {
            constants::ROLL_SHARE_LATE
        } else {
            constants::ROLL_SHARE
        };
        let mut room = width.max(needed).min(share(most)).saturating_sub(self.turning());
        let mut out = Vec::new();
        let interactive = |p: &Plan, o: &Old| p.kinds.get(&o.id).copied().unwrap_or(false);

        let mut waiting: Vec<&Old> =
            old.iter().filter(|o| !self.steps.contains_key(&o.id)).collect();
        waiting.sort_by(|a, b| (a.waits, a.runs, &a.id).cmp(&(b.waits, b.runs, &b.id)));
        spread(&mut waiting);
        let people = self.kinds.values().filter(|k| **k).count();
        let left_over = old.iter().filter(|o| interactive(self, o)).count();
        let away = old.iter().filter(|o| interactive(self, o) && self.steps.contains_key(&o.id));
        let spared = ((people as f64 * constants::FADE_SHARE).ceil() as usize).max(1);
        let fades = spared.saturating_sub(away.count());
        for o in waiting.iter().filter(|o| interactive(self, o)).take(fades) {
            out.push(Action::Fade(o.id.clone()));
        }
        for a in &out {
            if let Action::Fade(id) = a {
                self.steps.insert(id.clone(), Step::Fading(now));
            }
        }
        let mut faded: Vec<(Instant, &Old)> = old
            .iter()
            .filter_map(|o| match self.steps.get(&o.id) {
                Some(Step::Fading(t)) => Some((*t, o)),
                _ => None,
            })
            .filter(|(t, o)| o.waits == 0 || now.duration_since(*t) >= constants::FADE_LIMIT)
            .collect();
        faded.sort_by(|a, b| (a.1.waits, a.0, &a.1.id).cmp(&(b.1.waits, b.0, &b.1.id)));
        for (_, o) in faded.into_iter().take(room) {
            out.push(Action::Turn(o.id.clone()));
            room -= 1;
        }
        let first_are_ready = people - left_over.min(people) >= spared.min(people);
        if first_are_ready || late {
            let rest = waiting.iter().filter(|o| !interactive(self, o)).take(room);
            out.extend(rest.map(|o| Action::Turn(o.id.clone())));
        }
        for a in &out {
            if let Action::Turn(id) = a {
                self.steps.insert(id.clone(), Step::Turning(now));
            }
        }
        out
    }
}

/// One of each zone after the other, each zone in the order it has.
fn spread(all: &mut Vec<&Old>) {
    let mut seen: hashbrown::HashMap<&str, usize> = hashbrown::HashMap::new();
    let mut ranked: Vec<(usize, &Old)> = all
        .iter()
        .map(|o| {
            let n = seen.entry(o.zone.as_str()).or_insert(0);
            *n += 1;
            (*n, *o)
        })
        .collect();
    ranked.sort_by_key(|(n, _)| *n);
    *all = ranked.into_iter().map(|(_, o)| o).collect();
}
