//! Lazy invalidation of caches through one bounded ring (docs/purge.md): a writer publishes what has become
//! void, and each reader applies it to its own cache when it next looks there.

pub mod cache;
pub mod draft;
pub mod ring;
pub mod salt;
mod sync;
pub mod view;
