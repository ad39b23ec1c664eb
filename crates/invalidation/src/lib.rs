//! Lazy invalidation of caches through one bounded ring (docs/purge.md): a writer publishes what has become
//! void, and each reader applies it to its own cache when it next looks there.

// A process that carries traffic does not panic for a value that is not there; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod cache;
pub mod draft;
pub mod ring;
pub mod salt;
mod sync;
pub mod view;
