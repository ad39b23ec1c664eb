//! Decides which requests may use each other's cached prompt parts.
//!
//! No other code decides this. A request may live longer than the configuration under which it was accepted, so the
//! isolation is determined anew for each dispatch (first, retried or resumed) by the configuration that is in force
//! then. `proxy::dispatch_cutoff` cancels a dispatch whose isolation changes while it waits at an engine.

use crate::fleet_view::routing_table::RoutingTable;
use crate::fleet_view::tenants::Tenant;

/// The requests that share cached prompt parts with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CacheIsolation {
    /// Those of this tenant alone.
    Tenant(String),
    /// Those of all tenants that are not isolated. A later generation shares nothing with an earlier one.
    Shared {
        /// Rises with each configuration that isolates a tenant which was not isolated before.
        generation: u64,
    },
}

impl CacheIsolation {
    /// The isolation of a request of `tenant`, as known when the request was accepted, under the configuration in
    /// force. A tenant shares nothing if either says that it is isolated, or if it was removed since: nothing tells
    /// any more whether it may share.
    pub fn new(tenant: Option<&Tenant>, in_force: &RoutingTable) -> CacheIsolation {
        let shared = CacheIsolation::Shared { generation: in_force.isolation };
        let Some(tenant) = tenant else { return shared };
        let current = in_force.tenants.named(&tenant.name);
        let shares_now = !current.is_empty() && current.iter().all(|current| !current.isolated);
        if tenant.isolated || !shares_now {
            return CacheIsolation::Tenant(tenant.name.clone());
        }
        shared
    }

    /// The field of a salt that names this isolation.
    pub fn salt_field(&self) -> String {
        match self {
            CacheIsolation::Tenant(name) => format!("t/{name}"),
            CacheIsolation::Shared { generation } => {
                invalidation::salt::shared_isolation(*generation)
            }
        }
    }
}

#[cfg(test)]
#[path = "cache_isolation_tests.rs"]
mod tests;
