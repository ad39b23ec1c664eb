//! What is wrong with a configuration, and what is valid but unwise now.

use crate::ask::AsItIs;
use fleet_core::configuration::{ConfigProblem, Configuration, Route};

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

fn error(p: &ConfigProblem) -> Finding {
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
            let p = ConfigProblem::StampNotAbove { stamp: c.revision, current: old.revision };
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
mod tests {
    use super::*;
    use crate::ask::{Fleet, SeenEngine};

    fn sheet(revision: u64) -> serde_json::Value {
        serde_json::json!({
            "revision": revision,
            "routes": [{"host": "h", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 100, "targetMs": 50, "service": "s"},
                       {"host": "h", "pathPrefix": "/b/", "kind": "safe", "timeoutMs": 100, "service": "s"}],
            "services": [{"name": "s", "maxConns": 9, "engine": {"slots": 8}}, {"name": "u", "maxConns": 9}],
            "tenants": [{"name": "t", "apiKeys": ["k1", "k2"]}],
        })
    }

    fn now() -> AsItIs {
        let e = |standing: &str| SeenEngine {
            service: "s".into(),
            standing: standing.into(),
            silent: false,
            slots: 8,
        };
        AsItIs {
            in_force: Some(read(sheet(5).to_string().as_bytes()).unwrap()),
            fleet: Fleet { revision: 5, routers: 3, engines: vec![e("ready"), e("draining")] },
        }
    }

    fn codes(edit: impl Fn(&mut serde_json::Value)) -> Vec<(&'static str, String)> {
        let mut v = sheet(6);
        edit(&mut v);
        match read(v.to_string().as_bytes()) {
            Err(f) => vec![(f.code, f.place)],
            Ok(c) => findings(&c, &now()).into_iter().map(|f| (f.code, f.place)).collect(),
        }
    }

    #[test]
    fn sound_configuration_has_no_findings() {
        assert!(codes(|_| {}).is_empty());
    }

    #[test]
    fn each_finding_has_its_code_and_place() {
        type Edit = fn(&mut serde_json::Value);
        let table: &[(Edit, &str, &str)] = &[
            (|v| v["revision"] = 5.into(), "stamp_not_above", "revision"),
            (|v| v["routes"][0]["timeoutMs"] = 0.into(), "out_of_bounds", "routes[0].timeout_ms"),
            (|v| v["routes"][0]["service"] = "x".into(), "unknown_service", "routes[0]"),
            (
                |v| v["routes"][0]["timeoutMs"] = 20.into(),
                "timeout_below_aim",
                "routes[0].timeoutMs",
            ),
            (|v| v["routes"][1]["pathPrefix"] = "/c/".into(), "removed_route", "routes"),
            (
                |v| v["tenants"][0]["apiKeys"] = serde_json::json!(["k1"]),
                "removed_key",
                "tenants[0].apiKeys",
            ),
            (
                |v| v["tenants"][0]["isolated"] = true.into(),
                "newly_isolated",
                "tenants[0].isolated",
            ),
            (|v| v["services"][0]["maxConns"] = 2.into(), "conns_too_few", "services[0].maxConns"),
            (
                |v| v["services"][0]["engine"]["slots"] = 9.into(),
                "facts_differ",
                "services[0].engine.slots",
            ),
        ];
        for (edit, code, place) in table {
            assert_eq!(codes(edit), vec![(*code, (*place).to_owned())]);
        }
        let moved = codes(|v| v["routes"][1]["service"] = "u".into());
        let both = ["no_ready_engine", "loses_engines"].map(|c| (c, "routes[1]".to_owned()));
        assert_eq!(moved, both);
    }
}
