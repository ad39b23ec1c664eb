//! Every constant of the system, with its unit and the reason for its value.

mod config_distribution;
mod consensus;
mod engines;
mod invalidations;
mod leases;
mod link;
mod membership;
mod process;
mod rollout;
mod router;
mod storage;

pub use config_distribution::*;
pub use consensus::*;
pub use engines::*;
pub use invalidations::*;
pub use leases::*;
pub use link::*;
pub use membership::*;
pub use process::*;
pub use rollout::*;
pub use router::*;
pub use storage::*;
