//! A configuration as requests ask for it.

use fleet_core::configuration::{ConfigProblem, Configuration, Kind, Limits, Route, Service};
use std::sync::Arc;

pub struct Tenant {
    pub name: String,
    pub priority: i64,
    pub isolated: bool,
}

pub struct Table {
    pub stamp: u64,
    pub wall: u64,
    pub limits: Limits,
    routes: hashbrown::HashMap<String, Vec<Arc<Route>>, ahash::RandomState>,
    keys: hashbrown::HashMap<String, usize, ahash::RandomState>,
    tenants: Vec<Arc<Tenant>>,
    services: hashbrown::HashMap<String, Service, ahash::RandomState>,
    stores: Vec<Service>,
    /// by service, rank and aim of its least urgent routes
    least: hashbrown::HashMap<String, (i64, u64), ahash::RandomState>,
}

/// May a second engine run it too?
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeat {
    Freely,
    ByResuming,
    Never,
}

impl Table {
    pub fn compile(body: &[u8], wall: u64) -> Result<Table, ConfigProblem> {
        let c = Configuration::read(body)?;
        let mut routes: hashbrown::HashMap<String, Vec<Arc<Route>>, ahash::RandomState> =
            hashbrown::HashMap::default();
        for r in c.routes {
            routes.entry(r.host.to_ascii_lowercase()).or_default().push(Arc::new(r));
        }
        let mut least: hashbrown::HashMap<String, (i64, u64), ahash::RandomState> =
            hashbrown::HashMap::default();
        for r in routes.values().flatten() {
            for (s, _) in r.shares() {
                let l = least.entry_ref(s).or_insert((r.priority, r.target_ms));
                *l = (*l).max((r.priority, r.target_ms));
            }
        }
        for v in routes.values_mut() {
            v.sort_by_key(|r| std::cmp::Reverse(r.path_prefix.len()));
        }
        let mut keys = hashbrown::HashMap::default();
        let mut tenants = Vec::new();
        for t in c.tenants {
            for k in t.api_keys {
                keys.insert(k, tenants.len());
            }
            let t = Tenant { name: t.name, priority: t.priority, isolated: t.isolated };
            tenants.push(Arc::new(t));
        }
        let stores = c.services.iter().filter(|s| s.kv_store.is_some()).cloned().collect();
        let services = c.services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Ok(Table {
            stamp: c.revision,
            wall,
            limits: c.limits,
            routes,
            keys,
            tenants,
            services,
            stores,
            least,
        })
    }

    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(h, _)| h);
        let rows = self.routes.get(host).or_else(|| self.routes.get(name));
        let rows = match rows {
            Some(r) => r,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        rows.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// No tenants at all: all may pass, nameless.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(*self.keys.get(key)?)
    }

    /// Somebody waits for it: not among the least urgent routes of its service, by rank and aim.
    pub fn is_interactive(&self, r: &Route) -> bool {
        let least = r.shares().into_iter().filter_map(|(s, _)| self.least.get(s)).max();
        least.is_none_or(|l| (r.priority, r.target_ms) < *l)
    }

    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    pub fn stores(&self) -> &[Service] {
        &self.stores
    }

    /// Picks a service by weight; `dice` is any number.
    pub fn pick<'a>(&self, r: &'a Route, dice: u64) -> Option<&'a str> {
        let shares = r.shares();
        let sum: u64 = shares.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut at = dice.checked_rem(sum)?;
        for (s, w) in shares {
            if at < u64::from(w) {
                return Some(s);
            }
            at -= u64::from(w);
        }
        None
    }
}

pub fn repeat(r: &Route) -> Repeat {
    match r.kind {
        Kind::Safe => Repeat::Freely,
        Kind::Streaming if r.resumable => Repeat::ByResuming,
        Kind::Streaming | Kind::Unsafe => Repeat::Never,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn table() -> Table {
        let sheet = serde_json::json!({
            "revision": 3,
            "routes": [
                {"host": "H.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": 10, "service": "s"},
                {"host": "h.example", "pathPrefix": "/a/b/", "kind": "streaming", "timeoutMs": 10, "resumable": true,
                 "split": [{"service": "s", "weight": 1}, {"service": "u", "weight": 0}]},
            ],
            "services": [{"name": "s", "maxConns": 5}, {"name": "u"}, {"name": "k", "kvStore": "10.0.0.1:80"}],
            "tenants": [{"name": "t", "apiKeys": ["k1"]}],
        });
        Table::compile(sheet.to_string().as_bytes(), 1).unwrap()
    }

    #[test]
    fn longest_prefix_of_the_host_wins() {
        let t = table();
        assert_eq!(t.route("h.example", "/a/b/c").unwrap().path_prefix, "/a/b/");
        assert_eq!(t.route("H.EXAMPLE:80", "/a/x").unwrap().path_prefix, "/a/");
        assert!(t.route("h.example", "/a").is_none());
        assert!(t.route("other", "/a/").is_none());
    }

    #[test]
    fn picks_by_weight_and_knows_tenants_and_store() {
        let t = table();
        let r = t.route("h.example", "/a/b/").unwrap();
        assert!((0..10).all(|d| t.pick(r, d) == Some("s")));
        assert_eq!(repeat(r), Repeat::ByResuming);
        assert_eq!(t.tenant("k1").unwrap().name, "t");
        assert!(t.tenant("k2").is_none());
        assert_eq!(t.stores()[0].name, "k");
    }
}
