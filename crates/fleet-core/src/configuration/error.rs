//! Errors of an invalid configuration.

/// Why a configuration is invalid, with the location in it.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum ConfigError {
    /// unreadable: {reason} (line {line}, column {column})
    Malformed {
        /// line of the JSON text, from 1
        line: usize,
        /// column of that line, from 1
        column: usize,
        /// parser message
        reason: String,
    },
    /// {path}: out of bounds
    OutOfBounds {
        /// path of the field
        path: String,
    },
    /// {path}: names the unknown service `{service}`
    UnknownService {
        /// path of the route
        path: String,
        /// name that matches no service
        service: String,
    },
    /// {path}: same host and prefix as {other_route}
    DuplicateRoute {
        /// path of the later route
        path: String,
        /// path of the earlier route
        other_route: String,
    },
    /// {path}: its weights sum to 0
    ZeroTotalWeight {
        /// path of the route
        path: String,
    },
    /// {path}: a key of tenant `{other_tenant}` too
    SharedKey {
        /// path of the key
        path: String,
        /// name of the other tenant
        other_tenant: String,
    },
    /// revision: {version} is not above {current}
    VersionNotAbove {
        /// the revision in the request
        version: u64,
        /// the revision in force
        current: u64,
    },
}

impl ConfigError {
    /// Stable identifier of the error for programs.
    pub fn code(&self) -> &'static str {
        match self {
            ConfigError::Malformed { .. } => "unreadable",
            ConfigError::OutOfBounds { .. } => "out_of_bounds",
            ConfigError::UnknownService { .. } => "unknown_service",
            ConfigError::DuplicateRoute { .. } => "same_place",
            ConfigError::ZeroTotalWeight { .. } => "no_weight",
            ConfigError::SharedKey { .. } => "shared_key",
            ConfigError::VersionNotAbove { .. } => "version_not_above",
        }
    }
}
