//! Checks a configuration against the fleet as it is, before it is sent, and tells how a roll-out stands.

pub mod ask;
pub mod findings;
pub mod report;
pub mod rollout;
