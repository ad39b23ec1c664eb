//! Mixes of faults, by the defects that they target.

use serde::{Deserialize, Serialize};

/// A mix of faults, selected with `--point`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultMix {
    /// Machines partitioned in one or both directions.
    #[serde(rename = "cut-off")]
    Isolation,
    /// Several operators that use the same revision numbers, with lost responses.
    Race,
    /// A second loss shortly after a repair or a replacement.
    SecondLoss,
    /// A member that is unreachable during hundreds of changes.
    Hundreds,
    /// Connections that are reset or blocked during calls.
    Calls,
    /// All kinds of faults.
    All,
}

impl FaultMix {
    /// Every mix, in the order of `--help`.
    pub const VARIANTS: [FaultMix; 6] = [
        FaultMix::Isolation,
        FaultMix::Race,
        FaultMix::SecondLoss,
        FaultMix::Hundreds,
        FaultMix::Calls,
        FaultMix::All,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            FaultMix::Isolation => "cut-off",
            FaultMix::Race => "race",
            FaultMix::SecondLoss => "second-loss",
            FaultMix::Hundreds => "hundreds",
            FaultMix::Calls => "calls",
            FaultMix::All => "all",
        }
    }
}

/// `{0}` is not one of cut-off, race, second-loss, hundreds, calls, all
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct UnknownFaultMix(String);

impl std::str::FromStr for FaultMix {
    type Err = UnknownFaultMix;

    fn from_str(text: &str) -> Result<FaultMix, UnknownFaultMix> {
        let mix = FaultMix::VARIANTS.into_iter().find(|mix| mix.name() == text);
        mix.ok_or_else(|| UnknownFaultMix(text.to_owned()))
    }
}
