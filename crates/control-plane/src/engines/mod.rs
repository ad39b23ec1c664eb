//! The engines: who they are, and calls to them.
//!
//! The [`registry`] is rebuilt from heartbeats and never stored. Routine heartbeats reach the other controllers in batches.
//! A drain and a deregistration are acknowledged once a majority has them, in memory and on disk: [`departure_recorder`] has
//! them recorded, and [`departures`] is what is known to be recorded. [`client`] carries orders and reports, each with
//! a limit after which its connection is reset.

pub mod client;
pub mod departure_recorder;
pub mod departures;
pub mod registry;
