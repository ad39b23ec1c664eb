//! Shrinks a failing plan by removing faults.

use crate::checker::Invariant;
use crate::fault::Plan;
use crate::run::run;

/// Removes faults one by one while the plan still violates the same invariant, and returns the smallest
/// plan found within the given number of runs.
///
/// # Errors
///
/// If a runtime cannot be created.
pub fn shrink(plan: &Plan, invariant: Invariant, runs: usize) -> std::io::Result<Plan> {
    let mut smallest = plan.clone();
    let mut runs_left = runs;
    let mut index = 0;
    while index < smallest.faults.len() && runs_left > 0 {
        runs_left -= 1;
        let mut candidate = smallest.clone();
        candidate.faults.remove(index);
        let outcome = run(&candidate, None)?;
        let still_fails =
            outcome.violations.iter().any(|violation| violation.invariant == invariant);
        if still_fails {
            smallest = candidate;
        } else {
            index += 1;
        }
    }
    Ok(smallest)
}
