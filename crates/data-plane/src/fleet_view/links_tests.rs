use super::*;
use std::time::Duration;

const LONG_TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test(start_paused = true)]
async fn a_connection_that_is_re_established_at_once_is_no_lost_controller() {
    let mut loss = LossDetector::default();
    loss.link_changed(false, Instant::now());
    let reconnected = constants::RECONNECT_BACKOFF + Duration::from_millis(50);
    assert!(tokio::time::timeout(reconnected, loss.lost()).await.is_err());
    loss.link_changed(true, Instant::now());
    assert!(tokio::time::timeout(LONG_TIMEOUT, loss.lost()).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn a_controller_that_stays_unreachable_is_reported_lost_once_since_its_link_went_down() {
    let mut loss = LossDetector::default();
    let down_since = Instant::now();
    loss.link_changed(false, down_since);
    assert_eq!(tokio::time::timeout(LONG_TIMEOUT, loss.lost()).await, Ok(down_since));
    assert!(
        tokio::time::timeout(LONG_TIMEOUT, loss.lost()).await.is_err(),
        "the loss has already been returned"
    );
    loss.link_changed(true, Instant::now());
    loss.link_changed(false, Instant::now());
    assert!(tokio::time::timeout(LONG_TIMEOUT, loss.lost()).await.is_ok(), "another loss");
}
