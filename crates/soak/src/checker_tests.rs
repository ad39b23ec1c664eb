use super::{Rule, check};
use crate::constants::{CONTACT_PERIOD, DRAIN_PERIOD, GRACE_PERIOD, STREAM_EVENTS};
use crate::history::{
    Action, Departure, Ending, EngineEvent, History, Kind, PeakMemory, ProcessEvent, Program,
    Recorder, Request,
};
use crate::http::ReadError;
use std::time::Duration;

const MACHINE: usize = 4;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn event(attempt: &str, engine: &str, at: Duration) -> EngineEvent {
    EngineEvent { attempt: attempt.into(), engine: engine.into(), at }
}

fn answered(status: u16, body: &str) -> Ending {
    Ending::Answered { status, body: body.into() }
}

/// A request that was sent at 10 s and ended at 14 s.
fn request(kind: Kind, ending: Ending) -> Request {
    let (sent, ended) = (seconds(10), seconds(14));
    Request { attempt: "a".into(), kind, machine: MACHINE, sent, ended, ending }
}

fn process(program: Program, action: Action, at: Duration) -> ProcessEvent {
    ProcessEvent { machine: MACHINE, program, action, at }
}

/// A history with enough served requests to be meaningful, and the given request.
fn history(request: Request) -> History {
    let mut history = History { last_version: Some(0), ..History::default() };
    for number in 0..100 {
        let mut served = self::request(Kind::Safe, answered(200, &format!("s{number} e")));
        served.attempt = format!("s{number}");
        history.executions.push(event(&served.attempt, "e", seconds(10)));
        history.requests.push(served);
    }
    history.departures.push(Departure { engine: "gone".into(), acknowledged: seconds(5) });
    history.requests.push(request);
    history
}

fn broken_rules(history: &History) -> Vec<Rule> {
    check(history).into_iter().map(|violation| violation.rule).collect()
}

#[test]
fn a_request_at_an_engine_whose_connection_closes_is_lost_unless_the_router_was_killed() {
    for (kind, is_executed) in [(Kind::Unsafe, false), (Kind::Safe, true)] {
        let mut history = history(request(kind, Ending::Closed(ReadError::ClosedBefore)));
        history.arrivals.push(event("a", "e", seconds(10)));
        if is_executed {
            history.executions.push(event("a", "e", seconds(11)));
        }
        history.processes.push(process(Program::Router, Action::Terminated, seconds(10)));
        assert_eq!(broken_rules(&history), [Rule::Lost]);
        history.processes.push(process(Program::Controller, Action::Killed, seconds(13)));
        assert_eq!(
            broken_rules(&history),
            [Rule::Lost],
            "the controller was killed, not the router"
        );
        history.processes.push(process(Program::Router, Action::Killed, seconds(13)));
        assert_eq!(broken_rules(&history), []);
    }
}

#[test]
fn an_unforwarded_request_is_lost_unless_the_connection_closed_at_once() {
    let mut unforwarded = request(Kind::Unsafe, Ending::Closed(ReadError::ClosedBefore));
    assert_eq!(broken_rules(&history(unforwarded.clone())), [Rule::Lost]);
    unforwarded.ended = unforwarded.sent + Duration::from_millis(50);
    assert_eq!(broken_rules(&history(unforwarded)), []);
    assert_eq!(broken_rules(&history(request(Kind::Safe, Ending::TimedOut))), [Rule::Lost]);
}

#[test]
fn a_stream_may_be_cut_off_only_at_the_end_of_the_grace_period() {
    let cut_after = |since_sigterm: Duration| {
        let mut history = history(request(Kind::Stream, Ending::Closed(ReadError::ClosedWithin)));
        let at = seconds(14) - since_sigterm;
        history.processes.push(process(Program::Router, Action::Terminated, at));
        broken_rules(&history)
    };
    assert_eq!(cut_after(GRACE_PERIOD), []);
    assert_eq!(cut_after(GRACE_PERIOD / 2), [Rule::Lost]);
    assert_eq!(cut_after(seconds(9)), [Rule::Lost], "it was sent later than 3 s after SIGTERM");
}

