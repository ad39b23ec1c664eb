//! A whole run, and which faults it bears.

use super::shape::Shape;
use super::{Fault, FaultKind, Point};
use crate::constants;
use serde::{Deserialize, Serialize};

/// A whole run: printed, kept in a file, and played again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// What all delays and choices are drawn from.
    pub seed: u64,
    /// Which mix.
    pub point: Point,
    /// Controllers that found the membership.
    pub members: usize,
    /// Controllers beside them that wait to stand in.
    pub standbys: usize,
    /// Operators that send configurations.
    pub operators: usize,
    /// ms; the pause between two orders of one operator.
    #[serde(rename = "order_pause_ms")]
    pub order_interval_ms: u64,
    /// What goes wrong, by time.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a run from a seed.
    pub fn random(seed: u64, point: Point) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let shape = Shape::of(point, &mut rng);
        let mut plan = Plan {
            seed,
            point,
            members: shape.members,
            standbys: shape.standbys,
            operators: shape.operators,
            order_interval_ms: shape.order_interval_ms,
            faults: Vec::new(),
        };
        for _ in 0..shape.tries {
            let fault = shape.fault(&plan, &mut rng);
            if plan.bears(&fault) {
                plan.faults.push(fault);
            }
        }
        plan.faults.sort_by_key(|fault| (fault.from_ms, fault.for_ms));
        plan
    }

    /// Members that may be lost together with all rules kept.
    pub fn losses(&self) -> usize {
        (self.members - 1) / 2
    }

    /// ms since the run began at which the last fault is over.
    pub fn calm_from_ms(&self) -> u64 {
        let last = self.faults.iter().map(Fault::until_ms).max().unwrap_or(0);
        last.max(constants::WARM_UP.as_millis() as u64)
    }

    /// Never more machines at once than the platform says may be lost: one that is back counts as
    /// lost for the time of catching up, and while all are down nothing else is lost.
    fn bears(&self, new: &Fault) -> bool {
        let met: Vec<&Fault> = self.faults.iter().filter(|fault| fault.meets(new)).collect();
        let counts =
            |fault: &&&Fault| fault.kind.machine_lost().is_some() || fault.kind.downs_all();
        if new.kind.downs_all() {
            return !met.iter().any(|fault| counts(&fault));
        }
        let Some(machine) = new.kind.machine_lost() else { return true };
        if met.iter().any(|fault| fault.kind.downs_all()) || self.outlives(machine, new) {
            return false;
        }
        let mut others: Vec<usize> =
            met.iter().filter_map(|fault| fault.kind.machine_lost()).collect();
        others.sort_unstable();
        others.dedup();
        !others.contains(&machine) && others.len() < self.losses()
    }

    /// Whether a machine would have a fault after it was gone for good.
    fn outlives(&self, machine: usize, new: &Fault) -> bool {
        let goes = |fault: &Fault| fault.kind == FaultKind::Replace { machine };
        let removed_before = self.faults.iter().any(goes);
        let goes_too_soon = goes(new)
            && self.faults.iter().any(|fault| {
                fault.kind.machine_lost() == Some(machine) && fault.from_ms > new.from_ms
            });
        removed_before || goes_too_soon
    }
}
