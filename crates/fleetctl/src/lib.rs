//! Checks a configuration against the current state of the fleet before it is applied, and reports the status of
//! weight rollouts and of the control plane. All requests to controllers are read-only.

pub mod findings;
pub mod members;
pub mod query;
pub mod report;
pub mod rollout;
