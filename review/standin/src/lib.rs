//! Stand-ins for clients, engines, the operator and the platform, and a small fleet of the project's own programs.
//! Standard library only. Everything runs on loopback addresses that are derived from the process id.

pub mod engine;
pub mod fleet;
pub mod http;
pub mod record;
