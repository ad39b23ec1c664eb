//! What happens in a run, drawn from its seed.

use crate::constants;
use crate::engine::Announcement;
use std::time::Duration;

/// One thing that happens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Disruption {
    /// A machine's processes get SIGTERM and are started again once they have ended.
    Restart {
        /// which machine
        machine: usize,
        /// between the end and the start
        pause: Duration,
    },
    /// A machine's processes are killed and started again.
    Kill {
        /// which machine
        machine: usize,
        /// between the kill and the start
        pause: Duration,
    },
    /// All machines with a controller are killed at once, and started again together.
    KillCore {
        /// between the kill and the start
        pause: Duration,
    },
    /// The settings of a machine are written anew, and its processes get SIGHUP.
    HangUp {
        /// which machine
        machine: usize,
    },
    /// The operator puts another configuration in force.
    Reconfigure,
    /// The engine that has served longest leaves, and another one comes.
    ReplaceEngine {
        /// how it says so
        announcement: Announcement,
    },
}

/// A disruption with its time since the warm-up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Planned {
    /// When it begins.
    pub at: Duration,
    /// What happens.
    pub disruption: Disruption,
}

/// Draws the disruptions of a run, in the order of their times. They come one by one and in bursts, and overlap.
pub fn draw(rng: &mut fastrand::Rng, machines: usize, span: Duration) -> Vec<Planned> {
    let bursts = 3 + rng.usize(0..4);
    let mut planned = Vec::new();
    for _ in 0..bursts {
        let from = rng.u64(0..span.as_millis() as u64);
        for _ in 0..rng.usize(1..=4 + machines / 8) {
            let at = Duration::from_millis(from + rng.u64(0..1500));
            planned.push(Planned { at, disruption: one(rng, machines) });
        }
    }
    // each run has a departure shortly before the loss of all controllers
    let from = rng.u64(0..span.as_millis() as u64);
    let announcement = announcement(rng);
    let departure = Disruption::ReplaceEngine { announcement };
    planned.push(Planned { at: Duration::from_millis(from), disruption: departure });
    let at = Duration::from_millis(from + rng.u64(20..1500));
    planned.push(Planned { at, disruption: Disruption::KillCore { pause: pause(rng) } });
    planned.sort_by_key(|planned| planned.at);
    planned
}

fn one(rng: &mut fastrand::Rng, machines: usize) -> Disruption {
    let machine = rng.usize(0..machines);
    match rng.u8(0..100) {
        0..40 => Disruption::Restart { machine, pause: pause(rng) },
        40..50 => Disruption::Kill { machine, pause: pause(rng) },
        50..55 => Disruption::KillCore { pause: pause(rng) },
        55..70 => Disruption::HangUp { machine },
        70..80 => Disruption::Reconfigure,
        _ => Disruption::ReplaceEngine { announcement: announcement(rng) },
    }
}

fn announcement(rng: &mut fastrand::Rng) -> Announcement {
    if rng.bool() { Announcement::Drain } else { Announcement::Deregister }
}

/// Back within a second.
fn pause(rng: &mut fastrand::Rng) -> Duration {
    Duration::from_millis(rng.u64(20..1000))
}

/// How long a run takes behind its last disruption until all has been seen.
pub fn tail() -> Duration {
    constants::COOL_DOWN + constants::GRACE
}

#[cfg(test)]
#[path = "disruption_tests.rs"]
mod tests;
