//! Checks a configuration against the fleet as it is, before it is sent.

pub mod ask;
pub mod findings;
pub mod report;
