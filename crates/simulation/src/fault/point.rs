//! The mixes of faults, by what they are meant to find.

use serde::{Deserialize, Serialize};

/// The mixes of faults that `--point` picks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Point {
    /// Machines cut off, one way and both.
    #[serde(rename = "cut-off")]
    Isolation,
    /// Several operators with the same numbers, answers lost.
    Race,
    /// A second loss right after a repair or a replacement.
    SecondLoss,
    /// A member away for hundreds of changes.
    Hundreds,
    /// Connections reset and held up under calls.
    Calls,
    /// All of these.
    All,
}

impl Point {
    /// Every point, in the order of `--help`.
    pub const EVERY: [Point; 6] = [
        Point::Isolation,
        Point::Race,
        Point::SecondLoss,
        Point::Hundreds,
        Point::Calls,
        Point::All,
    ];

    /// The name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Point::Isolation => "cut-off",
            Point::Race => "race",
            Point::SecondLoss => "second-loss",
            Point::Hundreds => "hundreds",
            Point::Calls => "calls",
            Point::All => "all",
        }
    }
}

/// `{0}` is none of cut-off, race, second-loss, hundreds, calls, all
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct UnknownPoint(String);

impl std::str::FromStr for Point {
    type Err = UnknownPoint;

    fn from_str(text: &str) -> Result<Point, UnknownPoint> {
        let point = Point::EVERY.into_iter().find(|point| point.name() == text);
        point.ok_or_else(|| UnknownPoint(text.to_owned()))
    }
}
