//! The control plane: the library that the `controller` program runs.
//!
//! A controller replicates the state on which routers, engines and operators have to agree, and runs the tasks that
//! only one node at a time may run. [`Controller`] connects the components below and has no logic of its own. Each
//! component owns its state and its locks, and receives the components that it depends on when it is constructed, so
//! that the order of construction in [`controller`] is also the order in which locks may be taken.
//!
//! Suggested reading order:
//!
//! 1. [`process`]: identity and settings of the process; [`cluster_state`]: its knowledge of the cluster
//! 2. [`storage`] and [`consensus`]: the replicated registers
//! 3. [`membership`]: the set of voters, and the links between processes
//! 4. [`leases`], and the tasks that run under a lease: [`rollout`], [`index_owner`]
//! 5. [`engines`]: the engine registry and calls to engines; [`config_distribution`]: configurations for routers
//! 6. [`service`]: operations for engines and operators; [`api`]: their HTTP interface
//! 7. [`environment`], [`controller`], [`runtime`]: external dependencies, construction, startup and shutdown

// A process that carries traffic must not panic because a value is missing; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod api;
pub mod cluster_state;
pub mod config_distribution;
pub mod consensus;
pub mod controller;
pub mod engines;
pub mod environment;
pub mod index_owner;
pub mod leases;
pub mod membership;
mod metrics;
pub mod process;
pub mod rollout;
pub mod runtime;
pub mod service;
pub mod storage;

pub use controller::Controller;
pub use environment::Environment;
pub use runtime::{RunningController, run};

/// Why a controller failed to start.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ControllerError {
    /// {0}: missing from the settings, but required for a controller
    SettingMissing(&'static str),
    /// cannot use the disk: {0}
    Disk(storage::DiskError),
    /// cannot listen on {0}: {1}
    Listen(std::net::SocketAddr, std::io::ErrorKind),
    /// cannot start the HTTP API server: {0}
    ApiServer(std::io::ErrorKind),
}
