//! The engines: who they are, and calls to them.
//!
//! The [`registry`] is rebuilt from heartbeats and never stored. Routine heartbeats reach the other controllers in batches;
//! a drain and a deregistration are acknowledged once a majority has them. [`client`] carries orders and reports, each with
//! a limit after which its connection is reset.

pub mod client;
pub mod registry;
