//! Control state: each key a register with one owner at a time.

pub mod acceptor;
pub mod election;
pub mod history;
pub mod leaving;
pub mod look;
pub mod owner;
pub mod proposer;
pub mod round;
pub mod submit;
pub mod values;

#[cfg(test)]
#[path = "schedules_tests.rs"]
mod schedules;

#[cfg(test)]
#[path = "moves_tests.rs"]
mod moves;
