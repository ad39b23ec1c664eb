//! What the system's own processes say to each other.

mod answers;
mod changes;
mod configurations;
mod engines;
mod frame;
mod invalidations;
mod leases;
mod membership;
mod registers;
mod views;

pub use changes::*;
pub use configurations::*;
pub use engines::*;
pub use frame::*;
pub use invalidations::*;
pub use leases::*;
pub use membership::*;
pub use registers::*;
pub use views::*;
