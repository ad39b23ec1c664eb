//! Checks a configuration against the fleet as it is, before it is sent, and shows how a roll-out and the
//! control plane stand. It only reads.

pub mod findings;
pub mod members;
pub mod query;
pub mod report;
pub mod rollout;
