//! Checks what the models of the engines did: whose prompt parts requests used, and under which weights they began.

use crate::checker::{Findings, Rule, is_connected};
use crate::constants;
use crate::history::{History, ModelRun, NamedVersion, Request, SentConfiguration, Timestamp};

/// Adds the violations of [`Rule::Wall`] and [`Rule::Version`].
pub fn check_model_runs(history: &History, findings: &mut Findings) {
    let requests = history.requests_by_attempt();
    for run in &history.model_runs {
        let Some(request) = requests.get(run.attempt.as_str()) else { continue };
        check_wall(run, request, history, findings);
        check_version(run, request, history, findings);
    }
}

/// Whether every configuration that may be in force at a time isolates a tenant, and the newest of those that must be in
/// force has been so for [`constants::APPLY_PERIOD`].
fn must_be_isolated(configurations: &[SentConfiguration], tenant: &str, at: Timestamp) -> bool {
    let must_be_in_force = |configuration: &SentConfiguration| {
        configuration.acknowledged.is_some_and(|acked| acked + constants::APPLY_PERIOD < at)
    };
    let Some(oldest) = configurations.iter().rposition(must_be_in_force) else { return false };
    let mut possible = configurations[oldest..].iter().filter(|possible| possible.sent <= at);
    possible.all(|possible| possible.isolated.contains(&tenant))
}

fn check_wall(run: &ModelRun, request: &Request, history: &History, findings: &mut Findings) {
    let is_isolated = |tenant: &str| must_be_isolated(&history.configurations, tenant, run.at);
    let crosses_wall =
        |maker: &&String| **maker != run.tenant && (is_isolated(maker) || is_isolated(&run.tenant));
    let Some(maker) = run.begun.makers.iter().find(crosses_wall) else { return };
    let from = run.at.saturating_sub(constants::APPLY_PERIOD);
    if is_connected(history, request.machine, from, run.at) {
        findings.add(Rule::Wall, format!("uses a part of {maker}: {run:?} {request:?}"));
    }
}

fn check_version(run: &ModelRun, request: &Request, history: &History, findings: &mut Findings) {
    let is_newer = |named: &&NamedVersion| named.version > run.begun.version;
    let newer = history.named_versions.iter().filter(is_newer);
    let Some(since) = newer.map(|named| named.acknowledged).min() else { return };
    let is_late = run.at > since + constants::VERSION_PERIOD;
    if is_late && is_connected(history, request.machine, since, run.at) {
        let age = run.at - since;
        findings.add(Rule::Version, format!("{age:?} after a newer version: {run:?} {request:?}"));
    }
}

#[cfg(test)]
#[path = "model_checker_tests.rs"]
mod tests;
