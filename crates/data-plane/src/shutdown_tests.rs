use super::{Phase, Shutdown};
use std::time::Duration;
use tokio::time::Instant;

#[test]
fn the_phase_never_goes_back_and_the_first_end_stands() {
    let shutdown = Shutdown::default();
    assert_eq!((shutdown.phase(), shutdown.ends_at()), (Phase::Serving, None));
    let end = Instant::now() + Duration::from_secs(7);
    shutdown.begin(end);
    shutdown.advance(Phase::Answering);
    shutdown.advance(Phase::Closing);
    shutdown.begin(end + Duration::from_secs(7));
    assert_eq!((shutdown.phase(), shutdown.ends_at()), (Phase::Answering, Some(end)));
}

#[tokio::test(start_paused = true)]
async fn a_wait_ends_with_its_phase_or_a_later_one_also_if_it_begins_after_it() {
    let shutdown = Shutdown::default();
    let waiting = shutdown.reached(Phase::Closing);
    tokio::pin!(waiting);
    shutdown.begin(Instant::now());
    let early = tokio::time::timeout(Duration::from_secs(1), &mut waiting).await;
    assert!(early.is_err(), "it only drains as yet");
    shutdown.advance(Phase::Answering);
    waiting.await;
    shutdown.reached(Phase::Closing).await;
}
