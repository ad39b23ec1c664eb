//! The prompt index: which holders have cached which blocks of a prompt, and how deep (docs/prompt-index.md).
//!
//! An [`Index`] is split into cells of 256 holders each ([`cell`]). A prompt is a [`Chain`] of blocks. Each chain has a
//! bitmap of the holders that have cached all of it, and a query finds each holder's depth by binary search
//! ([`query`]). A removed holder is excluded from queries immediately ([`alive`]) and scrubbed from the shards later.
//! The crate does no I/O and reads no clock; it locks one shard at a time.

// A process that carries traffic must not panic on a missing value; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod alive;
pub mod bitmap;
pub mod cell;
pub mod chain;
pub mod index;
pub mod partial_blocks;
pub mod query;
pub mod shard;
pub mod sync;

pub use bitmap::HolderBitmap;
pub use cell::{Cell, HolderSlot};
pub use chain::Chain;
pub use index::{Index, IndexLocation};
pub use query::Depths;
