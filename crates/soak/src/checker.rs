//! What must hold of a history.

use crate::constants;
use crate::history::{Action, At, Ending, History, Kind, ProcessEvent, Program, Request};
use crate::http::ReadError;
use std::collections::{HashMap, HashSet};

/// A rule of the users.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A request that a router has read ends with an answer, as far as planned work goes.
    Lost,
    /// An engine gets no request once its departure was acknowledged and `drainMs` are over.
    Drain,
    /// What may run once runs once.
    Twice,
    /// What was refused has not run.
    Refused,
    /// A success is the engine's whole answer to this very request.
    Mixed,
    /// What was acknowledged is read back.
    Config,
    /// A process ends when it is asked to, in time, and not otherwise.
    Process,
    /// The run shows something: most requests were served, and an engine left.
    Vacuous,
}

/// A rule that was broken.
#[derive(Debug, Clone)]
pub struct Violation {
    /// Which one.
    pub rule: Rule,
    /// By what.
    pub why: String,
}

/// Judges a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Findings::default();
    let index = Index::of(history);
    for request in &history.requests {
        check_ending(request, history, &index, &mut found);
        check_answer(request, &index, &mut found);
    }
    check_drains(history, &mut found);
    check_processes(history, &mut found);
    check_configuration(history, &mut found);
    check_that_it_shows_something(history, &mut found);
    found.0
}

#[derive(Default)]
struct Findings(Vec<Violation>);

impl Findings {
    fn add(&mut self, rule: Rule, why: String) {
        self.0.push(Violation { rule, why });
    }
}

/// What engines saw, by the client's id of the request.
struct Index<'a> {
    passed_on: HashSet<&'a str>,
    begun: HashMap<&'a str, Vec<&'a str>>,
}

impl<'a> Index<'a> {
    fn of(history: &'a History) -> Index<'a> {
        let passed_on = history.arrivals.iter().map(|event| event.attempt.as_str()).collect();
        let mut begun: HashMap<&str, Vec<&str>> = HashMap::new();
        for event in &history.begun {
            begun.entry(&event.attempt).or_default().push(&event.engine);
        }
        Index { passed_on, begun }
    }

    fn begun_at(&self, attempt: &str) -> &[&'a str] {
        self.begun.get(attempt).map_or(&[], Vec::as_slice)
    }
}

fn check_ending(request: &Request, history: &History, index: &Index, found: &mut Findings) {
    let error = match &request.ending {
        Ending::Answered { .. } => return,
        Ending::Closed(error) => *error,
        Ending::TimedOut => {
            return found.add(Rule::Lost, format!("no answer at the deadline: {request:?}"));
        }
    };
    if was_killed(request, history) {
        return;
    }
    let lasted = request.ended - request.sent;
    let is_lost = match error {
        ReadError::Malformed => true,
        ReadError::ClosedWithin => !is_cut_at_the_end(request, history),
        ReadError::ClosedBefore => {
            index.passed_on.contains(request.attempt.as_str()) || lasted > constants::LOSS_SLACK
        }
    };
    if is_lost {
        let begun = index.begun_at(&request.attempt);
        found.add(Rule::Lost, format!("closed after {lasted:?}, begun at {begun:?}: {request:?}"));
    }
}

/// When this was done to the router that had the request.
fn router_events<'a>(
    request: &'a Request,
    history: &'a History,
    action: Action,
) -> impl Iterator<Item = At> + 'a {
    let is_wanted = move |event: &&ProcessEvent| {
        event.machine == request.machine
            && event.program == Program::Router
            && event.action == action
    };
    history.processes.iter().filter(is_wanted).map(|event| event.at)
}

/// Whether the router was killed while it had the request.
fn was_killed(request: &Request, history: &History) -> bool {
    let span = request.sent..=request.ended;
    router_events(request, history, Action::Killed).any(|at| span.contains(&at))
}

