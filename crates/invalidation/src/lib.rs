//! Lazy cache invalidation through one bounded ring buffer (docs/purge.md): a writer publishes invalidations, and
//! each reader applies them to its own cache the next time it reads the ring.
//!
//! The crate does no I/O: the index owner writes the ring ([`ring`]) and serves router requests from it. The effect of
//! an entry on a cache is defined by a trait ([`cache`]) that the index owner, the routers and the tests implement. A
//! change publishes nothing before it commits ([`pending_change`]).

// A process that carries traffic must not panic on a missing value; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod cache;
pub mod pending_change;
pub mod reader;
pub mod ring;
pub mod salt;
mod sync;
pub mod view;
