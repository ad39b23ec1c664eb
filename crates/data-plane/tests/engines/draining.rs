//! A router that shuts down accepts only requests that it can complete, and answers all that it has.

use super::harness::{
    AfterResponse, Fleet, ReceivedRequest, StubEngine, advance_time, chunk, complete_stream, event,
    request, status, stream_head, wait_until,
};
use data_plane::shutdown::Phase;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;
use tokio::time::Instant;

/// `idleTimeoutMs` of the harness's configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(9);
/// Output tokens that the harness's requests declare.
const OUTPUT_TOKENS: u64 = 5;

#[tokio::test]
async fn request_that_would_outlast_the_router_is_rejected_without_dispatch() {
    let engine =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.response_times.record("s", OUTPUT_TOKENS, Duration::from_secs(10));
    assert_eq!(status(&fleet.send("/once/", "").await), 200, "shutdown has not begun");
    fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
    let response =
        fleet.send_raw_until_close(request("/once/", "").as_bytes()).await.to_ascii_lowercase();
    assert_eq!(status(&response), 503, "{response}");
    assert!(
        response.contains("retry-after: 0") && response.contains("connection: close"),
        "{response}"
    );
    assert_eq!(engine.received_count(), 1, "the rejected request was dispatched");
}

#[tokio::test]
async fn request_that_completes_in_time_is_served_while_draining() {
    let engine =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.response_times.record("s", OUTPUT_TOKENS, Duration::from_secs(10));
    fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
    let short = request("/once/", "").replace("X-Token-Count: 30,5", "X-Token-Count: 30,1");
    assert_eq!(status(&fleet.send_raw(short.as_bytes()).await), 200);
}

#[tokio::test]
async fn requests_are_accepted_while_no_response_time_is_known() {
    let engine =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
    assert_eq!(status(&fleet.send("/once/", "").await), 200);
}

/// An engine that never responds, as if the requests waited in its queue.
async fn unresponsive_engine() -> StubEngine {
    StubEngine::start("e1", |_, _| (Vec::new(), AfterResponse::KeepOpen)).await
}

/// Guards against requests that end without a response (soak's rule `Lost`): a router that shut down closed
/// connections whose requests waited at an engine.
#[tokio::test]
async fn requests_waiting_at_an_engine_at_shutdown_get_a_502() {
    for path in ["/once/", "/twice/", "/on/", "/safe/"] {
        let engine = unresponsive_engine().await;
        let fleet = Fleet::start(&[&engine]).await;
        let begin_shutdown = async {
            wait_until(|| engine.received_count() == 1).await;
            fleet.router.shutdown.begin(Instant::now());
            fleet.router.shutdown.advance(Phase::Terminating);
        };
        let raw_request = request(path, "");
        let (response, ()) =
            tokio::join!(fleet.send_raw_until_close(raw_request.as_bytes()), begin_shutdown);
        let response = response.to_ascii_lowercase();
        assert_eq!(status(&response), 502, "{path}: the request may have run: {response}");
        assert!(response.contains("connection: close"), "{path}: {response}");
        assert_eq!(engine.received_count(), 1, "{path}: dispatched again while terminating");
        assert_eq!(fleet.router.counters.failed_at_end.load(Ordering::Relaxed), 1, "{path}");
    }
}

/// Guards against a request that ends without a response (soak's rule `Lost`): one engine may have run it, and no
/// other engine has been found yet.
#[tokio::test]
async fn repeatable_request_is_not_retried_while_terminating() {
    let signal = Arc::new(Notify::new());
    let closed = signal.clone();
    let first =
        StubEngine::start("e1", move |_, _| (Vec::new(), AfterResponse::CloseOn(closed.clone())));
    let first = first.await;
    let fleet = Fleet::start(&[&first]).await;
    let begin_shutdown = async {
        wait_until(|| first.received_count() == 1).await;
        fleet.router.shutdown.begin(Instant::now());
        signal.notify_one();
        fleet.router.shutdown.advance(Phase::Terminating);
    };
    let raw_request = request("/safe/", "");
    let (response, ()) =
        tokio::join!(fleet.send_raw_until_close(raw_request.as_bytes()), begin_shutdown);
    assert_eq!(status(&response), 502, "the request may have run: {response}");
}

/// Guards against a request that ends without a response (soak's rule `Lost`): the connection to its engine is still
/// being opened when the router terminates.
#[tokio::test]
async fn request_waiting_for_a_connection_is_rejected_while_terminating() {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _backlog_filler = std::net::TcpStream::connect(address).unwrap();
    let engine = StubEngine { id: "e1".into(), address, received: Arc::default() };
    let fleet = Fleet::start(&[&engine]).await;
    let begin_shutdown = async {
        wait_until(|| fleet.router.in_flight.total() == 1).await;
        fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
        fleet.router.shutdown.advance(Phase::Terminating);
    };
    let raw_request = request("/once/", "");
    let (response, ()) =
        tokio::join!(fleet.send_raw_until_close(raw_request.as_bytes()), begin_shutdown);
    let response = response.to_ascii_lowercase();
    assert_eq!(status(&response), 503, "the request was not dispatched: {response}");
    assert!(
        response.contains("retry-after: 0") && response.contains("connection: close"),
        "{response}"
    );
    assert_eq!(fleet.router.counters.rejected_at_end.load(Ordering::Relaxed), 1);
}

