//! Purge: lazy invalidation through one bounded ring (docs/purge.md).

pub mod cache;
pub mod draft;
pub mod ring;
mod sync;
pub mod view;
