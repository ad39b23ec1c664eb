//! What an engine makes the router keep: bounds, and how it shows.

use super::harness::{AfterResponse, Fleet, StubEngine, chunk, event, stream_head, wait_until};
use std::sync::atomic::Ordering;

#[tokio::test]
async fn a_truncated_response_is_counted_and_its_partial_event_given_back() {
    let engine = StubEngine::start("e1", |_, received| {
        let start = format!("{}{}", stream_head(received, ""), chunk(&event(1)));
        (format!("{start}{}", chunk("id: 2\ndata: part")).into_bytes(), AfterResponse::Close)
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    let response =
        fleet.send_raw_until_close(super::harness::request("/on/x", "").as_bytes()).await;
    assert!(response.contains("data: x1") && !response.contains("part"), "{response}");
    let counters = &fleet.router.counters;
    wait_until(|| counters.responses_broken_by_engine.load(Ordering::Relaxed) > 0).await;
    let usage = || fleet.router.memory.partial_events.usage();
    wait_until(|| usage().reserved == 0).await;
    assert_eq!(usage().peak, "id: 2\ndata: part".len());
}
