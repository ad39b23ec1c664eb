//! Messages between the system's own processes, and the values that voters store.
//!
//! A [`Frame`] carries one [`Body`]. Tags and encodings never change: members of different versions run side by side,
//! and disks keep data written by older versions (`tests/wire_format.rs`). A process ignores what it does not know,
//! so a new field or message must be safe to ignore.

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
