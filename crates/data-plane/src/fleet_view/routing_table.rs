//! A configuration compiled for look-ups by request.

use fleet_core::configuration::{ConfigError, Configuration, Kind, Limits, Route, Service};
use std::sync::Arc;

/// A tenant of the configuration.
pub struct Tenant {
    /// its name, as engines see it
    pub name: String,
    /// rank of its requests, 0 is highest; goes before the route's
    pub priority: i64,
    /// shares no prompt part with others
    pub isolated: bool,
}

/// One configuration, compiled for look-ups.
pub struct Table {
    /// number of the configuration
    pub version: u64,
    /// isolation generation of the shared prompt parts
    pub isolation: u64,
    /// what clients may send
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
    /// as often as the route allows
    Freely,
    /// only behind the last event that the client got
    ByResuming,
    /// at most once
    Never,
}

impl Table {
    /// Reads and compiles a configuration.
    ///
    /// # Errors
    /// What makes the body unreadable or invalid.
    pub fn compile(body: &[u8], isolation: u64) -> Result<Table, ConfigError> {
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
            version: c.revision,
            isolation,
            limits: c.limits,
            routes,
            keys,
            tenants,
            services,
            stores,
            least,
        })
    }

    /// The route of a host with the longest prefix of the path; a port in `host` is left out.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(h, _)| h);
        let routes = self.routes.get(host).or_else(|| self.routes.get(name));
        let routes = match routes {
            Some(r) => r,
            None => self.routes.get(name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|r| path.starts_with(&r.path_prefix))
    }

    /// No tenants at all: all may pass, nameless.
    pub fn has_tenants(&self) -> bool {
        !self.tenants.is_empty()
    }

    /// Who holds this key.
    pub fn tenant(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(*self.keys.get(key)?)
    }

    /// Somebody waits for it: not among the least urgent routes of its service, by rank and aim.
    pub fn is_interactive(&self, r: &Route) -> bool {
        let least = r.shares().into_iter().filter_map(|(s, _)| self.least.get(s)).max();
        least.is_none_or(|l| (r.priority, r.target_ms) < *l)
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// All stores of prompt parts.
    pub fn stores(&self) -> &[Service] {
        &self.stores
    }

    /// Picks a service by weight; `random` is any number.
    pub fn pick<'a>(&self, r: &'a Route, random: u64) -> Option<&'a str> {
        let shares = r.shares();
        let sum: u64 = shares.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut at = random.checked_rem(sum)?;
        for (s, w) in shares {
            if at < u64::from(w) {
                return Some(s);
            }
            at -= u64::from(w);
        }
        None
    }
}

/// How often a request of this route may run.
pub fn repeat(r: &Route) -> Repeat {
    match r.kind {
        Kind::Safe => Repeat::Freely,
        Kind::Streaming if r.resumable => Repeat::ByResuming,
        Kind::Streaming | Kind::Unsafe => Repeat::Never,
    }
}

#[cfg(test)]
#[path = "routing_table_tests.rs"]
mod tests;
