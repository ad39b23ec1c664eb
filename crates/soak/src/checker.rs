//! Checks a history against the rules.

use crate::constants;
use crate::history::{
    Action, Ending, EngineEvent, History, ProcessEvent, Program, Request, Timestamp,
};
use crate::http::ReadError;
use crate::model_checker::check_model_runs;
use std::collections::HashMap;

/// A rule that users of the fleet rely on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Rule {
    /// A request that a router has read gets a response, except when the router is killed or its grace period ends.
    Lost,
    /// An engine receives no requests later than `drainMs` after its departure was acknowledged.
    Drain,
    /// A request that may run at most once does not run twice.
    Twice,
    /// A refused request has not run.
    Refused,
    /// A successful response is the engine's complete response to this request.
    Mixed,
    /// A request uses no prompt part that a request of another tenant made, once either tenant is isolated.
    Wall,
    /// A request does not begin on older weights later than `versionMs` after a newer version was acknowledged.
    Version,
    /// The acknowledged configuration, or a newer one, is read back.
    Config,
    /// A process ends within the grace period after SIGTERM, and never unexpectedly.
    Process,
    /// No process uses more memory than the smallest machines have, whatever a faulty engine sends.
    Memory,
    /// The run was meaningful: at least half of the requests were served, at least 100, and an engine departed.
    Vacuous,
}

/// A broken rule.
#[derive(Debug, Clone)]
pub struct Violation {
    /// The rule that was broken.
    pub rule: Rule,
    /// The events that broke it.
    pub why: String,
}

/// Returns all violations in a history; empty if every rule holds.
pub fn check(history: &History) -> Vec<Violation> {
    let mut findings = Findings::default();
    let index = Index::of(history);
    for request in &history.requests {
        check_ending(request, history, &index, &mut findings);
        check_response(request, &index, &mut findings);
    }
    check_drains(history, &mut findings);
    check_model_runs(history, &mut findings);
    check_processes(history, &mut findings);
    check_memory(history, &mut findings);
    check_configuration(history, &mut findings);
    check_not_vacuous(history, &mut findings);
    findings.0
}

/// The violations found so far.
#[derive(Default)]
pub struct Findings(Vec<Violation>);

impl Findings {
    /// Adds a violation.
    pub fn add(&mut self, rule: Rule, why: String) {
        self.0.push(Violation { rule, why });
    }
}

/// Requests that reached engines, by attempt id.
struct Index<'a> {
    /// The engine that each request reached last.
    last_engine: HashMap<&'a str, &'a str>,
    faulty_engines: &'a [String],
    executions: HashMap<&'a str, Vec<&'a str>>,
}

impl<'a> Index<'a> {
    fn of(history: &'a History) -> Index<'a> {
        let arrival = |event: &'a EngineEvent| (event.attempt.as_str(), event.engine.as_str());
        let last_engine = history.arrivals.iter().map(arrival).collect();
        let mut executions: HashMap<&str, Vec<&str>> = HashMap::new();
        for event in &history.executions {
            executions.entry(&event.attempt).or_default().push(&event.engine);
        }
        Index { last_engine, faulty_engines: &history.faulty_engines, executions }
    }

    fn was_at_faulty_engine(&self, attempt: &str) -> bool {
        let last = self.last_engine.get(attempt);
        last.is_some_and(|last| self.faulty_engines.iter().any(|engine| engine == last))
    }

    fn executed_by(&self, attempt: &str) -> &[&'a str] {
        self.executions.get(attempt).map_or(&[], Vec::as_slice)
    }
}

fn check_ending(request: &Request, history: &History, index: &Index, findings: &mut Findings) {
    let error = match &request.ending {
        Ending::Answered { .. } => return,
        Ending::Closed(error) => *error,
        Ending::TimedOut => {
            return findings
                .add(Rule::Lost, format!("no response before the client's timeout: {request:?}"));
        }
    };
    if was_killed(request, history) {
        return;
    }
    let duration = request.ended - request.sent;
    let is_lost = match error {
        ReadError::Malformed => true,
        ReadError::ClosedWithin => {
            !index.was_at_faulty_engine(&request.attempt)
                && !was_cut_off_by_grace_period(request, history)
        }
        ReadError::ClosedBefore => {
            index.last_engine.contains_key(request.attempt.as_str())
                || duration > constants::UNFORWARDED_RESPONSE_LIMIT
        }
    };
    if is_lost {
        let executions = index.executed_by(&request.attempt);
        findings.add(
            Rule::Lost,
            format!("closed after {duration:?}, executed by {executions:?}: {request:?}"),
        );
    }
}

/// The times of one action on the router that handled the request.
fn router_events<'a>(
    request: &'a Request,
    history: &'a History,
    action: Action,
) -> impl Iterator<Item = Timestamp> + 'a {
    let is_match = move |event: &&ProcessEvent| {
        event.machine == request.machine
            && event.program == Program::Router
            && event.action == action
    };
    history.processes.iter().filter(is_match).map(|event| event.at)
}

