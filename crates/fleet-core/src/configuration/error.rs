//! Errors of an invalid configuration.

/// Why a configuration is invalid, with the location in it.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum ConfigError {
    /// unreadable: {reason} (line {line}, column {column})
    Unreadable {
        /// line of the JSON text, from 1
        line: usize,
        /// column of that line, from 1
        column: usize,
        /// parser message
        reason: String,
    },
    /// {place}: out of bounds
    OutOfBounds {
        /// path of the field
        place: String,
    },
    /// {place}: names the unknown service `{service}`
    UnknownService {
        /// path of the route
        place: String,
        /// name that matches no service
        service: String,
    },
    /// {place}: same host and prefix as {other}
    DuplicateRoute {
        /// path of the later route
        place: String,
        /// path of the earlier route
        other: String,
    },
    /// {place}: its weights sum to 0
    ZeroTotalWeight {
        /// path of the route
        place: String,
    },
    /// {place}: a key of tenant `{other}` too
    SharedKey {
        /// path of the key
        place: String,
        /// name of the other tenant
        other: String,
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
            ConfigError::Unreadable { .. } => "unreadable",
            ConfigError::OutOfBounds { .. } => "out_of_bounds",
            ConfigError::UnknownService { .. } => "unknown_service",
            ConfigError::DuplicateRoute { .. } => "same_place",
            ConfigError::ZeroTotalWeight { .. } => "no_weight",
            ConfigError::SharedKey { .. } => "shared_key",
            ConfigError::VersionNotAbove { .. } => "version_not_above",
        }
    }
}
