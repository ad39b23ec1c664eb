//! Engines that never respond: deadlines and timeouts.

use super::harness::{
    AfterResponse, Fleet, ReceivedRequest, StubEngine, advance_time, chunk, complete_stream,
    request, sealed_head, status, stream_head, wait_until,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The response to one request, with the clock advanced past its deadline of 15 s.
async fn response_after_deadline(
    fleet: &Arc<Fleet>,
    engine: &StubEngine,
    path: &str,
    received_count: usize,
) -> String {
    let (sending_fleet, bytes) = (fleet.clone(), request(path, ""));
    let pending = tokio::spawn(async move { sending_fleet.send_raw(bytes.as_bytes()).await });
    wait_until(|| engine.received_count() == received_count).await;
    for _ in 0..50 {
        tokio::task::yield_now().await;
    }
    assert!(!pending.is_finished(), "ended before its deadline");
    advance_time(Duration::from_secs(15)).await;
    pending.await.unwrap()
}

#[tokio::test]
async fn missing_response_gives_a_504_at_the_deadline() {
    for path in ["/once/", "/twice/", "/on/", "/safe/"] {
        let engine = StubEngine::start("e1", |_, _| (Vec::new(), AfterResponse::KeepOpen)).await;
        let fleet = Arc::new(Fleet::start(&[&engine]).await);
        let response = response_after_deadline(&fleet, &engine, path, 1).await;
        assert_eq!(status(&response), 504, "{path}: {response}");
        assert_eq!(engine.received_count(), 1, "{path}");
    }
}

/// The head proves that the request has not run; the rest of that response is not needed and must not delay the
/// client.
#[tokio::test]
async fn rejection_with_an_endless_body_does_not_delay_the_client() {
    let script = |_: usize, req: &ReceivedRequest| {
        (
            sealed_head(req, "503 Full", "X-Not-Executed: 1\r\nContent-Length: 9\r\n").into_bytes(),
            AfterResponse::KeepOpen,
        )
    };
    let engine = StubEngine::start("e1", script).await;
    let fleet = Arc::new(Fleet::start(&[&engine]).await);
    let sending_fleet = fleet.clone();
    let pending = tokio::spawn(async move { sending_fleet.send("/once/", "").await });
    wait_until(|| engine.received_count() == 1).await;
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    advance_time(Duration::from_secs(1)).await;
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    assert!(pending.is_finished(), "delayed by the body of a rejection");
    assert_eq!(status(&pending.await.unwrap()), 503);
}

/// The deadline passes while a slow client still has much to read: the truncated response must not look complete.
#[tokio::test]
async fn response_to_a_slow_client_is_visibly_truncated_at_the_deadline() {
    for path in ["/once/", "/on/"] {
        let script = |_: usize, req: &ReceivedRequest| {
            let mut bytes = stream_head(req, "").into_bytes();
            let large = chunk(&format!("id: 1\ndata: {}\n\n", "x".repeat(1 << 20)));
            for _ in 0..24 {
                bytes.extend_from_slice(large.as_bytes());
            }
            (bytes, AfterResponse::KeepOpen)
        };
        let engine = StubEngine::start("e1", script).await;
        let fleet = Fleet::start(&[&engine]).await;
        let mut client = fleet.connect().await;
        client.write_all(request(path, "").as_bytes()).await.unwrap();
        wait_until(|| engine.received_count() == 1).await;
        for _ in 0..5_000 {
            tokio::task::yield_now().await;
        }
        advance_time(Duration::from_secs(16)).await;
        let mut response = Vec::new();
        let _ = client.read_to_end(&mut response).await;
        assert!(response.starts_with(b"HTTP/1.1 200"), "{path}");
        assert!(
            !response.ends_with(b"0\r\n\r\n"),
            "{path}: looks complete after {} bytes",
            response.len()
        );
    }
}

/// A client disconnects before the response: a late response on that engine connection must reach no other client.
#[tokio::test]
async fn engine_connection_is_not_reused_after_a_client_disconnects_early() {
    let engine = StubEngine::start("e1", |request_no, req| match request_no {
        1 => (Vec::new(), AfterResponse::KeepOpen),
        _ => (complete_stream(req, 2..=2), AfterResponse::KeepOpen),
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    let mut client = fleet.connect().await;
    client.write_all(request("/once/", "").as_bytes()).await.unwrap();
    wait_until(|| engine.received_count() == 1).await;
    drop(client);
    let response = fleet.send_raw(request("/once/", "").replace("a1", "a2").as_bytes()).await;
    assert_eq!(status(&response), 200, "{response}");
    let received = engine.received.lock();
    assert_eq!(received.len(), 2);
    assert_ne!(received[0].connection, received[1].connection);
}

/// An address to which no connection can be opened, since its accept queue is full, as behind a network partition.
fn unreachable_address() -> (std::net::SocketAddr, Vec<socket2::Socket>) {
    let socket = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let listener = socket().unwrap();
    listener.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut sockets = vec![listener];
    for _ in 0..8 {
        let filler = socket().unwrap();
        filler.set_nonblocking(true).unwrap();
        let _ = filler.connect(&address);
        sockets.push(filler);
    }
    (address.as_socket().unwrap(), sockets)
}

/// An unfinished connection attempt ends at the request's deadline; nothing is sent.
#[tokio::test]
async fn connection_attempt_ends_at_the_deadline() {
    let (address, _sockets) = unreachable_address();
    let engine = StubEngine { id: "e1".into(), address, received: Default::default() };
    let fleet = Arc::new(Fleet::start(&[&engine]).await);
    let bytes = request("/once/", "").replace("X-Deadline-Ms: 15000", "X-Deadline-Ms: 200");
    let sending_fleet = fleet.clone();
    let pending = tokio::spawn(async move { sending_fleet.send_raw(bytes.as_bytes()).await });
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    assert!(!pending.is_finished(), "the connection was established or refused");
    advance_time(Duration::from_millis(200)).await;
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    assert!(pending.is_finished(), "not ended at its deadline");
    assert_eq!(status(&pending.await.unwrap()), 503);
}