/// A response that had begun, of a request that came early enough, when the grace period of its router was nearly over.
fn is_cut_at_the_end(request: &Request, history: &History) -> bool {
    let last_sixth = constants::GRACE * 5 / 6;
    router_events(request, history, Action::Terminated).any(|terminated| {
        request.sent <= terminated + constants::LATE_AFTER_SIGTERM
            && request.ended >= terminated + last_sixth
    })
}

fn check_answer(request: &Request, index: &Index, found: &mut Findings) {
    let begun = index.begun_at(&request.attempt);
    if request.kind != Kind::Safe && begun.len() > 1 {
        found.add(Rule::Twice, format!("begun at {begun:?}: {request:?}"));
    }
    let Ending::Answered { status, body } = &request.ending else { return };
    let is_promise = matches!(status, 408 | 421 | 429 | 503);
    if is_promise && request.kind != Kind::Safe && !begun.is_empty() {
        found.add(Rule::Refused, format!("begun at {begun:?}: {request:?}"));
    }
    if *status == 200 && !begun.iter().any(|engine| is_answer_of(request, engine, body)) {
        found.add(Rule::Mixed, format!("begun at {begun:?}: {request:?}"));
    }
}

fn is_answer_of(request: &Request, engine: &str, body: &str) -> bool {
    let own = format!("{} {engine}", request.attempt);
    if request.kind != Kind::Stream {
        return body == own;
    }
    let event = |number| format!("id: {number}\ndata: {own}\n\n");
    body == (1..=constants::STREAM_EVENTS).map(event).collect::<String>()
}

fn check_drains(history: &History, found: &mut Findings) {
    let acknowledged: HashMap<&str, At> =
        history.departures.iter().map(|d| (d.engine.as_str(), d.acknowledged)).collect();
    let requests: HashMap<&str, &Request> =
        history.requests.iter().map(|request| (request.attempt.as_str(), request)).collect();
    for arrival in &history.arrivals {
        let Some(acknowledged) = acknowledged.get(arrival.engine.as_str()) else { continue };
        let Some(request) = requests.get(arrival.attempt.as_str()) else { continue };
        let is_late = arrival.at > *acknowledged + constants::DRAIN;
        if is_late && is_in_touch(history, request.machine, request.sent, arrival.at) {
            let late = arrival.at - *acknowledged;
            let why = format!("{late:?} after the acknowledgement: {arrival:?} {request:?}");
            found.add(Rule::Drain, why);
        }
    }
}

/// Whether nothing disturbed a router or any controller in a span and the time before it.
fn is_in_touch(history: &History, machine: usize, from: At, to: At) -> bool {
    let span = from.saturating_sub(constants::CONTACT)..=to;
    !history.processes.iter().any(|event| {
        let counts = event.program == Program::Controller || event.machine == machine;
        counts && event.action != Action::HungUp && span.contains(&event.at)
    })
}

fn check_processes(history: &History, found: &mut Findings) {
    let is_wrong = |action| matches!(action, Action::Overran | Action::Died);
    for event in history.processes.iter().filter(|event| is_wrong(event.action)) {
        found.add(Rule::Process, format!("{event:?}"));
    }
}

fn check_configuration(history: &History, found: &mut Findings) {
    let acknowledged = history.acknowledged_version;
    if history.last_version.is_none_or(|version| version < acknowledged) {
        let last = history.last_version;
        found.add(Rule::Config, format!("{acknowledged} was acknowledged, {last:?} is read back"));
    }
}

fn check_that_it_shows_something(history: &History, found: &mut Findings) {
    let is_served =
        |request: &&Request| matches!(request.ending, Ending::Answered { status: 200, .. });
    let (served, all) = (history.requests.iter().filter(is_served).count(), history.requests.len());
    if served * 2 < all || served < 100 || history.departures.is_empty() {
        let departures = history.departures.len();
        found.add(Rule::Vacuous, format!("{served} of {all} served, {departures} departures"));
    }
}

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
