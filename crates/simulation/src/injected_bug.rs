//! Deliberate defects of the simulated world, one for each invariant, that the checker must find.

use crate::checker::Invariant;
use crate::fault::Point;

/// One defect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedBug {
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

impl InjectedBug {
    /// Every defect, in the order of the invariants.
    pub const EVERY: [InjectedBug; 8] = [
        InjectedBug::LyingDisk,
        InjectedBug::EarlyAcknowledgement,
        InjectedBug::HastyRefusal,
        InjectedBug::StaleRead,
        InjectedBug::LongLease,
        InjectedBug::SecondFounding,
        InjectedBug::StuckMember,
        InjectedBug::RepeatedCall,
    ];

    /// The mix of faults that shows it best.
    pub fn shown_by(self) -> Point {
        match self {
            InjectedBug::LyingDisk | InjectedBug::StuckMember => Point::Hundreds,
            InjectedBug::EarlyAcknowledgement | InjectedBug::HastyRefusal => Point::Race,
            InjectedBug::StaleRead | InjectedBug::LongLease => Point::Isolation,
            InjectedBug::SecondFounding => Point::SecondLoss,
            InjectedBug::RepeatedCall => Point::Calls,
        }
    }

    /// The invariant that this defect breaks.
    pub fn breaks(self) -> Invariant {
        match self {
            InjectedBug::LyingDisk => Invariant::Durability,
            InjectedBug::EarlyAcknowledgement => Invariant::Chain,
            InjectedBug::HastyRefusal => Invariant::Answers,
            InjectedBug::StaleRead => Invariant::Fresh,
            InjectedBug::LongLease => Invariant::Holder,
            InjectedBug::SecondFounding => Invariant::Members,
            InjectedBug::StuckMember => Invariant::CatchUp,
            InjectedBug::RepeatedCall => Invariant::Calls,
        }
    }
}