/// A request that is complete only once the router closes its connections might not complete in time.
#[tokio::test]
async fn request_completed_after_closing_began_is_rejected() {
    let engine = unresponsive_engine().await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
    let mut client = fleet.connect().await;
    let complete_request = request("/once/", "");
    client.write_all(&complete_request.as_bytes()[..complete_request.len() - 1]).await.unwrap();
    wait_until(|| fleet.router.open_connections.load(Ordering::Relaxed) == 1).await;
    fleet.router.shutdown.advance(Phase::Closing);
    client.write_all(&complete_request.as_bytes()[complete_request.len() - 1..]).await.unwrap();
    let mut response = String::new();
    client.read_to_string(&mut response).await.unwrap();
    let response = response.to_ascii_lowercase();
    assert_eq!(status(&response), 503, "the request was not dispatched: {response}");
    assert!(
        response.contains("retry-after: 0") && response.contains("connection: close"),
        "{response}"
    );
    assert_eq!(engine.received_count(), 0);
}

/// A response that has begun can't be replaced: it is truncated, which its client can see.
#[tokio::test]
async fn response_in_progress_at_shutdown_is_visibly_truncated() {
    let engine = StubEngine::start("e1", |_, req| {
        (
            format!("{}{}", stream_head(req, ""), chunk(&event(1))).into_bytes(),
            AfterResponse::KeepOpen,
        )
    });
    let engine = engine.await;
    let fleet = Fleet::start(&[&engine]).await;
    let mut client = fleet.connect().await;
    client.write_all(request("/once/", "").as_bytes()).await.unwrap();
    let mut received = Vec::new();
    while !String::from_utf8_lossy(&received).contains("data: x1") {
        assert_ne!(client.read_buf(&mut received).await.unwrap(), 0);
    }
    fleet.router.shutdown.begin(Instant::now());
    fleet.router.shutdown.advance(Phase::Terminating);
    assert_eq!(fleet.router.in_flight.total(), 1, "the response continues until the process exits");
    assert!(
        !String::from_utf8_lossy(&received).ends_with("0\r\n\r\n"),
        "the truncated response looks complete"
    );
}

/// A stream that waits for another engine is truncated when the router terminates: its client resumes it after the
/// last event.
#[tokio::test]
async fn stream_waiting_to_be_resumed_is_truncated_while_terminating() {
    let truncated = |req: &ReceivedRequest| format!("{}{}", stream_head(req, ""), chunk(&event(1)));
    let script = move |n, req: &ReceivedRequest| match n {
        1 => (truncated(req).into_bytes(), AfterResponse::Close),
        _ => (Vec::new(), AfterResponse::KeepOpen),
    };
    let received_count = Arc::new(AtomicUsize::new(0));
    let shared = |received_count: Arc<AtomicUsize>| {
        move |_: usize, req: &ReceivedRequest| {
            script(received_count.fetch_add(1, Ordering::SeqCst) + 1, req)
        }
    };
    let first = StubEngine::start("e1", shared(received_count.clone())).await;
    let second = StubEngine::start("e2", shared(received_count.clone())).await;
    let fleet = Fleet::start(&[&first, &second]).await;
    let begin_shutdown = async {
        wait_until(|| received_count.load(Ordering::SeqCst) == 2).await;
        fleet.router.shutdown.begin(Instant::now());
        fleet.router.shutdown.advance(Phase::Terminating);
    };
    let stream = request("/on/", "");
    let (response, ()) =
        tokio::join!(fleet.send_raw_until_close(stream.as_bytes()), begin_shutdown);
    assert!(response.contains("data: x1"), "{response}");
    assert!(!response.ends_with("0\r\n\r\n"), "the truncated stream looks complete: {response}");
}

/// A connection is idle only between requests: the idle timeout must not close one that waits for its response.
#[tokio::test]
async fn pending_response_is_not_subject_to_the_idle_timeout() {
    let signal = Arc::new(Notify::new());
    let respond_now = signal.clone();
    let engine = StubEngine::start("e1", move |_, req| {
        (Vec::new(), AfterResponse::SendRestOn(respond_now.clone(), complete_stream(req, 1..=1)))
    });
    let engine = engine.await;
    let fleet = Fleet::start(&[&engine]).await;
    let respond_late = async {
        wait_until(|| engine.received_count() == 1).await;
        advance_time(IDLE_TIMEOUT + Duration::from_secs(1)).await;
        signal.notify_one();
    };
    let raw_request = request("/once/", "");
    let (response, ()) = tokio::join!(fleet.send_raw(raw_request.as_bytes()), respond_late);
    assert_eq!(status(&response), 200, "{response}");
}
