//! Deterministic simulation of the control plane.
//!
//! Several real controllers run in one process on a current-thread runtime with paused time, over a
//! simulated network and simulated disks. Faults are drawn from a seed; stand-ins of operators,
//! engines and routers record what they asked and were told; a checker judges that history.

pub mod checker;
mod constants;
mod disk;
mod driver;
mod echo;
mod engine;
pub mod fault;
pub mod history;
mod machine;
pub mod mutant;
mod network;
mod operator;
mod panics;
mod reader;
mod run;
mod sampler;
mod shrink;
mod transport;
mod world;

pub use run::{Outcome, run, shows};
pub use shrink::shrink;
