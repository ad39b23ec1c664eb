//! Every constant of the system, with its unit and the reason for its value.

mod control;
mod duties;
mod engines;
mod invalidations;
mod link;
mod members;
mod process;
mod rollout;
mod router;

pub use control::*;
pub use duties::*;
pub use engines::*;
pub use invalidations::*;
pub use link::*;
pub use members::*;
pub use process::*;
pub use rollout::*;
pub use router::*;
