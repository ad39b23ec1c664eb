//! The engines: who they are, and calls to them.

pub mod outside;
pub mod registry;
