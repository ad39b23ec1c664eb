//! The plan of a run, and the limit on its concurrent faults.

use super::shape::RunShape;
use super::{Fault, FaultKind, FaultMix};
use crate::constants;
use serde::{Deserialize, Serialize};

/// The parameters and faults of one run, which can be saved and replayed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Seed of all delays and random choices.
    pub seed: u64,
    /// Mix that the faults are drawn from.
    pub point: FaultMix,
    /// Number of initial members.
    pub members: usize,
    /// Number of additional controllers that are not initially members.
    pub standbys: usize,
    /// Number of operators that send configurations.
    pub operators: usize,
    /// Mean pause between two updates of one operator.
    #[serde(rename = "order_pause_ms")]
    pub update_interval_ms: u64,
    /// Faults, ordered by start time.
    pub faults: Vec<Fault>,
}

impl Plan {
    /// Draws a plan from a seed.
    pub fn random(seed: u64, mix: FaultMix) -> Plan {
        let mut rng = fastrand::Rng::with_seed(seed);
        let shape = RunShape::draw(mix, &mut rng);
        let mut plan = Plan {
            seed,
            point: mix,
            members: shape.members,
            standbys: shape.standbys,
            operators: shape.operators,
            update_interval_ms: shape.update_interval_ms,
            faults: Vec::new(),
        };
        for _ in 0..shape.fault_attempts {
            let fault = shape.draw_fault(&plan, &mut rng);
            if plan.allows(&fault) {
                plan.faults.push(fault);
            }
        }
        plan.faults.sort_by_key(|fault| (fault.from_ms, fault.for_ms));
        plan
    }

    /// Number of members that may be lost at once while all invariants hold.
    pub fn max_losses(&self) -> usize {
        (self.members - 1) / 2
    }

    /// End of the last fault, or of the warm-up if that is later, in milliseconds since the run began.
    pub fn faults_end_ms(&self) -> u64 {
        let last = self.faults.iter().map(Fault::end_ms).max().unwrap_or(0);
        last.max(constants::WARM_UP.as_millis() as u64)
    }

    /// Whether a fault can be added without losing more machines at once than the platform tolerates: a
    /// restarted machine counts as lost while it catches up, and no machine is lost during a full outage.
    fn allows(&self, new: &Fault) -> bool {
        let overlapping: Vec<&Fault> =
            self.faults.iter().filter(|fault| fault.overlaps(new)).collect();
        let loses_machine = |fault: &&&Fault| {
            fault.kind.unavailable_machine().is_some() || fault.kind.is_full_outage()
        };
        if new.kind.is_full_outage() {
            return !overlapping.iter().any(|fault| loses_machine(&fault));
        }
        let Some(machine) = new.kind.unavailable_machine() else { return true };
        if overlapping.iter().any(|fault| fault.kind.is_full_outage())
            || self.affects_removed_machine(machine, new)
        {
            return false;
        }
        let mut others: Vec<usize> =
            overlapping.iter().filter_map(|fault| fault.kind.unavailable_machine()).collect();
        others.sort_unstable();
        others.dedup();
        !others.contains(&machine) && others.len() < self.max_losses()
    }

    /// Whether a fault would affect a machine after its permanent removal.
    fn affects_removed_machine(&self, machine: usize, new: &Fault) -> bool {
        let is_removal = |fault: &Fault| fault.kind == FaultKind::Replace { machine };
        let removed_before = self.faults.iter().any(is_removal);
        let is_removed_too_early = is_removal(new)
            && self.faults.iter().any(|fault| {
                fault.kind.unavailable_machine() == Some(machine) && fault.from_ms > new.from_ms
            });
        removed_before || is_removed_too_early
    }
}
