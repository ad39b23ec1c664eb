use super::{Phase, Shutdown};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn phase_never_moves_back_and_first_end_time_stays_in_force() {
    let shutdown = Shutdown::default();
    assert_eq!((shutdown.phase(), shutdown.ends_at()), (Phase::Serving, None));
    let end = Instant::now() + Duration::from_secs(7);
    shutdown.begin(end);
    shutdown.advance(Phase::Terminating);
    shutdown.advance(Phase::Closing);
    shutdown.begin(end + Duration::from_secs(7));
    assert_eq!((shutdown.phase(), shutdown.ends_at()), (Phase::Terminating, Some(end)));
}

#[tokio::test(start_paused = true)]
async fn reached_returns_in_its_phase_or_later_even_if_called_afterwards() {
    let shutdown = Shutdown::default();
    let waiting = shutdown.reached(Phase::Closing);
    tokio::pin!(waiting);
    shutdown.begin(Instant::now());
    let early = tokio::time::timeout(Duration::from_secs(1), &mut waiting).await;
    assert!(early.is_err(), "returned while still draining");
    shutdown.advance(Phase::Terminating);
    waiting.await;
    shutdown.reached(Phase::Closing).await;
}