/// Whether the router was killed while it handled the request.
fn was_killed(request: &Request, history: &History) -> bool {
    let span = request.sent..=request.ended;
    router_events(request, history, Action::Killed).any(|at| span.contains(&at))
}

/// Whether the response was cut off near the end of its router's grace period. This is allowed only if the request was
/// sent early enough, within [`constants::LATE_REQUEST_THRESHOLD`].
fn was_cut_off_by_grace_period(request: &Request, history: &History) -> bool {
    let near_end = constants::GRACE_PERIOD * 5 / 6;
    router_events(request, history, Action::Terminated).any(|terminated| {
        request.sent <= terminated + constants::LATE_REQUEST_THRESHOLD
            && request.ended >= terminated + near_end
    })
}

fn check_response(request: &Request, index: &Index, findings: &mut Findings) {
    let executions = index.executed_by(&request.attempt);
    if request.kind.runs_at_most_once() && executions.len() > 1 {
        findings.add(Rule::Twice, format!("executed by {executions:?}: {request:?}"));
    }
    let Ending::Answered { status, body } = &request.ending else { return };
    let is_refusal = matches!(status, 408 | 421 | 429 | 503);
    if is_refusal && request.kind.runs_at_most_once() && !executions.is_empty() {
        findings.add(Rule::Refused, format!("executed by {executions:?}: {request:?}"));
    }
    if *status == 200 && !executions.iter().any(|engine| is_response_to(request, engine, body)) {
        findings.add(Rule::Mixed, format!("executed by {executions:?}: {request:?}"));
    }
}

fn is_response_to(request: &Request, engine: &str, body: &str) -> bool {
    let expected = format!("{} {engine}", request.attempt);
    if !request.kind.is_stream() {
        return body == expected;
    }
    let event = |number| format!("id: {number}\ndata: {expected}\n\n");
    body == (1..=constants::STREAM_EVENTS).map(event).collect::<String>()
}

fn check_drains(history: &History, findings: &mut Findings) {
    let acknowledged: HashMap<&str, Timestamp> =
        history.departures.iter().map(|d| (d.engine.as_str(), d.acknowledged)).collect();
    let requests = history.requests_by_attempt();
    for arrival in &history.arrivals {
        let Some(acknowledged) = acknowledged.get(arrival.engine.as_str()) else { continue };
        let Some(request) = requests.get(arrival.attempt.as_str()) else { continue };
        let is_late = arrival.at > *acknowledged + constants::DRAIN_PERIOD;
        if is_late && is_connected(history, request.machine, request.sent, arrival.at) {
            let late = arrival.at - *acknowledged;
            let why = format!("{late:?} after the acknowledgement: {arrival:?} {request:?}");
            findings.add(Rule::Drain, why);
        }
    }
}

/// Whether neither the router nor any controller was disrupted in a time span or in [`constants::CONTACT_PERIOD`]
/// before it.
pub fn is_connected(history: &History, machine: usize, from: Timestamp, to: Timestamp) -> bool {
    let span = from.saturating_sub(constants::CONTACT_PERIOD)..=to;
    !history.processes.iter().any(|event| {
        let counts = event.program == Program::Controller || event.machine == machine;
        counts && event.action != Action::HungUp && span.contains(&event.at)
    })
}

fn check_processes(history: &History, findings: &mut Findings) {
    let is_violation = |action| matches!(action, Action::KilledAfterGrace | Action::Died);
    for event in history.processes.iter().filter(|event| is_violation(event.action)) {
        findings.add(Rule::Process, format!("{event:?}"));
    }
}

fn check_memory(history: &History, findings: &mut Findings) {
    for peak in &history.peaks {
        if peak.bytes > constants::MACHINE_MEMORY_BYTES {
            findings.add(Rule::Memory, format!("{peak:?}"));
        }
    }
}

fn check_configuration(history: &History, findings: &mut Findings) {
    let acknowledged = history.acknowledged_version;
    if history.last_version.is_none_or(|version| version < acknowledged) {
        let last = history.last_version;
        findings.add(
            Rule::Config,
            format!("version {acknowledged} was acknowledged, but {last:?} was read back"),
        );
    }
}

fn check_not_vacuous(history: &History, findings: &mut Findings) {
    let is_served =
        |request: &&Request| matches!(request.ending, Ending::Answered { status: 200, .. });
    let (served, all) = (history.requests.iter().filter(is_served).count(), history.requests.len());
    if served * 2 < all || served < 100 || history.departures.is_empty() {
        let departures = history.departures.len();
        findings.add(Rule::Vacuous, format!("{served} of {all} served, {departures} departures"));
    }
}

#[cfg(test)]
#[path = "checker_tests.rs"]
mod tests;
