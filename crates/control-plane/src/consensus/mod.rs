//! Control state: each key a register with one owner at a time.

pub mod acceptor;
pub mod anti_entropy;
pub mod config_history;
pub mod election;
pub mod forward;
pub mod key_owner;
pub mod proposer;
pub mod quorum_status;
pub mod resignation;
pub mod round;
pub mod state_machine;

#[cfg(test)]
#[path = "schedules_tests.rs"]
mod schedules;

#[cfg(test)]
#[path = "membership_change_tests.rs"]
mod membership_changes;
