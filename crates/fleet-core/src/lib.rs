//! Code shared by the controller, the router and the command line tool: settings, configuration, messages, links that
//! carry them, log events, and constants. It depends on no other crate of the workspace.

// A process that serves traffic must not panic on a missing value; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used))]

pub mod body_collector;
pub mod byte_budget;
pub mod change_log;
pub mod compression;
pub mod configuration;
pub mod constants;
pub mod delta;
pub mod digest;
pub mod fleet;
pub mod link;
pub mod load;
pub mod log;
pub mod node;
pub mod program;
pub mod random;
pub mod settings;
pub mod target_versions;
pub mod transport;
pub mod wire;
