//! Shared ground of the controller and the router.

pub mod configuration;
pub mod constants;
pub mod fleet;
pub mod journal;
pub mod link;
pub mod load;
pub mod log;
pub mod node;
pub mod program;
pub mod settings;
pub mod transport;
pub mod wire;
