//! A router that shuts down begins nothing that it can't end.

use super::harness::{Fleet, StubEngine, Then, complete, request, status};
use std::time::Duration;
use tokio::time::Instant;

/// Tokens that the harness's requests declare to be put out.
const DECLARED: u64 = 5;

#[tokio::test]
async fn a_request_that_would_outlast_the_router_is_rejected_unsent_for_another_router() {
    let engine = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.stream_paces.record("s", DECLARED, Duration::from_secs(10));
    assert_eq!(status(&fleet.send("/once/", "").await), 200, "nobody has asked it to end");
    fleet.router.begin_shutdown(Instant::now() + Duration::from_secs(7));
    let answer = fleet.raw_to_end(request("/once/", "").as_bytes()).await.to_ascii_lowercase();
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("retry-after: 0") && answer.contains("connection: close"), "{answer}");
    assert_eq!(engine.arrivals(), 1, "it was sent to no engine");
}

#[tokio::test]
async fn a_request_that_ends_in_time_is_served_while_the_router_drains() {
    let engine = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.stream_paces.record("s", DECLARED, Duration::from_secs(10));
    fleet.router.begin_shutdown(Instant::now() + Duration::from_secs(7));
    let short = request("/once/", "").replace("X-Token-Count: 30,5", "X-Token-Count: 30,1");
    assert_eq!(status(&fleet.raw(short.as_bytes()).await), 200);
}

#[tokio::test]
async fn a_router_that_has_seen_no_response_yet_rejects_nothing_for_its_length() {
    let engine = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.begin_shutdown(Instant::now() + Duration::from_secs(7));
    assert_eq!(status(&fleet.send("/once/", "").await), 200);
}
