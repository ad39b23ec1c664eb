//! Checks a history against the invariants of the control plane.
//!
//! `changes` collects the outcome of each configuration change; `configuration` and `cluster` contain the checks.

mod changes;
mod cluster;
mod configuration;

use crate::history::History;
use changes::Changes;
use cluster::*;
use configuration::*;

/// The invariants that a history can violate, numbered as in the design.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Invariant {
    /// I1: committed changes are never lost.
    Durability,
    /// I2: committed versions form one chain.
    Chain,
    /// I3: a definite response to a change is correct: what was refused never takes effect.
    Answers,
    /// I4: reads and refusals reflect the current version.
    Fresh,
    /// I5: a lease has one holder at a time, and each fencing token has one holder ever.
    Holder,
    /// I6: each epoch has one membership, and memberships change by one member at a time.
    Members,
    /// I7: a member that was unreachable catches up.
    CatchUp,
    /// I8: a call gets the response to its own request and is handled at most once.
    Calls,
    /// No controller panics.
    NoPanic,
    /// Once the faults have ended, changes are acknowledged.
    Progress,
}

impl Invariant {
    /// The short name used in documentation and reports.
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

/// A violated invariant, with its evidence.
#[derive(Debug, Clone, serde::Serialize)]
pub struct Violation {
    /// The invariant that is violated.
    pub invariant: Invariant,
    /// The operations that contradict each other.
    pub why: String,
}

/// Returns all violations in a history; empty if every invariant holds.
pub fn check(history: &History) -> Vec<Violation> {
    let mut findings = Findings::default();
    let changes = Changes::collect(history);
    check_chain(&changes, &mut findings);
    check_order(&changes, &mut findings);
    check_answers(history, &changes, &mut findings);
    check_refusals(history, &changes, &mut findings);
    check_reads(history, &changes, &mut findings);
    check_last_reads(history, &changes, &mut findings);
    check_holders(history, &mut findings);
    check_memberships(history, &mut findings);
    check_caught_up(history, &changes, &mut findings);
    check_drains(history, &mut findings);
    check_calls(history, &mut findings);
    check_panics(history, &mut findings);
    check_progress(history, &mut findings);
    findings.0
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
