//! Messages between the system's own processes, and the values that voters store.
//!
//! A [`Frame`] carries one [`Body`]. Tags and forms never change: members of several versions run side by side, and disks
//! keep what older ones wrote (`tests/wire_format.rs`). A process ignores what it doesn't know, so that a new field or
//! message has to be safe to miss.

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
