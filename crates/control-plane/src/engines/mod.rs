//! Registry of the engines, and HTTP calls to them.
//!
//! The [`registry`] is rebuilt from heartbeats and never stored. Routine heartbeats are sent to the other controllers
//! in batches. A drain or a deregistration is acknowledged only once a majority has it both in memory and on disk:
//! [`departure_recorder`] records it, and [`departures`] holds the records known to this controller. [`client`] sends
//! commands and reads reports; a call that exceeds its timeout resets its connection.

pub mod client;
pub mod departure_recorder;
pub mod departures;
pub mod registry;
