//! Deliberate defects of the simulated world, one for each invariant, that the checker must find.

use crate::checker::Invariant;
use crate::fault::Point;

/// One defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mutant {
    /// Disks say that they kept what they didn't, half of the time.
    LyingDisk,
    /// A node acknowledges a change that it couldn't carry out.
    EarlyAcknowledgement,
    /// A node answers 412 where nothing is known.
    HastyRefusal,
    /// A node answers reads from what it holds, without asking the others.
    StaleRead,
    /// One node counts a lease longer than the others.
    LongLease,
    /// A member that lost its disk founds a membership of its own.
    SecondFounding,
    /// A member's disk never comes back to work after the last fault.
    StuckMember,
    /// A caller sends a call again when its answer is late.
    RepeatedCall,
}

impl Mutant {
    /// Every defect, in the order of the invariants.
    pub const EVERY: [Mutant; 8] = [
        Mutant::LyingDisk,
        Mutant::EarlyAcknowledgement,
        Mutant::HastyRefusal,
        Mutant::StaleRead,
        Mutant::LongLease,
        Mutant::SecondFounding,
        Mutant::StuckMember,
        Mutant::RepeatedCall,
    ];

    /// The mix of faults that shows it best.
    pub fn shown_by(self) -> Point {
        match self {
            Mutant::LyingDisk | Mutant::StuckMember => Point::Hundreds,
            Mutant::EarlyAcknowledgement | Mutant::HastyRefusal => Point::Race,
            Mutant::StaleRead | Mutant::LongLease => Point::CutOff,
            Mutant::SecondFounding => Point::SecondLoss,
            Mutant::RepeatedCall => Point::Calls,
        }
    }

    /// The invariant that this defect breaks.
    pub fn breaks(self) -> Invariant {
        match self {
            Mutant::LyingDisk => Invariant::CommitNotice,
            Mutant::EarlyAcknowledgement => Invariant::Chain,
            Mutant::HastyRefusal => Invariant::Answers,
            Mutant::StaleRead => Invariant::Fresh,
            Mutant::LongLease => Invariant::Holder,
            Mutant::SecondFounding => Invariant::Members,
            Mutant::StuckMember => Invariant::CatchUp,
            Mutant::RepeatedCall => Invariant::Calls,
        }
    }
}
