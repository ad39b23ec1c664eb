//! The prompt index: which holders have cached which blocks of a prompt, and how deep (docs/prompt-index.md).
//!
//! An [`Index`] has cells of 256 holders each ([`cell`]). A prompt is a [`Chain`] of blocks; each chain has a bitmap of the
//! holders that have all of it, and a query finds each holder's depth by binary search ([`query`]). Holders are excluded at
//! once when they go ([`alive`]) and scrubbed from the shards later. It has no I/O and no clock; locks are of one shard at a
//! time.

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
