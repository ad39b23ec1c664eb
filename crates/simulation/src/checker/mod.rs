//! Judges a history by the invariants of the control plane.
//!
//! `changes` collects what became of each change of the configuration, `configuration` and `cluster` hold the checks.

mod changes;
mod cluster;
mod configuration;

use crate::history::History;
use changes::Changes;
use cluster::*;
use configuration::*;

/// The rules that a history can break, numbered as in the design.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Invariant {
    /// I1: what was committed is for ever.
    Durability,
    /// I2: committed versions form one chain.
    Chain,
    /// I3: an answer is given only when it is certain.
    Answers,
    /// I4: reads and refusals are fresh.
    Fresh,
    /// I5: one holder of a lease, under one fencing token.
    Holder,
    /// I6: one membership an epoch, changed by one member at a time.
    Members,
    /// I7: a member that was unreachable catches up.
    CatchUp,
    /// I8: one caller, one answer.
    Calls,
    /// No controller panics.
    NoPanic,
    /// Progress: once the faults have ended, changes are acknowledged.
    Progress,
}

impl Invariant {
    /// The short name that docs and reports use.
    pub fn code(self) -> &'static str {
        match self {
            Invariant::Durability => "I1",
            Invariant::Chain => "I2",
            Invariant::Answers => "I3",
            Invariant::Fresh => "I4",
            Invariant::Holder => "I5",
            Invariant::Members => "I6",
            Invariant::CatchUp => "I7",
            Invariant::Calls => "I8",
            Invariant::NoPanic => "no-panic",
            Invariant::Progress => "progress",
        }
    }
}

/// One broken invariant, with what shows it.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Violation {
    /// Which rule.
    pub invariant: Invariant,
    /// The operations that contradict each other.
    pub why: String,
}

/// All that a history breaks; empty for a clean one.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Findings::default();
    let changes = Changes::collect(history);
    check_chain(&changes, &mut found);
    check_order(&changes, &mut found);
    check_answers(history, &changes, &mut found);
    check_refusals(history, &changes, &mut found);
    check_reads(history, &changes, &mut found);
    check_last_reads(history, &changes, &mut found);
    check_holders(history, &mut found);
    check_memberships(history, &mut found);
    check_caught_up(history, &changes, &mut found);
    check_drains(history, &mut found);
    check_calls(history, &mut found);
    check_panics(history, &mut found);
    check_progress(history, &mut found);
    found.0
}

#[derive(Default)]
struct Findings(Vec<Violation>);

impl Findings {
    fn add(&mut self, invariant: Invariant, why: String) {
        self.0.push(Violation { invariant, why });
    }
}

#[cfg(test)]
mod tests;