#[test]
fn connected_machines_send_no_requests_to_departed_engines() {
    let mut history = history(request(Kind::Safe, answered(504, "")));
    history.arrivals.push(event("a", "gone", seconds(11)));
    assert_eq!(broken_rules(&history), [Rule::Drain]);
    history.processes.push(process(Program::Router, Action::HungUp, seconds(10)));
    assert_eq!(broken_rules(&history), [Rule::Drain], "SIGHUP is not a disruption");
    history.departures[0].acknowledged = seconds(11) - DRAIN_PERIOD;
    assert_eq!(broken_rules(&history), [], "the drain period is not over");
    history.departures[0].acknowledged = seconds(5);
    let at = seconds(10) - CONTACT_PERIOD;
    history.processes.push(process(Program::Controller, Action::Started, at));
    assert_eq!(broken_rules(&history), [], "a controller was started shortly before");
}

#[test]
fn answered_requests_run_once_and_refused_requests_never() {
    let own_stream: String =
        (1..=STREAM_EVENTS).map(|number| format!("id: {number}\ndata: a e\n\n")).collect();
    let cases = [
        (Kind::Unsafe, answered(200, "a e"), 1, vec![]),
        (Kind::Unsafe, answered(200, "b e"), 1, vec![Rule::Mixed]),
        (Kind::Unsafe, answered(200, "a e"), 2, vec![Rule::Twice]),
        (Kind::Safe, answered(200, "a e"), 2, vec![]),
        (Kind::Unsafe, answered(503, ""), 1, vec![Rule::Refused]),
        (Kind::Unsafe, answered(502, ""), 1, vec![]),
        (Kind::Safe, answered(503, ""), 1, vec![]),
        (Kind::Stream, answered(200, &own_stream), 1, vec![]),
        (Kind::Stream, answered(200, &own_stream[..own_stream.len() - 9]), 1, vec![Rule::Mixed]),
    ];
    for (kind, ending, execution_count, rules) in cases {
        let mut history = history(request(kind, ending));
        (0..execution_count).for_each(|_| history.executions.push(event("a", "e", seconds(11))));
        assert_eq!(broken_rules(&history), rules, "{:?}", history.requests.last());
    }
}

#[test]
fn process_failures_lost_configurations_and_vacuous_runs_are_reported() {
    let mut history = history(request(Kind::Safe, answered(502, "")));
    history.processes.push(process(Program::Router, Action::KilledAfterGrace, seconds(14)));
    history.processes.push(process(Program::Controller, Action::Died, seconds(14)));
    history.acknowledged_version = 3;
    history.last_version = Some(2);
    assert_eq!(broken_rules(&history), [Rule::Process, Rule::Process, Rule::Config]);
    let nothing = History { last_version: Some(0), ..History::default() };
    assert_eq!(broken_rules(&nothing), [Rule::Vacuous]);
}

#[test]
fn response_of_a_faulty_engine_may_break_off_but_not_be_missing() {
    for (error, engine, is_lost) in [
        (ReadError::ClosedWithin, "faulty", false),
        (ReadError::ClosedWithin, "e", true),
        (ReadError::ClosedBefore, "faulty", true),
        (ReadError::Malformed, "faulty", true),
    ] {
        let mut history = history(request(Kind::Unsafe, Ending::Closed(error)));
        history.faulty_engines.push("faulty".into());
        history.arrivals.push(event("a", engine, seconds(10)));
        assert_eq!(!broken_rules(&history).is_empty(), is_lost, "{error:?} {engine}");
    }
}

#[test]
fn the_peak_memory_of_a_process_is_bounded_by_its_machine() {
    use crate::constants::MACHINE_MEMORY_BYTES;
    let recorder = Recorder::default();
    for bytes in [MACHINE_MEMORY_BYTES, 1] {
        recorder.add_memory(PeakMemory { machine: 1, program: Program::Router, bytes });
    }
    let mut history = history(request(Kind::Safe, answered(503, "")));
    history.peaks = recorder.take().peaks;
    assert_eq!(history.peaks.len(), 1);
    assert!(broken_rules(&history).is_empty());
    history.peaks[0].bytes += 1;
    assert_eq!(broken_rules(&history), [Rule::Memory]);
}
