//! The faults of a run: drawn from a seed, saved, replayed, and left out one by one when a failing run is shrunk.
//!
//! A [`Plan`] lists the scheduled [`Fault`]s of a run; a [`FaultMix`] selects the kinds that `shape` draws.

mod mix;
mod plan;
mod shape;

use crate::constants;
use serde::{Deserialize, Serialize};

pub use mix::{FaultMix, UnknownFaultMix};
pub use plan::Plan;

/// One kind of fault; machines are numbered from 0.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind")]
pub enum FaultKind {
    /// The machine is partitioned from all other machines; clients may still reach it.
    #[serde(rename = "cut-off")]
    Isolation {
        /// which machine
        machine: usize,
        /// whether it is partitioned from clients as well
        callers_too: bool,
    },
    /// Traffic from one machine to another is blocked; the reverse direction stays open.
    OneWay {
        /// the sender
        from: usize,
        /// the receiver
        to: usize,
    },
    /// The connections between two machines are reset, once.
    Reset {
        /// one end
        one: usize,
        /// the other end
        other: usize,
    },
    /// The clients cannot reach a machine, or only its responses are lost.
    #[serde(rename = "callers-cut")]
    ClientPartition {
        /// which machine
        machine: usize,
        /// whether only responses are blocked, and calls still arrive
        answers_only: bool,
    },
    /// The process is killed, and restarted when the fault ends.
    Kill {
        /// which machine
        machine: usize,
    },
    /// The process is told to leave, and restarted when the fault ends.
    Leave {
        /// which machine
        machine: usize,
    },
    /// The machine loses power: unsynced writes are lost, and its connections hang.
    PowerLoss {
        /// which machine
        machine: usize,
    },
    /// The machine loses power, and its disk comes back empty.
    LoseDisk {
        /// which machine
        machine: usize,
    },
    /// The machine neither sends, receives nor syncs; its timers continue.
    Freeze {
        /// which machine
        machine: usize,
    },
    /// Traffic to and from the machine is delayed, at times beyond the caller's timeout.
    SlowLinks {
        /// which machine
        machine: usize,
    },
    /// Each sync is slow.
    SlowDisk {
        /// which machine
        machine: usize,
    },
    /// Syncs do not complete.
    HungDisk {
        /// which machine
        machine: usize,
    },
    /// Writes fail because the disk is full.
    FullDisk {
        /// which machine
        machine: usize,
    },
    /// The machine is removed permanently; when the fault ends, a new one with a new address and an empty disk replaces
    /// it.
    Replace {
        /// which machine
        machine: usize,
    },
    /// All machines go down at once, and are restarted together.
    AllDown {
        /// whether they lose power, instead of only having their processes killed
        power: bool,
        /// machines whose disks come back empty
        wiped: Vec<usize>,
    },
    /// The seeds in a machine's settings are replaced by the addresses of the last machines.
    Reseed {
        /// which machine
        machine: usize,
    },
}

impl FaultKind {
    /// The machine that may be unavailable during the fault, if any; `None` also for [`FaultKind::AllDown`].
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
    pub(crate) fn is_full_outage(&self) -> bool {
        matches!(self, FaultKind::AllDown { .. })
    }
}

/// A scheduled fault.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Start; ms since the run began.
    pub from_ms: u64,
    /// Duration; ms.
    pub for_ms: u64,
    /// Kind of fault.
    #[serde(flatten)]
    pub kind: FaultKind,
}

impl Fault {
    /// Whether two faults overlap, each extended by the time for catching up after it.
    fn overlaps(&self, other: &Fault) -> bool {
        let blocked_until = |fault: &Fault| fault.end_ms() + constants::CATCH_UP_MS;
        other.from_ms < blocked_until(self) && self.from_ms < blocked_until(other)
    }

    /// End; ms since the run began.
    pub fn end_ms(&self) -> u64 {
        self.from_ms + self.for_ms
    }
}

#[cfg(test)]
mod tests;
