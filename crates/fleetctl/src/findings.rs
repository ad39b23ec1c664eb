//! What is wrong with a configuration, and what is valid but unwise now.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use crate::ask::AsItIs;
use fleet_core::configuration::{ConfigError, Configuration, Route};

#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Weight {
    Error,
    Warning,
}

#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct Finding {
    pub weight: Weight,
    pub code: &'static str,
    pub place: String,
    pub text: String,
}

fn warn(code: &'static str, place: String, text: String) -> Finding {
    Finding { weight: Weight::Warning, code, place, text }
}

fn error(p: &ConfigError) -> Finding {
    let text = p.to_string();
    let place = text.split(':').next().unwrap_or_default().to_owned();
    Finding { weight: Weight::Error, code: p.code(), place, text }
}

/// Invalid by itself: the controller's own check, and nothing else can be said then.
pub fn read(body: &[u8]) -> Result<Configuration, Finding> {
    Configuration::read(body).map_err(|p| error(&p))
}

pub fn findings(c: &Configuration, now: &AsItIs) -> Vec<Finding> {
    let mut out = Vec::new();
    if let Some(old) = &now.in_force {
        if c.revision <= old.revision {
            let p = ConfigError::VersionNotAbove { version: c.revision, current: old.revision };
            out.push(error(&p));
        }
        removed(c, old, &mut out);
        isolated(c, old, &mut out);
    }
    engines(c, now, &mut out);
    for (i, r) in c.routes.iter().enumerate() {
        if r.timeout_ms < r.target_ms {
            let text =
                format!("time-out {} ms is below the aim of {} ms", r.timeout_ms, r.target_ms);
            out.push(warn("timeout_below_aim", format!("routes[{i}].timeoutMs"), text));
        }
    }
    for (i, s) in c.services.iter().enumerate() {
        if s.kv_store.is_none() && s.max_conns < now.fleet.routers {
            let text =
                format!("{} connections for {} live routers", s.max_conns, now.fleet.routers);
            out.push(warn("conns_too_few", format!("services[{i}].maxConns"), text));
        }
    }
    out
}

fn same_place(a: &Route, b: &Route) -> bool {
    a.host.eq_ignore_ascii_case(&b.host) && a.path_prefix == b.path_prefix
}

fn removed(c: &Configuration, old: &Configuration, out: &mut Vec<Finding>) {
    for r in old.routes.iter().filter(|r| !c.routes.iter().any(|n| same_place(n, r))) {
        let text = format!("{}{} is no longer served", r.host, r.path_prefix);
        out.push(warn("removed_route", "routes".to_owned(), text));
    }
    let holds = |key: &String| c.tenants.iter().any(|t| t.api_keys.contains(key));
    for t in &old.tenants {
        let gone = t.api_keys.iter().filter(|k| !holds(k)).count();
        if gone > 0 {
            let at = c.tenants.iter().position(|n| n.name == t.name);
            let place = at.map_or("tenants".to_owned(), |i| format!("tenants[{i}].apiKeys"));
            let text = format!("{gone} keys of tenant `{}` are taken away", t.name);
            out.push(warn("removed_key", place, text));
        }
    }
}

fn isolated(c: &Configuration, old: &Configuration, out: &mut Vec<Finding>) {
    for (i, t) in c.tenants.iter().enumerate().filter(|(_, t)| t.isolated) {
        if !old.tenants.iter().any(|o| o.name == t.name && o.isolated) {
            let text = format!(
                "tenant `{}` becomes isolated: the shared parts of all are read again",
                t.name
            );
            out.push(warn("newly_isolated", format!("tenants[{i}].isolated"), text));
        }
    }
}

fn engines(c: &Configuration, now: &AsItIs, out: &mut Vec<Finding>) {
    let ready = |service: &str| {
        now.fleet
            .engines
            .iter()
            .filter(|e| e.service == service && e.standing == "ready" && !e.silent)
            .count()
    };
    for (i, r) in c.routes.iter().enumerate() {
        let shares: Vec<_> = r.shares().into_iter().filter(|(_, w)| *w > 0).collect();
        for (service, _) in shares.iter().filter(|(s, _)| ready(s) == 0) {
            let text = format!("service `{service}` has no ready engine");
            out.push(warn("no_ready_engine", format!("routes[{i}]"), text));
        }
        let before = now.in_force.iter().flat_map(|o| &o.routes).find(|o| same_place(o, r));
        let had = before.is_some_and(|o| o.shares().iter().any(|(s, w)| *w > 0 && ready(s) > 0));
        if had && shares.iter().all(|(s, _)| ready(s) == 0) {
            let text = format!("{}{} loses its only engines", r.host, r.path_prefix);
            out.push(warn("loses_engines", format!("routes[{i}]"), text));
        }
    }
    for (i, s) in c.services.iter().enumerate() {
        let Some(facts) = &s.engine else { continue };
        let odd =
            now.fleet.engines.iter().filter(|e| e.service == s.name && e.slots != facts.slots);
        let odd = odd.filter(|e| e.standing != "gone").count();
        if odd > 0 {
            let text = format!("{odd} engines report other slots than {}", facts.slots);
            out.push(warn("facts_differ", format!("services[{i}].engine.slots"), text));
        }
    }
}

#[cfg(test)]
#[path = "findings_tests.rs"]
mod tests;
