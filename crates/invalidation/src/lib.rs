//! Lazy invalidation of caches through one bounded ring (docs/purge.md): a writer publishes what has become
//! void, and each reader applies it to its own cache when it next looks there.
//!
//! It has no I/O: the index owner writes the ring ([`ring`]) and answers routers from it; what an entry does to a cache is a trait ([`cache`]), which the
//! index owner, the routers and the tests implement. A change publishes nothing before it commits ([`draft`]).

// A process that carries traffic does not panic for a value that is not there; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod cache;
pub mod draft;
pub mod reader;
pub mod ring;
pub mod salt;
mod sync;
pub mod view;
