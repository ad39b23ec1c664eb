//! The engines: who they are, and calls to them.

pub mod client;
pub mod registry;
