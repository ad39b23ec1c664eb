//! Compiles a configuration into a form that is fast to look up for each request.

use super::tenants::TenantDirectory;
use fleet_core::configuration::{ConfigError, Configuration, Limits, Route, RouteKind, Service};
use std::sync::Arc;

/// One configuration, compiled for lookups by host, API key and service name.
pub struct RoutingTable {
    /// Version of the configuration.
    pub version: u64,
    /// Generation of the isolation key that non-isolated tenants share.
    pub isolation: u64,
    /// Limits on the requests of clients.
    pub limits: Limits,
    /// By host in lower case; the routes of a host are sorted by descending length of their path prefix.
    routes: hashbrown::HashMap<String, Vec<Arc<Route>>, ahash::RandomState>,
    /// The tenants. If there are none, requests are accepted without an API key and belong to no tenant.
    pub tenants: TenantDirectory,
    services: hashbrown::HashMap<String, Service, ahash::RandomState>,
    stores: Vec<Service>,
    /// Priority and target latency in milliseconds of the least urgent route of each service.
    least_urgent: hashbrown::HashMap<String, (i64, u64), ahash::RandomState>,
}

/// How often a request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryMode {
    /// Up to the maximum number of attempts of the route.
    Unrestricted,
    /// More than once only by resuming after the last event that the client has received.
    ResumeOnly,
    /// At most once.
    Never,
}

impl RoutingTable {
    /// Parses, validates and compiles a configuration.
    ///
    /// # Errors
    ///
    /// The body can't be parsed, or the configuration is invalid.
    pub fn compile(body: &[u8], isolation: u64) -> Result<RoutingTable, ConfigError> {
        let configuration = Configuration::parse(body)?;
        let mut routes: hashbrown::HashMap<String, Vec<Arc<Route>>, ahash::RandomState> =
            hashbrown::HashMap::default();
        for route in configuration.routes {
            routes.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        let mut least_urgent: hashbrown::HashMap<String, (i64, u64), ahash::RandomState> =
            hashbrown::HashMap::default();
        for route in routes.values().flatten() {
            for (service, _) in route.weighted_services() {
                let urgency =
                    least_urgent.entry_ref(service).or_insert((route.priority, route.target_ms));
                *urgency = (*urgency).max((route.priority, route.target_ms));
            }
        }
        for routes_of_host in routes.values_mut() {
            routes_of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let stores = configuration
            .services
            .iter()
            .filter(|service| service.kv_store.is_some())
            .cloned()
            .collect();
        let services = configuration
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        Ok(RoutingTable {
            version: configuration.revision,
            isolation,
            limits: configuration.limits,
            routes,
            tenants: TenantDirectory::new(configuration.tenants),
            services,
            stores,
            least_urgent,
        })
    }

    /// The route of a host whose path prefix is the longest that matches. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host_name = host.rsplit_once(':').map_or(host, |(host_name, _)| host_name);
        let routes = self.routes.get(host).or_else(|| self.routes.get(host_name));
        let routes = match routes {
            Some(found) => found,
            None => self.routes.get(host_name.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whether a user waits for the response: the route is more urgent, by priority and target latency, than the least
    /// urgent route of its services.
    pub fn is_interactive(&self, route: &Route) -> bool {
        let least_urgent = route
            .weighted_services()
            .into_iter()
            .filter_map(|(service, _)| self.least_urgent.get(service))
            .max();
        least_urgent.is_none_or(|urgency| (route.priority, route.target_ms) < *urgency)
    }

    /// The configuration of a service; none if there is no service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name)
    }

    /// The services that are KV stores.
    pub fn stores(&self) -> &[Service] {
        &self.stores
    }

    /// Selects a service of a route by weight, with `random` drawn uniformly from all values of `u64`; none if all
    /// weights are 0.
    pub fn pick_service<'a>(&self, route: &'a Route, random: u64) -> Option<&'a str> {
        let weighted_services = route.weighted_services();
        let total: u64 = weighted_services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = random.checked_rem(total)?;
        for (service, weight) in weighted_services {
            if remaining < u64::from(weight) {
                return Some(service);
            }
            remaining -= u64::from(weight);
        }
        None
    }
}

/// How often a request of this route may be executed.
pub fn retry_mode(route: &Route) -> RetryMode {
    match route.kind {
        RouteKind::Safe => RetryMode::Unrestricted,
        RouteKind::Streaming if route.resumable => RetryMode::ResumeOnly,
        RouteKind::Streaming | RouteKind::Unsafe => RetryMode::Never,
    }
}

#[cfg(test)]
#[path = "routing_table_tests.rs"]
mod tests;
