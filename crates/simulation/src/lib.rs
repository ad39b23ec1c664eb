//! Deterministic simulation of the control plane.
//!
//! Several real controllers run in one process on a current-thread runtime with paused time, over a
//! simulated network and simulated disks. Faults are drawn from a seed. Simulated operators, engines and
//! routers (`*_workload`) record their calls and the responses in a [`history`], which a [`checker`] then
//! tests against the invariants.

pub mod checker;
mod config_body;
mod constants;
mod disk;
mod engine_workload;
pub mod fault;
pub mod history;
pub mod injected_bug;
mod link_workload;
mod machine;
mod nemesis;
mod network;
mod operator_workload;
mod panics;
mod read_workload;
mod run;
mod sampler;
mod shrink;
mod transport;
mod world;

pub use run::{Outcome, exposes, run};
pub use shrink::shrink;
