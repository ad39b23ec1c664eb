//! The tenants of a configuration, looked up by API key and by name.

use fleet_core::configuration;
use std::sync::Arc;

/// A tenant of the configuration.
pub struct Tenant {
    /// Name, as sent to engines.
    pub name: String,
    /// Priority of its requests; 0 is the highest. It takes precedence over the route's priority.
    pub priority: i64,
    /// Whether its cached prompt parts are kept separate from those of other tenants.
    pub isolated: bool,
}

/// All tenants of one configuration.
pub struct TenantDirectory {
    /// Sorted by name.
    tenants: Vec<Arc<Tenant>>,
    /// Maps an API key to an index into `tenants`.
    index_by_key: hashbrown::HashMap<String, usize, ahash::RandomState>,
}

impl TenantDirectory {
    /// Of the tenants as the operator sent them.
    pub fn new(mut configured: Vec<configuration::Tenant>) -> TenantDirectory {
        configured.sort_by(|a, b| a.name.cmp(&b.name));
        let mut tenants = Vec::with_capacity(configured.len());
        let mut index_by_key = hashbrown::HashMap::default();
        for configuration::Tenant { name, api_keys, priority, isolated } in configured {
            index_by_key.extend(api_keys.into_iter().map(|key| (key, tenants.len())));
            tenants.push(Arc::new(Tenant { name, priority, isolated }));
        }
        TenantDirectory { tenants, index_by_key }
    }

    /// Whether no tenant is configured.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// The tenant that an API key belongs to; none if the key is unknown.
    pub fn by_key(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.tenants.get(*self.index_by_key.get(key)?)
    }

    /// The tenants of a name; empty if there are none.
    pub fn named(&self, name: &str) -> &[Arc<Tenant>] {
        let first = self.tenants.partition_point(|tenant| tenant.name.as_str() < name);
        let count = self.tenants[first..].partition_point(|tenant| tenant.name == name);
        &self.tenants[first..first + count]
    }
}

#[cfg(test)]
#[path = "tenants_tests.rs"]
mod tests;
