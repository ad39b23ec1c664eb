//! The operator's configuration: its schema ([`Configuration`]) and its validation errors ([`ConfigError`]).
//!
//! The JSON field names are part of the operator's interface. A configuration that was parsed
//! ([`Configuration::parse`]) is valid on its own; whether it may replace the one in force is decided where it is
//! proposed.

mod checks;
mod error;
mod schema;

pub use error::ConfigError;
pub use schema::{
    Configuration, EngineSpec, Limits, Model, Route, RouteKind, Service, Tenant, WeightedService,
};

#[cfg(test)]
mod tests;
