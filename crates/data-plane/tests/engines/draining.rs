//! A router that shuts down begins nothing that it can't end.

use super::harness::{
    Fleet, ReceivedRequest, StubEngine, Then, chunk, complete, event, pass, request, status,
    stream_head, until,
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
/// Tokens that the harness's requests declare to be put out.
const DECLARED: u64 = 5;

#[tokio::test]
async fn a_request_that_would_outlast_the_router_is_rejected_unsent_for_another_router() {
    let engine = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.response_times.record("s", DECLARED, Duration::from_secs(10));
    assert_eq!(status(&fleet.send("/once/", "").await), 200, "nobody has asked it to end");
    fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
    let answer = fleet.raw_to_end(request("/once/", "").as_bytes()).await.to_ascii_lowercase();
    assert_eq!(status(&answer), 503, "{answer}");
    assert!(answer.contains("retry-after: 0") && answer.contains("connection: close"), "{answer}");
    assert_eq!(engine.arrivals(), 1, "it was sent to no engine");
}

#[tokio::test]
async fn a_request_that_ends_in_time_is_served_while_the_router_drains() {
    let engine = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.response_times.record("s", DECLARED, Duration::from_secs(10));
    fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
    let short = request("/once/", "").replace("X-Token-Count: 30,5", "X-Token-Count: 30,1");
    assert_eq!(status(&fleet.raw(short.as_bytes()).await), 200);
}

#[tokio::test]
async fn a_router_that_has_seen_no_response_yet_rejects_nothing_for_its_length() {
    let engine = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
    assert_eq!(status(&fleet.send("/once/", "").await), 200);
}

/// An engine that says nothing, as one in whose queue the requests wait.
async fn silent_engine() -> StubEngine {
    StubEngine::start("e1", |_, _| (Vec::new(), Then::Keep)).await
}

/// Guards against LOST: a router that ended closed connections whose requests waited at an engine.
#[tokio::test]
async fn what_waits_at_an_engine_when_the_router_ends_is_answered_without_a_promise() {
    for path in ["/once/", "/twice/", "/on/", "/safe/"] {
        let engine = silent_engine().await;
        let fleet = Fleet::start(&[&engine]).await;
        let begin_end = async {
            until(|| engine.arrivals() == 1).await;
            fleet.router.shutdown.begin(Instant::now());
            fleet.router.shutdown.advance(Phase::Terminating);
        };
        let waiting = request(path, "");
        let (answer, ()) = tokio::join!(fleet.raw_to_end(waiting.as_bytes()), begin_end);
        let answer = answer.to_ascii_lowercase();
        assert_eq!(status(&answer), 502, "{path}: it may have run: {answer}");
        assert!(answer.contains("connection: close"), "{path}: {answer}");
        assert_eq!(engine.arrivals(), 1, "{path}: no engine is asked any more");
        assert_eq!(fleet.router.counters.failed_at_end.load(Ordering::Relaxed), 1, "{path}");
    }
}

/// Guards against LOST: a request that one engine may have run and another one has yet to be found for.
#[tokio::test]
async fn a_repeatable_request_is_sent_to_no_second_engine_once_answers_are_due() {
    let signal = Arc::new(Notify::new());
    let closed = signal.clone();
    let first = StubEngine::start("e1", move |_, _| (Vec::new(), Then::CloseOn(closed.clone())));
    let first = first.await;
    let fleet = Fleet::start(&[&first]).await;
    let begin_end = async {
        until(|| first.arrivals() == 1).await;
        fleet.router.shutdown.begin(Instant::now());
        signal.notify_one();
        fleet.router.shutdown.advance(Phase::Terminating);
    };
    let waiting = request("/safe/", "");
    let (answer, ()) = tokio::join!(fleet.raw_to_end(waiting.as_bytes()), begin_end);
    assert_eq!(status(&answer), 502, "it may have run: {answer}");
}

/// Guards against LOST: a request whose connection to an engine doesn't come up before the router ends.
#[tokio::test]
async fn a_request_that_waits_for_a_connection_is_refused_when_answers_are_due() {
    let listener =
        socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    listener.bind(&std::net::SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap().as_socket().unwrap();
    let _fills_the_backlog = std::net::TcpStream::connect(address).unwrap();
    let engine = StubEngine { id: "e1".into(), address, received: Arc::default() };
    let fleet = Fleet::start(&[&engine]).await;
    let begin_end = async {
        until(|| fleet.router.in_flight.total() == 1).await;
        fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
        fleet.router.shutdown.advance(Phase::Terminating);
    };
    let waiting = request("/once/", "");
    let (answer, ()) = tokio::join!(fleet.raw_to_end(waiting.as_bytes()), begin_end);
    let answer = answer.to_ascii_lowercase();
    assert_eq!(status(&answer), 503, "it was sent to nobody: {answer}");
    assert!(answer.contains("retry-after: 0") && answer.contains("connection: close"), "{answer}");
    assert_eq!(fleet.router.counters.rejected_at_end.load(Ordering::Relaxed), 1);
}

/// A request that is read whole once the router closes its connections might not end in time.
#[tokio::test]
async fn a_request_whose_last_byte_comes_behind_the_close_is_refused_for_another_router() {
    let engine = silent_engine().await;
    let fleet = Fleet::start(&[&engine]).await;
    fleet.router.shutdown.begin(Instant::now() + Duration::from_secs(7));
    let mut client = fleet.connect().await;
    let whole = request("/once/", "");
    client.write_all(&whole.as_bytes()[..whole.len() - 1]).await.unwrap();
    until(|| fleet.router.open_connections.load(Ordering::Relaxed) == 1).await;
    fleet.router.shutdown.advance(Phase::Closing);
    client.write_all(&whole.as_bytes()[whole.len() - 1..]).await.unwrap();
    let mut answer = String::new();
    client.read_to_string(&mut answer).await.unwrap();
    let answer = answer.to_ascii_lowercase();
    assert_eq!(status(&answer), 503, "nobody has it: {answer}");
    assert!(answer.contains("retry-after: 0") && answer.contains("connection: close"), "{answer}");
    assert_eq!(engine.arrivals(), 0);
}

/// A response that has begun can't be answered anew: its client sees that it is not whole.
#[tokio::test]
async fn a_response_under_way_when_the_router_ends_breaks_off_visibly() {
    let engine = StubEngine::start("e1", |_, s| {
        (format!("{}{}", stream_head(s, ""), chunk(&event(1))).into_bytes(), Then::Keep)
    });
    let engine = engine.await;
    let fleet = Fleet::start(&[&engine]).await;
    let mut client = fleet.connect().await;
    client.write_all(request("/once/", "").as_bytes()).await.unwrap();
    let mut seen = Vec::new();
    while !String::from_utf8_lossy(&seen).contains("data: x1") {
        assert_ne!(client.read_buf(&mut seen).await.unwrap(), 0);
    }
    fleet.router.shutdown.begin(Instant::now());
    fleet.router.shutdown.advance(Phase::Terminating);
    assert_eq!(fleet.router.in_flight.total(), 1, "it goes on until the process ends");
    assert!(!String::from_utf8_lossy(&seen).ends_with("0\r\n\r\n"), "it has no end");
}

/// A stream that is to go on at another engine can't wait for it any longer: its client goes on from its last event.
#[tokio::test]
async fn a_stream_that_waits_to_be_resumed_breaks_off_when_answers_are_due() {
    let broken = |s: &ReceivedRequest| format!("{}{}", stream_head(s, ""), chunk(&event(1)));
    let script = move |n, s: &ReceivedRequest| match n {
        1 => (broken(s).into_bytes(), Then::Close),
        _ => (Vec::new(), Then::Keep),
    };
    let arrivals = Arc::new(AtomicUsize::new(0));
    let shared = |arrivals: Arc<AtomicUsize>| {
        move |_: usize, s: &ReceivedRequest| script(arrivals.fetch_add(1, Ordering::SeqCst) + 1, s)
    };
    let first = StubEngine::start("e1", shared(arrivals.clone())).await;
    let second = StubEngine::start("e2", shared(arrivals.clone())).await;
    let fleet = Fleet::start(&[&first, &second]).await;
    let begin_end = async {
        until(|| arrivals.load(Ordering::SeqCst) == 2).await;
        fleet.router.shutdown.begin(Instant::now());
        fleet.router.shutdown.advance(Phase::Terminating);
    };
    let stream = request("/on/", "");
    let (answer, ()) = tokio::join!(fleet.raw_to_end(stream.as_bytes()), begin_end);
    assert!(answer.contains("data: x1"), "{answer}");
    assert!(!answer.ends_with("0\r\n\r\n"), "it looks whole: {answer}");
}

/// A connection is idle only between requests: the idle time-out ends none that waits for its answer.
#[tokio::test]
async fn a_request_may_wait_for_longer_than_a_connection_may_be_idle() {
    let signal = Arc::new(Notify::new());
    let answered = signal.clone();
    let engine = StubEngine::start("e1", move |_, s| {
        (Vec::new(), Then::Finish(answered.clone(), complete(s, 1..=1)))
    });
    let engine = engine.await;
    let fleet = Fleet::start(&[&engine]).await;
    let answer_late = async {
        until(|| engine.arrivals() == 1).await;
        pass(IDLE_TIMEOUT + Duration::from_secs(1)).await;
        signal.notify_one();
    };
    let waiting = request("/once/", "");
    let (answer, ()) = tokio::join!(fleet.raw(waiting.as_bytes()), answer_late);
    assert_eq!(status(&answer), 200, "{answer}");
}
