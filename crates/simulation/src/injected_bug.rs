//! Injected bugs, one for each numbered invariant, that the checker must detect.

use crate::checker::Invariant;
use crate::fault::FaultMix;

/// A bug that a run injects into its controllers, disks or callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum InjectedBug {
    /// Disks lose half of the writes that they acknowledge.
    LyingDisk,
    /// A change with an unknown outcome is reported as acknowledged.
    EarlyAcknowledgement,
    /// A change with an unknown outcome is reported as refused with 412.
    HastyRefusal,
    /// A node answers reads from its local state, without confirmation by a majority.
    StaleRead,
    /// One node uses a longer lease duration than the others.
    LongLease,
    /// A member that lost its disk bootstraps a membership of its own.
    SecondFounding,
    /// The disk of a restarted member hangs and is never repaired.
    StuckMember,
    /// A caller repeats a call that has timed out.
    RepeatedCall,
}

impl InjectedBug {
    /// Every injected bug, in the order of the invariants.
    pub const VARIANTS: [InjectedBug; 8] = [
        InjectedBug::LyingDisk,
        InjectedBug::EarlyAcknowledgement,
        InjectedBug::HastyRefusal,
        InjectedBug::StaleRead,
        InjectedBug::LongLease,
        InjectedBug::SecondFounding,
        InjectedBug::StuckMember,
        InjectedBug::RepeatedCall,
    ];

    /// The mix of faults that is best at exposing it.
    pub fn exposing_mix(self) -> FaultMix {
        match self {
            InjectedBug::LyingDisk | InjectedBug::StuckMember => FaultMix::Hundreds,
            InjectedBug::EarlyAcknowledgement | InjectedBug::HastyRefusal => FaultMix::Race,
            InjectedBug::StaleRead | InjectedBug::LongLease => FaultMix::Isolation,
            InjectedBug::SecondFounding => FaultMix::SecondLoss,
            InjectedBug::RepeatedCall => FaultMix::Calls,
        }
    }

    /// The invariant that it violates.
    pub fn violated_invariant(self) -> Invariant {
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
