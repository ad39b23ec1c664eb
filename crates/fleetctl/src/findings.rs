//! Checks of a configuration: errors that make it invalid, and warnings about its effect on the current fleet.

use crate::query::CurrentState;
use fleet_core::configuration::{ConfigError, Configuration, Route};

/// Severity of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Controllers would reject the configuration.
    Error,
    /// Controllers would accept the configuration, but it may disrupt service in the current fleet.
    Warning,
}

/// A problem with a configuration.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    /// How serious it is.
    pub weight: Severity,
    /// Stable machine-readable name; README.md lists them.
    pub code: &'static str,
    /// Path of the affected field in the configuration, such as `routes[0].timeoutMs`.
    pub place: String,
    /// Human-readable description.
    pub text: String,
}

fn warning(code: &'static str, place: String, text: String) -> Finding {
    Finding { weight: Severity::Warning, code, place, text }
}

fn error_finding(error: &ConfigError) -> Finding {
    let text = error.to_string();
    let place = text.split(':').next().unwrap_or_default().to_owned();
    Finding { weight: Severity::Error, code: error.code(), place, text }
}

/// Parses a configuration and validates it as a controller does, without regard to the fleet.
///
/// # Errors
///
/// Returns what makes the configuration invalid. The remaining checks need a valid one, so this is the only finding.
pub fn parse(body: &[u8]) -> Result<Configuration, Finding> {
    Configuration::parse(body).map_err(|e| error_finding(&e))
}

/// Checks a valid configuration against the active one and the current fleet.
pub fn check(new: &Configuration, state: &CurrentState) -> Vec<Finding> {
    let mut findings = Vec::new();
    if let Some(old) = &state.configuration {
        if new.revision <= old.revision {
            let (version, current) = (new.revision, old.revision);
            findings.push(error_finding(&ConfigError::VersionNotAbove { version, current }));
        }
        removed_routes(new, old, &mut findings);
        removed_keys(new, old, &mut findings);
        newly_isolated(new, old, &mut findings);
    }
    routes_without_engines(new, state, &mut findings);
    mismatched_slots(new, state, &mut findings);
    timeouts_below_target(new, &mut findings);
    insufficient_connections(new, state, &mut findings);
    findings
}

fn match_same_requests(a: &Route, b: &Route) -> bool {
    a.host.eq_ignore_ascii_case(&b.host) && a.path_prefix == b.path_prefix
}

fn removed_routes(new: &Configuration, old: &Configuration, findings: &mut Vec<Finding>) {
    let remains = |route: &Route| new.routes.iter().any(|other| match_same_requests(other, route));
    for route in old.routes.iter().filter(|route| !remains(route)) {
        let text = format!("{}{} is no longer served", route.host, route.path_prefix);
        findings.push(warning("removed_route", "routes".to_owned(), text));
    }
}

fn removed_keys(new: &Configuration, old: &Configuration, findings: &mut Vec<Finding>) {
    let remains = |key: &String| new.tenants.iter().any(|tenant| tenant.api_keys.contains(key));
    for tenant in &old.tenants {
        let removed = tenant.api_keys.iter().filter(|key| !remains(key)).count();
        if removed == 0 {
            continue;
        }
        let index = new.tenants.iter().position(|other| other.name == tenant.name);
        let place = index.map_or("tenants".to_owned(), |i| format!("tenants[{i}].apiKeys"));
        let text = format!("{removed} API keys of tenant `{}` are removed", tenant.name);
        findings.push(warning("removed_key", place, text));
    }
}

fn newly_isolated(new: &Configuration, old: &Configuration, findings: &mut Vec<Finding>) {
    for (i, tenant) in new.tenants.iter().enumerate().filter(|(_, tenant)| tenant.isolated) {
        if old.tenants.iter().any(|other| other.name == tenant.name && other.isolated) {
            continue;
        }
        let text = format!(
            "tenant `{}` becomes isolated: cached prompts that tenants share are invalidated",
            tenant.name
        );
        findings.push(warning("newly_isolated", format!("tenants[{i}].isolated"), text));
    }
}

/// Number of engines of a service that are ready and send heartbeats.
fn ready_engine_count(state: &CurrentState, service: &str) -> usize {
    let engines = state.fleet.engines.iter().filter(|engine| engine.service == service);
    engines.filter(|engine| engine.state == "ready" && !engine.heartbeat_missed).count()
}

/// Whether some service with a weight above 0 on this route has a ready engine.
fn has_ready_engine(state: &CurrentState, route: &Route) -> bool {
    route
        .weighted_services()
        .iter()
        .any(|(service, weight)| *weight > 0 && ready_engine_count(state, service) > 0)
}

fn routes_without_engines(new: &Configuration, state: &CurrentState, findings: &mut Vec<Finding>) {
    for (i, route) in new.routes.iter().enumerate() {
        let weighted_services =
            route.weighted_services().into_iter().filter(|(_, weight)| *weight > 0);
        for (service, _) in
            weighted_services.filter(|(service, _)| ready_engine_count(state, service) == 0)
        {
            let text = format!("service `{service}` has no ready engine");
            findings.push(warning("no_ready_engine", format!("routes[{i}]"), text));
        }
        let active_routes = state.configuration.iter().flat_map(|old| &old.routes);
        let active_route = active_routes.into_iter().find(|old| match_same_requests(old, route));
        if active_route.is_some_and(|old| has_ready_engine(state, old))
            && !has_ready_engine(state, route)
        {
            let text =
                format!("{}{} would lose all its ready engines", route.host, route.path_prefix);
            findings.push(warning("loses_engines", format!("routes[{i}]"), text));
        }
    }
}

fn mismatched_slots(new: &Configuration, state: &CurrentState, findings: &mut Vec<Finding>) {
    for (i, service) in new.services.iter().enumerate() {
        let Some(declared) = &service.engine else { continue };
        let engines = state.fleet.engines.iter().filter(|engine| engine.service == service.name);
        let live = engines.filter(|engine| engine.state != "gone");
        let mismatched = live.filter(|engine| engine.slots != declared.slots).count();
        if mismatched > 0 {
            let text =
                format!("{mismatched} engines report a slot count other than {}", declared.slots);
            findings.push(warning("facts_differ", format!("services[{i}].engine.slots"), text));
        }
    }
}

fn timeouts_below_target(new: &Configuration, findings: &mut Vec<Finding>) {
    for (i, route) in new.routes.iter().enumerate() {
        let (timeout, target) = (route.timeout_ms, route.target_ms);
        if timeout < target {
            let text = format!("the timeout of {timeout} ms is below the target of {target} ms");
            findings.push(warning("timeout_below_aim", format!("routes[{i}].timeoutMs"), text));
        }
    }
}

fn insufficient_connections(
    new: &Configuration,
    state: &CurrentState,
    findings: &mut Vec<Finding>,
) {
    let routers = state.fleet.routers;
    for (i, service) in new.services.iter().enumerate() {
        if service.kv_store.is_none() && service.max_conns < routers {
            let text = format!(
                "{} connections per engine are fewer than the {routers} live routers",
                service.max_conns
            );
            findings.push(warning("conns_too_few", format!("services[{i}].maxConns"), text));
        }
    }
}

#[cfg(test)]
#[path = "findings_tests.rs"]
mod tests;
