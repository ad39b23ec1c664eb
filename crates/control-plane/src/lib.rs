//! The control plane: the library that the `controller` program runs.
//!
//! A controller keeps the state that routers, engines and the operator have to agree on, and does what one node
//! at a time may do. [`Controller`] wires the areas below and does nothing itself; each area owns its state and
//! its locks, and is built with the areas that it needs, so that the order of construction in [`controller`] is also
//! the order in which locks may be taken.
//!
//! Read them in this order:
//!
//! 1. [`process`]: who the process is; [`cluster_state`]: what it knows of the cluster
//! 2. [`storage`] and [`consensus`]: the replicated registers
//! 3. [`membership`]: who the voters are, and the links between processes
//! 4. [`leases`], and what runs under one: [`rollout`], [`index_owner`]
//! 5. [`engines`]: the engines and calls to them; [`config_distribution`]: configurations for routers
//! 6. [`service`]: what engines and operators ask, [`api`]: the same over HTTP
//! 7. [`environment`], [`controller`], [`runtime`]: what it is started with, how all is wired, start and end

// A process that carries traffic does not panic for a value that is not there; tests may.
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

/// Why a controller doesn't run.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ControllerError {
    /// {0}: not in the settings, which a controller needs
    SettingMissing(&'static str),
    /// the disk can't be used: {0}
    Disk(storage::DiskError),
    /// cannot listen at {0}: {1}
    Listen(std::net::SocketAddr, std::io::ErrorKind),
    /// cannot serve control: {0}
    Control(std::io::ErrorKind),
}
