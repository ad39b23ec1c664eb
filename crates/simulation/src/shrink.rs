//! Makes a failing plan smaller by leaving faults out.

use crate::checker::Invariant;
use crate::fault::Plan;
use crate::run::run;

/// The smallest plan found that still breaks the same invariant: faults are left out one by one,
/// for as long as any can be, within so many runs.
///
/// # Errors
///
/// When a runtime can't be made.
pub fn shrink(plan: &Plan, invariant: Invariant, runs: usize) -> std::io::Result<Plan> {
    let mut smallest = plan.clone();
    let mut runs_left = runs;
    let mut place = 0;
    while place < smallest.faults.len() && runs_left > 0 {
        runs_left -= 1;
        let mut fewer = smallest.clone();
        fewer.faults.remove(place);
        let outcome = run(&fewer, None)?;
        let still = outcome.violations.iter().any(|violation| violation.invariant == invariant);
        if still {
            smallest = fewer;
        } else {
            place += 1;
        }
    }
    Ok(smallest)
}
