use super::{Phase, Shutdown};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn phase_never_moves_back_and_first_end_time_stays_in_force() {
    let shutdown = Shutdown::default();
    assert_eq!((shutdown.phase(), shutdown.ends_at()), (Phase::Serving, None));
    let exit_at = Instant::now() + Duration::from_secs(7);
    shutdown.begin(exit_at);
    shutdown.advance(Phase::Terminating);
    shutdown.advance(Phase::Closing);
    shutdown.begin(exit_at + Duration::from_secs(7));
    assert_eq!((shutdown.phase(), shutdown.ends_at()), (Phase::Terminating, Some(exit_at)));
}

#[tokio::test(start_paused = true)]
async fn reached_returns_in_its_phase_or_later_even_if_called_afterwards() {
    let shutdown = Shutdown::default();
    let reached = shutdown.reached(Phase::Closing);
    tokio::pin!(reached);
    shutdown.begin(Instant::now());
    let early = tokio::time::timeout(Duration::from_secs(1), &mut reached).await;
    assert!(early.is_err(), "returned while still draining");
    shutdown.advance(Phase::Terminating);
    reached.await;
    shutdown.reached(Phase::Closing).await;
}
