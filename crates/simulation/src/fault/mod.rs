//! What goes wrong in a run: drawn from a seed, printed, replayed, and dropped one by one.
//!
//! A [`Plan`] is a run's [`Fault`]s with their times, of the mix of a [`Point`]; `shape` draws them.

mod plan;
mod point;
mod shape;

use crate::constants;
use serde::{Deserialize, Serialize};

pub use plan::Plan;
pub use point::{Point, UnknownPoint};

/// One kind of fault; machines are numbers from 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FaultKind {
    /// The machine hears no other machine and none hears it; callers may still reach it.
    #[serde(rename = "cut-off")]
    Isolation {
        /// which machine
        machine: usize,
        /// whether callers are cut off from it as well
        callers_too: bool,
    },
    /// Nothing passes from one machine to another; the way back stands.
    OneWay {
        /// who is not heard
        from: usize,
        /// who doesn't hear
        to: usize,
    },
    /// The connections between two machines are reset, once.
    Reset {
        /// one end
        one: usize,
        /// the other end
        other: usize,
    },
    /// The callers outside don't reach a machine, or its answers don't reach them.
    #[serde(rename = "callers-cut")]
    ClientPartition {
        /// which machine
        machine: usize,
        /// whether calls still come through
        answers_only: bool,
    },
    /// The process is killed, and started again at the end.
    Kill {
        /// which machine
        machine: usize,
    },
    /// The process is told to leave, and started again at the end.
    Leave {
        /// which machine
        machine: usize,
    },
    /// The power goes: unsynced writes are lost and nobody is told.
    PowerLoss {
        /// which machine
        machine: usize,
    },
    /// As the loss of power, and the disk comes back empty.
    LoseDisk {
        /// which machine
        machine: usize,
    },
    /// Nothing of the machine is sent or synced; its timers go on.
    Freeze {
        /// which machine
        machine: usize,
    },
    /// Whatever the machine sends or is sent comes late, at times after its caller gave up.
    SlowLinks {
        /// which machine
        machine: usize,
    },
    /// Each sync takes long.
    SlowDisk {
        /// which machine
        machine: usize,
    },
    /// Syncs don't end.
    HungDisk {
        /// which machine
        machine: usize,
    },
    /// Writes are refused.
    FullDisk {
        /// which machine
        machine: usize,
    },
    /// The machine is gone for good; another one comes at a new address with an empty disk.
    Replace {
        /// which machine
        machine: usize,
    },
    /// All machines go down at once, and come back together.
    AllDown {
        /// whether their power goes, and not only their processes
        power: bool,
        /// those whose disks come back empty
        wiped: Vec<usize>,
    },
    /// The seeds in the settings of a machine are changed to its own and those of later machines.
    Reseed {
        /// which machine
        machine: usize,
    },
}

impl FaultKind {
    /// The machine that can't be counted on meanwhile, if any.
    pub fn machine_lost(&self) -> Option<usize> {
        match self {
            FaultKind::Reset { .. }
            | FaultKind::ClientPartition { .. }
            | FaultKind::AllDown { .. }
            | FaultKind::Reseed { .. } => None,
            FaultKind::OneWay { from, .. } => Some(*from),
            FaultKind::Isolation { machine, .. }
            | FaultKind::Kill { machine }
            | FaultKind::Leave { machine }
            | FaultKind::PowerLoss { machine }
            | FaultKind::LoseDisk { machine }
            | FaultKind::Freeze { machine }
            | FaultKind::SlowLinks { machine }
            | FaultKind::SlowDisk { machine }
            | FaultKind::HungDisk { machine }
            | FaultKind::FullDisk { machine }
            | FaultKind::Replace { machine } => Some(*machine),
        }
    }
}

impl FaultKind {
    pub(crate) fn downs_all(&self) -> bool {
        matches!(self, FaultKind::AllDown { .. })
    }
}

/// One fault with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// ms since the run began.
    pub from_ms: u64,
    /// ms until it ends.
    pub for_ms: u64,
    /// What goes wrong.
    #[serde(flatten)]
    pub kind: FaultKind,
}

impl Fault {
    /// Whether two faults, each with the time of catching up after it, come upon each other.
    fn meets(&self, other: &Fault) -> bool {
        let until = |fault: &Fault| fault.until_ms() + constants::CATCH_UP_MS;
        other.from_ms < until(self) && self.from_ms < until(other)
    }

    /// ms since the run began at which it is over.
    pub fn until_ms(&self) -> u64 {
        self.from_ms + self.for_ms
    }
}

#[cfg(test)]
mod tests;
