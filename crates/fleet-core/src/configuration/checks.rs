//! Parsing of a configuration, and the checks that its schema alone does not make.

use super::{ConfigError, Configuration};
use hashbrown::{HashMap, HashSet};
use validator::{Validate, ValidationErrors, ValidationErrorsKind};

/// Path of the first field that is out of bounds.
fn first_invalid_path(errors: &ValidationErrors) -> String {
    for (field, kind) in errors.errors() {
        match kind {
            ValidationErrorsKind::List(items) => {
                if let Some((index, inner)) = items.iter().next() {
                    return format!("{field}[{index}].{}", first_invalid_path(inner));
                }
            }
            ValidationErrorsKind::Struct(inner) => {
                return format!("{field}.{}", first_invalid_path(inner));
            }
            ValidationErrorsKind::Field(_) => return field.to_string(),
        }
    }
    String::new()
}

impl Configuration {
    /// Parses a configuration and checks it on its own, without comparing it with the one in force.
    ///
    /// # Errors
    ///
    /// The first error with its location, in the order: JSON text, bounds of fields, routes, keys.
    pub fn parse(body: &[u8]) -> Result<Configuration, ConfigError> {
        let configuration: Configuration = serde_json::from_slice(body).map_err(|e| {
            ConfigError::Malformed { line: e.line(), column: e.column(), reason: e.to_string() }
        })?;
        configuration
            .validate()
            .map_err(|e| ConfigError::OutOfBounds { path: first_invalid_path(&e) })?;
        configuration.check_routes()?;
        configuration.check_keys()?;
        Ok(configuration)
    }

    /// Each route has a unique host and prefix, known services and a total weight above 0.
    fn check_routes(&self) -> Result<(), ConfigError> {
        let services: HashSet<&str> =
            self.services.iter().map(|service| service.name.as_str()).collect();
        let mut seen_routes = HashMap::new();
        for (index, route) in self.routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            let key = (route.host.to_ascii_lowercase(), route.path_prefix.as_str());
            if let Some(other_route) = seen_routes.insert(key, index) {
                return Err(ConfigError::DuplicateRoute {
                    path,
                    other_route: format!("routes[{other_route}]"),
                });
            }
            let weighted_services = route.weighted_services();
            if let Some((unknown, _)) =
                weighted_services.iter().find(|(name, _)| !services.contains(name))
            {
                return Err(ConfigError::UnknownService { path, service: (*unknown).to_owned() });
            }
            if weighted_services.iter().map(|(_, weight)| u64::from(*weight)).sum::<u64>() == 0 {
                return Err(ConfigError::ZeroTotalWeight { path });
            }
        }
        Ok(())
    }

    /// No API key belongs to two tenants.
    fn check_keys(&self) -> Result<(), ConfigError> {
        let mut tenant_by_key: HashMap<&str, usize> = HashMap::new();
        for (index, tenant) in self.tenants.iter().enumerate() {
            for (key_index, key) in tenant.api_keys.iter().enumerate() {
                let other_tenant =
                    tenant_by_key.insert(key.as_str(), index).filter(|other| *other != index);
                if let Some(other_tenant) = other_tenant {
                    return Err(ConfigError::SharedKey {
                        path: format!("tenants[{index}].apiKeys[{key_index}]"),
                        other_tenant: self.tenants[other_tenant].name.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}
