//! The operator's configuration: its form ([`Configuration`]), and what makes it invalid ([`ConfigError`]).
//!
//! Names of fields are the operator's. A configuration that was read ([`Configuration::read`]) is valid by itself; whether it
//! may follow the one in force is decided where it is proposed.

mod checks;
mod error;
mod schema;

pub use error::ConfigError;
pub use schema::{Configuration, EngineFacts, Kind, Limits, Model, Route, Service, Share, Tenant};

#[cfg(test)]
mod tests;
