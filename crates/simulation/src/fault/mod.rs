//! The faults of a run: drawn from a seed, saved, replayed, and removed one by one to shrink a failing run.
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
        /// The machine that is partitioned.
        machine: usize,
        /// Whether it is partitioned from clients as well.
        callers_too: bool,
    },
    /// Traffic from one machine to another is blocked; the reverse direction stays open.
    OneWay {
        /// The machine whose outgoing traffic is blocked.
        from: usize,
        /// The machine that the traffic is addressed to.
        to: usize,
    },
    /// The connections between two machines are reset, once.
    Reset {
        /// One end of the connections.
        one: usize,
        /// The other end of the connections.
        other: usize,
    },
    /// The clients cannot reach a machine, or only its responses are lost.
    #[serde(rename = "callers-cut")]
    ClientPartition {
        /// The machine that is partitioned from clients.
        machine: usize,
        /// Whether only responses are blocked, so that calls still arrive.
        answers_only: bool,
    },
    /// The process is killed, and restarted when the fault ends.
    Kill {
        /// The machine whose process is killed.
        machine: usize,
    },
    /// The process is shut down gracefully, and restarted when the fault ends.
    Leave {
        /// The machine whose process is shut down.
        machine: usize,
    },
    /// The machine loses power: unsynced writes are lost, and its connections hang.
    PowerLoss {
        /// The machine that loses power.
        machine: usize,
    },
    /// The machine loses power, and its disk comes back empty.
    LoseDisk {
        /// The machine that loses power and the content of its disk.
        machine: usize,
    },
    /// The machine neither sends, receives nor syncs; its timers continue.
    Freeze {
        /// The machine that stops communicating and syncing.
        machine: usize,
    },
    /// Traffic to and from the machine is delayed, at times beyond the caller's timeout.
    SlowLinks {
        /// The machine whose traffic is delayed.
        machine: usize,
    },
    /// Each sync is delayed.
    SlowDisk {
        /// The machine with the slow disk.
        machine: usize,
    },
    /// Syncs do not complete.
    HungDisk {
        /// The machine whose disk hangs.
        machine: usize,
    },
    /// Writes fail because the disk is full.
    FullDisk {
        /// The machine whose disk is full.
        machine: usize,
    },
    /// The machine is removed permanently; when the fault ends, a new one with a new address and an empty disk replaces
    /// it.
    Replace {
        /// The machine that is removed.
        machine: usize,
    },
    /// All machines go down at once, and are restarted together.
    AllDown {
        /// Whether they lose power, instead of only having their processes killed.
        power: bool,
        /// The machines whose disks come back empty.
        wiped: Vec<usize>,
    },
    /// The seeds in a machine's settings are replaced by the addresses of the last machines.
    Reseed {
        /// The machine whose settings change.
        machine: usize,
    },
}

impl FaultKind {
    /// The machine that may be unavailable during the fault, if any; `None` also for [`FaultKind::AllDown`].
    pub fn unavailable_machine(&self) -> Option<usize> {
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
    /// Start, in milliseconds since the run began.
    pub from_ms: u64,
    /// Duration in milliseconds.
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

    /// End, in milliseconds since the run began.
    pub fn end_ms(&self) -> u64 {
        self.from_ms + self.for_ms
    }
}

#[cfg(test)]
mod tests;
