use super::*;
use crate::checker::check;
use crate::engine_model::Begun;
use crate::history::{Action, Ending, Kind, NamedVersion, ProcessEvent, Program};
use std::time::Duration;

const MACHINE: usize = 4;

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A request of `t0` that was sent at 10 s and began at 20 s on weights of version 1, with a part that `t1` had made.
fn history() -> History {
    let request = Request {
        attempt: "a".into(),
        kind: Kind::Safe,
        machine: MACHINE,
        sent: seconds(10),
        ended: seconds(21),
        ending: Ending::Answered { status: 502, body: String::new() },
    };
    let run = ModelRun {
        attempt: "a".into(),
        engine: "e".into(),
        at: seconds(20),
        tenant: "t0".into(),
        begun: Begun { version: 1, makers: vec!["t1".into()] },
    };
    History { requests: vec![request], model_runs: vec![run], ..History::default() }
}

fn sent(isolated: &[&'static str], sent: u64, acknowledged: Option<u64>) -> SentConfiguration {
    let acknowledged = acknowledged.map(seconds);
    SentConfiguration { isolated: isolated.to_vec(), sent: seconds(sent), acknowledged }
}

fn breaks(rule: Rule, history: &History) -> bool {
    check(history).iter().any(|violation| violation.rule == rule)
}

fn breaks_wall(configurations: Vec<SentConfiguration>) -> bool {
    breaks(Rule::Wall, &History { configurations, ..history() })
}

#[test]
fn a_part_of_another_tenant_may_not_be_used_once_either_is_isolated() {
    let shared = sent(&[], 1, Some(1));
    assert!(!breaks_wall(vec![shared.clone()]));
    for tenant in ["t0", "t1"] {
        assert!(breaks_wall(vec![shared.clone(), sent(&[tenant], 17, Some(17))]));
        assert!(!breaks_wall(vec![shared.clone(), sent(&[tenant], 17, Some(19))]), "applyMs");
        assert!(!breaks_wall(vec![shared.clone(), sent(&[tenant], 17, None)]));
        let may_be_shared_again = sent(&[], 19, None);
        assert!(!breaks_wall(vec![sent(&[tenant], 1, Some(1)), may_be_shared_again]));
    }
    assert!(!breaks_wall(vec![sent(&["t2"], 1, Some(1))]));
}

#[test]
fn a_part_of_the_same_tenant_may_always_be_used() {
    let mut history = history();
    history.configurations = vec![sent(&["t0", "t1"], 1, Some(1))];
    history.model_runs[0].begun.makers = vec!["t0".into()];
    assert!(!breaks(Rule::Wall, &history));
}

#[test]
fn a_request_may_not_begin_on_older_weights_after_the_bound_of_a_newer_version() {
    let named = |version, at| NamedVersion { version, acknowledged: seconds(at) };
    let late = 20 - constants::VERSION_PERIOD.as_secs() - 1;
    for (named_versions, is_broken) in [
        (vec![named(2, late)], true),
        (vec![named(2, late), named(3, 19)], true),
        (vec![named(2, late + 1)], false),
        (vec![named(1, late)], false),
    ] {
        let history = History { named_versions, ..history() };
        assert_eq!(breaks(Rule::Version, &history), is_broken, "{:?}", history.named_versions);
    }
}

#[test]
fn neither_counts_while_the_machine_is_out_of_touch() {
    let mut history = history();
    history.configurations = vec![sent(&["t0"], 1, Some(1))];
    history.named_versions = vec![NamedVersion { version: 2, acknowledged: seconds(12) }];
    assert!(breaks(Rule::Wall, &history) && breaks(Rule::Version, &history));
    let (program, action) = (Program::Controller, Action::Killed);
    history.processes.push(ProcessEvent { machine: 0, program, action, at: seconds(16) });
    assert!(!breaks(Rule::Wall, &history) && !breaks(Rule::Version, &history));
}
