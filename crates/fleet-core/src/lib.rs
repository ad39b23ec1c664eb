//! What the controller, the router and the tool share: settings, configuration, messages and the links that carry
//! them, log events, constants. It depends on no other crate of the workspace.

// A process that carries traffic does not panic for a value that is not there; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used))]

pub mod change_log;
pub mod configuration;
pub mod constants;
pub mod delta;
pub mod digest;
pub mod fleet;
pub mod link;
pub mod load;
pub mod log;
pub mod node;
pub mod packing;
pub mod program;
pub mod random;
pub mod settings;
pub mod target_versions;
pub mod transport;
pub mod wire;
