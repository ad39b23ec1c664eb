//! Waits that end at the deadline of a request, or when this router has to answer it.

use super::dispatch_cutoff::CutoffReason;
use super::stage::ClientRequest;
use crate::Router;
use crate::shutdown::Phase;
use fleet_core::constants;
use tokio::time::Instant;

/// Why a step was stopped.
pub enum Interrupted {
    /// The engine must not begin the request any more.
    CutOff(CutoffReason),
    /// The deadline has passed.
    TimedOut,
    /// The router shuts down, and has to answer pending requests.
    RouterShutdown,
}

/// Runs a step until `deadline`, or until this router has to answer pending requests. A step that completes at the
/// same moment counts as completed.
///
/// # Errors
///
/// The step was dropped before it completed; what it has done until then is not undone.
pub async fn run_until<F: Future>(
    router: &Router,
    deadline: Instant,
    step: F,
) -> Result<F::Output, Interrupted> {
    tokio::select! {
        biased;
        result = tokio::time::timeout_at(deadline, step) => result.map_err(|_| Interrupted::TimedOut),
        () = router.shutdown.reached(Phase::Terminating) => Err(Interrupted::RouterShutdown),
    }
}

/// The last time at which a response could still reach the client before its deadline.
pub fn send_deadline(request: &ClientRequest) -> Instant {
    request.deadline - constants::DEADLINE_MARGIN
}
