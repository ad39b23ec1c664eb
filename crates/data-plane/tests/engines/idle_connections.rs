//! Reuse of idle connections: which one is used next, and for which requests.

use super::harness::{
    AfterResponse, Fleet, ReceivedRequest, StubEngine, advance_time, chunk, complete_stream, event,
    request, status, stream_head, wait_until,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

async fn send_ok(fleet: &Fleet, path: &str) {
    let response = fleet.send(path, "").await;
    assert_eq!(status(&response), 200, "{response}");
}

/// Numbers of the connections on which the requests arrived, in order of arrival.
fn connections(engine: &StubEngine) -> Vec<usize> {
    engine.received.lock().iter().map(|req| req.connection).collect()
}

/// An engine that finishes its first response only at the signal.
async fn engine_with_delayed_first_response(signal: &Arc<Notify>) -> StubEngine {
    let signal = signal.clone();
    StubEngine::start("e1", move |request_no, req: &ReceivedRequest| {
        if request_no > 1 {
            return (complete_stream(req, 1..=1), AfterResponse::KeepOpen);
        }
        let rest = format!("{}0\r\n\r\n", chunk(&event(1)));
        (
            stream_head(req, "").into_bytes(),
            AfterResponse::SendRestOn(signal.clone(), rest.into_bytes()),
        )
    })
    .await
}

/// Opens two connections, which are both idle when this returns; the first one was used last.
async fn open_two_idle_connections(fleet: &Arc<Fleet>, engine: &StubEngine, signal: &Notify) {
    let fleet_of_first = fleet.clone();
    let first_response = tokio::spawn(async move { fleet_of_first.send("/once/", "").await });
    wait_until(|| engine.received_count() == 1).await;
    send_ok(fleet, "/once/").await;
    advance_time(ms(100)).await;
    signal.notify_one();
    assert_eq!(status(&first_response.await.unwrap()), 200);
}

#[tokio::test]
async fn most_recently_used_connection_is_reused_first() {
    let signal = Arc::new(Notify::new());
    let engine = engine_with_delayed_first_response(&signal).await;
    let fleet = Arc::new(Fleet::start(&[&engine]).await);
    open_two_idle_connections(&fleet, &engine, &signal).await;
    for _ in 0..4 {
        advance_time(ms(50)).await;
        send_ok(&fleet, "/once/").await;
    }
    assert_eq!(connections(&engine), [1, 2, 1, 1, 1, 1]);
}

#[tokio::test]
async fn connection_idle_for_long_is_reused_only_for_repeatable_requests() {
    for (path, idle_ms, reused) in [
        ("/once/", 1500, true),
        ("/once/", 2500, false),
        ("/twice/", 2500, false),
        ("/safe/", 2500, true),
        ("/safe/", 4500, false),
    ] {
        let engine = StubEngine::start("e1", |_, req| {
            (complete_stream(req, 1..=1), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&engine]).await;
        send_ok(&fleet, path).await;
        advance_time(ms(idle_ms)).await;
        send_ok(&fleet, path).await;
        let received = connections(&engine);
        assert_eq!(received[0] == received[1], reused, "{path} after {idle_ms} ms");
    }
}

/// The engine closes connections that were idle for a second: one request fails, later ones are not affected.
#[tokio::test]
async fn idle_close_fails_one_request_without_a_second_dispatch() {
    let engine = StubEngine::start("e1", |request_no, req| match request_no {
        2 => (Vec::new(), AfterResponse::Reset),
        _ => (complete_stream(req, 1..=1), AfterResponse::KeepOpen),
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    send_ok(&fleet, "/twice/").await;
    advance_time(ms(1000)).await;
    assert_eq!(status(&fleet.send("/twice/", "").await), 502);
    assert_eq!(engine.received_count(), 2, "sent again after the reset");
    send_ok(&fleet, "/twice/").await;
    advance_time(ms(900)).await;
    send_ok(&fleet, "/twice/").await;
    advance_time(ms(400)).await;
    send_ok(&fleet, "/twice/").await;
    assert_eq!(connections(&engine), [1, 1, 2, 3, 3]);
    assert_eq!(fleet.router.counters.idle_resets.load(std::sync::atomic::Ordering::Relaxed), 1);
}

#[tokio::test]
async fn repeatable_request_is_retried_after_an_idle_close() {
    let script =
        |_: usize, req: &ReceivedRequest| (complete_stream(req, 1..=1), AfterResponse::KeepOpen);
    let resetting = StubEngine::start("e1", move |request_no, req| match request_no {
        2 => (Vec::new(), AfterResponse::Reset),
        _ => script(request_no, req),
    })
    .await;
    let fleet = Fleet::start(&[&resetting]).await;
    send_ok(&fleet, "/safe/").await;
    let other = StubEngine::start("e2", script).await;
    let update = fleet_core::wire::FleetUpdate {
        engines: vec![super::harness::engine_state(&other)],
        ..Default::default()
    };
    fleet.router.fleet_view.apply_update(&update);
    advance_time(ms(3000)).await;
    send_ok(&fleet, "/safe/").await;
    assert_eq!((resetting.received_count(), other.received_count()), (3, 0));
}

/// An engine that closed an idle connection is healthy: the request may be retried there on a new connection.
#[tokio::test]
async fn repeatable_request_is_retried_at_the_same_engine_if_there_is_no_other() {
    let engine = StubEngine::start("e1", |request_no, req| match request_no {
        2 => (Vec::new(), AfterResponse::Reset),
        _ => (complete_stream(req, 1..=1), AfterResponse::KeepOpen),
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    send_ok(&fleet, "/safe/").await;
    advance_time(ms(3000)).await;
    send_ok(&fleet, "/safe/").await;
    assert_eq!(connections(&engine), [1, 1, 2]);
}

/// A close that is seen while the connection is idle also lowers the estimate, once the engine responds again.
#[tokio::test]
async fn closing_an_idle_connection_lowers_the_safe_idle_time() {
    let signal = Arc::new(Notify::new());
    let close_signal = signal.clone();
    let engine = StubEngine::start("e1", move |request_no, req| match request_no {
        1 => (complete_stream(req, 1..=1), AfterResponse::CloseOn(close_signal.clone())),
        _ => (complete_stream(req, 1..=1), AfterResponse::KeepOpen),
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    send_ok(&fleet, "/once/").await;
    advance_time(ms(500)).await;
    signal.notify_one();
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    for idle_ms in [0, 450, 200] {
        advance_time(ms(idle_ms)).await;
        send_ok(&fleet, "/once/").await;
    }
    assert_eq!(connections(&engine), [1, 2, 3, 3], "60 % of the 500 ms, 300 ms, are safe");
}

/// The router's whole share is idle for too long: the oldest connection is closed to make room for a new one.
#[tokio::test]
async fn unusable_idle_connections_do_not_exhaust_the_routers_share() {
    let signal = Arc::new(Notify::new());
    let engine = engine_with_delayed_first_response(&signal).await;
    let fleet = Arc::new(Fleet::with_max_conns(&[&engine], 2).await);
    open_two_idle_connections(&fleet, &engine, &signal).await;
    advance_time(ms(3000)).await;
    send_ok(&fleet, "/once/").await;
    assert_eq!(connections(&engine), [1, 2, 3]);
}

/// Counts the new connections of a service with little traffic: non-repeatable requests, 0.25 s to 3.75 s apart.
#[tokio::test]
async fn non_repeatable_requests_open_new_connections_only_after_long_idle_times() {
    let engine =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&engine]).await;
    for i in 0..60u64 {
        send_ok(&fleet, "/once/").await;
        advance_time(ms(250 * (1 + (i * 7) % 15))).await;
    }
    let opened = *connections(&engine).iter().max().unwrap();
    println!("connections opened for 60 requests: {opened}");
    assert!((20..=32).contains(&opened), "{opened}");
}

#[tokio::test]
async fn client_connection_stays_open_during_a_pause() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let engine =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&engine]).await;
    let mut client = fleet.connect().await;
    for id in ["k1", "k2", "k3"] {
        client.write_all(request("/once/", "").replace("a1", id).as_bytes()).await.unwrap();
        let mut response = Vec::new();
        while !response.ends_with(b"0\r\n\r\n") {
            let mut buffer = [0u8; 1024];
            let read = client.read(&mut buffer).await.unwrap();
            assert_ne!(read, 0, "closed before the response to {id}");
            response.extend_from_slice(&buffer[..read]);
        }
        assert!(String::from_utf8_lossy(&response).contains(id));
        advance_time(ms(7200)).await;
    }
    assert_eq!(engine.received_count(), 3);
}
