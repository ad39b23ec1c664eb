//! What is wrong with a configuration, and what is valid but unwise now.

use crate::query::AsItIs;
use fleet_core::configuration::{ConfigError, Configuration, Route};

/// How much a finding weighs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Weight {
    /// The configuration would be refused.
    Error,
    /// It would be taken, and is unwise for the fleet as it is.
    Warning,
}

/// Something to tell about a configuration.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    /// How much it weighs.
    pub weight: Weight,
    /// Stable name, for programs; README.md lists them.
    pub code: &'static str,
    /// Path in the configuration.
    pub place: String,
    /// What is wrong, for people.
    pub text: String,
}

fn warning(code: &'static str, place: String, text: String) -> Finding {
    Finding { weight: Weight::Warning, code, place, text }
}

fn error(error: &ConfigError) -> Finding {
    let text = error.to_string();
    let place = text.split(':').next().unwrap_or_default().to_owned();
    Finding { weight: Weight::Error, code: error.code(), place, text }
}

/// Invalid by itself: the controller's own check, and nothing else can be said then.
///
/// # Errors
///
/// What makes it invalid, with its place.
pub fn read(body: &[u8]) -> Result<Configuration, Finding> {
    Configuration::read(body).map_err(|e| error(&e))
}

/// What is to be said of a configuration that is valid by itself.
pub fn findings(new: &Configuration, now: &AsItIs) -> Vec<Finding> {
    let mut found = Vec::new();
    if let Some(old) = &now.in_force {
        if new.revision <= old.revision {
            let (version, current) = (new.revision, old.revision);
            found.push(error(&ConfigError::VersionNotAbove { version, current }));
        }
        removed_routes(new, old, &mut found);
        removed_keys(new, old, &mut found);
        newly_isolated(new, old, &mut found);
    }
    engines_of_routes(new, now, &mut found);
    differing_facts(new, now, &mut found);
    short_timeouts(new, &mut found);
    few_connections(new, now, &mut found);
    found
}

fn same_place(a: &Route, b: &Route) -> bool {
    a.host.eq_ignore_ascii_case(&b.host) && a.path_prefix == b.path_prefix
}

fn removed_routes(new: &Configuration, old: &Configuration, found: &mut Vec<Finding>) {
    let remains = |route: &Route| new.routes.iter().any(|other| same_place(other, route));
    for route in old.routes.iter().filter(|route| !remains(route)) {
        let text = format!("{}{} is no longer served", route.host, route.path_prefix);
        found.push(warning("removed_route", "routes".to_owned(), text));
    }
}

fn removed_keys(new: &Configuration, old: &Configuration, found: &mut Vec<Finding>) {
    let remains = |key: &String| new.tenants.iter().any(|tenant| tenant.api_keys.contains(key));
    for tenant in &old.tenants {
        let removed = tenant.api_keys.iter().filter(|key| !remains(key)).count();
        if removed == 0 {
            continue;
        }
        let index = new.tenants.iter().position(|other| other.name == tenant.name);
        let place = index.map_or("tenants".to_owned(), |i| format!("tenants[{i}].apiKeys"));
        let text = format!("{removed} keys of tenant `{}` are taken away", tenant.name);
        found.push(warning("removed_key", place, text));
    }
}

fn newly_isolated(new: &Configuration, old: &Configuration, found: &mut Vec<Finding>) {
    for (i, tenant) in new.tenants.iter().enumerate().filter(|(_, tenant)| tenant.isolated) {
        if old.tenants.iter().any(|other| other.name == tenant.name && other.isolated) {
            continue;
        }
        let text = format!(
            "tenant `{}` becomes isolated: the shared parts of all are read again",
            tenant.name
        );
        found.push(warning("newly_isolated", format!("tenants[{i}].isolated"), text));
    }
}

/// Ready engines of a service, as far as they are heard.
fn ready_engines(now: &AsItIs, service: &str) -> usize {
    let engines = now.fleet.engines.iter().filter(|engine| engine.service == service);
    engines.filter(|engine| engine.state == "ready" && !engine.heartbeat_missed).count()
}

/// Whether a route can be answered: some service with weight has a ready engine.
fn is_served(now: &AsItIs, route: &Route) -> bool {
    route.shares().iter().any(|(service, weight)| *weight > 0 && ready_engines(now, service) > 0)
}

fn engines_of_routes(new: &Configuration, now: &AsItIs, found: &mut Vec<Finding>) {
    for (i, route) in new.routes.iter().enumerate() {
        let shares = route.shares().into_iter().filter(|(_, weight)| *weight > 0);
        for (service, _) in shares.filter(|(service, _)| ready_engines(now, service) == 0) {
            let text = format!("service `{service}` has no ready engine");
            found.push(warning("no_ready_engine", format!("routes[{i}]"), text));
        }
        let routes_now = now.in_force.iter().flat_map(|old| &old.routes);
        let before = routes_now.into_iter().find(|old| same_place(old, route));
        if before.is_some_and(|old| is_served(now, old)) && !is_served(now, route) {
            let text = format!("{}{} loses its only engines", route.host, route.path_prefix);
            found.push(warning("loses_engines", format!("routes[{i}]"), text));
        }
    }
}

fn differing_facts(new: &Configuration, now: &AsItIs, found: &mut Vec<Finding>) {
    for (i, service) in new.services.iter().enumerate() {
        let Some(facts) = &service.engine else { continue };
        let engines = now.fleet.engines.iter().filter(|engine| engine.service == service.name);
        let live = engines.filter(|engine| engine.state != "gone");
        let differing = live.filter(|engine| engine.slots != facts.slots).count();
        if differing > 0 {
            let text = format!("{differing} engines report other slots than {}", facts.slots);
            found.push(warning("facts_differ", format!("services[{i}].engine.slots"), text));
        }
    }
}

fn short_timeouts(new: &Configuration, found: &mut Vec<Finding>) {
    for (i, route) in new.routes.iter().enumerate() {
        let (timeout, target) = (route.timeout_ms, route.target_ms);
        if timeout < target {
            let text = format!("time-out {timeout} ms is below the aim of {target} ms");
            found.push(warning("timeout_below_aim", format!("routes[{i}].timeoutMs"), text));
        }
    }
}

fn few_connections(new: &Configuration, now: &AsItIs, found: &mut Vec<Finding>) {
    let routers = now.fleet.routers;
    for (i, service) in new.services.iter().enumerate() {
        if service.kv_store.is_none() && service.max_conns < routers {
            let text = format!("{} connections for {routers} live routers", service.max_conns);
            found.push(warning("conns_too_few", format!("services[{i}].maxConns"), text));
        }
    }
}

#[cfg(test)]
#[path = "findings_tests.rs"]
mod tests;
