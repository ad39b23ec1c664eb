//! The prompt index: which holders keep which blocks of a prompt, and how deep (docs/prompt-index.md).

// A process that carries traffic does not panic for a value that is not there; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod alive;
pub mod bitmap;
pub mod cell;
pub mod chain;
pub mod index;
pub mod query;
pub mod shard;
pub mod sync;
pub mod tier;

pub use bitmap::HolderBitmap;
pub use cell::{Cell, HolderNo};
pub use chain::Chain;
pub use index::{At, Index};
pub use query::Depths;
