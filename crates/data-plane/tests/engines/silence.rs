//! Engines that run and say nothing, and what the time limits make of them.

use super::harness::{
    Fleet, ReceivedRequest, StubEngine, Then, chunk, complete, pass, request, sealed, status,
    stream_head, until,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The answer to one request after its deadline of 15 s has passed.
async fn answer_after_deadline(
    f: &Arc<Fleet>,
    e: &StubEngine,
    path: &str,
    arrivals: usize,
) -> String {
    let (asked, bytes) = (f.clone(), request(path, ""));
    let asking = tokio::spawn(async move { asked.raw(bytes.as_bytes()).await });
    until(|| e.arrivals() == arrivals).await;
    for _ in 0..50 {
        tokio::task::yield_now().await;
    }
    assert!(!asking.is_finished(), "ended before its time");
    pass(Duration::from_secs(15)).await;
    asking.await.unwrap()
}

#[tokio::test]
async fn silence_lasts_until_the_deadline_and_is_never_a_refusal() {
    for path in ["/once/", "/twice/", "/on/", "/safe/"] {
        let e = StubEngine::start("e1", |_, _| (Vec::new(), Then::Keep)).await;
        let f = Arc::new(Fleet::start(&[&e]).await);
        let got = answer_after_deadline(&f, &e, path, 1).await;
        assert_eq!(status(&got), 504, "{path}: {got}");
        assert_eq!(e.arrivals(), 1, "{path}");
    }
}

/// The head says that it has not run; the rest of that answer is of no use, and is not waited for.
#[tokio::test]
async fn refusal_whose_body_never_ends_holds_nobody_up() {
    let script = |_: usize, s: &ReceivedRequest| {
        (
            sealed(s, "503 Full", "X-Not-Executed: 1\r\nContent-Length: 9\r\n").into_bytes(),
            Then::Keep,
        )
    };
    let e = StubEngine::start("e1", script).await;
    let f = Arc::new(Fleet::start(&[&e]).await);
    let asked = f.clone();
    let asking = tokio::spawn(async move { asked.send("/once/", "").await });
    until(|| e.arrivals() == 1).await;
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    pass(Duration::from_secs(1)).await;
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    assert!(asking.is_finished(), "held up by the body of a refusal");
    assert_eq!(status(&asking.await.unwrap()), 503);
}

/// The deadline comes while the client still has much to read: what it gets then has no proper end.
#[tokio::test]
async fn deadline_that_finds_a_slow_client_never_makes_the_answer_look_complete() {
    for path in ["/once/", "/on/"] {
        let script = |_: usize, s: &ReceivedRequest| {
            let mut bytes = stream_head(s, "").into_bytes();
            let large = chunk(&format!("id: 1\ndata: {}\n\n", "x".repeat(1 << 20)));
            for _ in 0..24 {
                bytes.extend_from_slice(large.as_bytes());
            }
            (bytes, Then::Keep)
        };
        let e = StubEngine::start("e1", script).await;
        let f = Fleet::start(&[&e]).await;
        let mut client = f.connect().await;
        client.write_all(request(path, "").as_bytes()).await.unwrap();
        until(|| e.arrivals() == 1).await;
        for _ in 0..5_000 {
            tokio::task::yield_now().await;
        }
        pass(Duration::from_secs(16)).await;
        let mut got = Vec::new();
        let _ = client.read_to_end(&mut got).await;
        assert!(got.starts_with(b"HTTP/1.1 200"), "{path}");
        assert!(!got.ends_with(b"0\r\n\r\n"), "{path}: looks complete after {} bytes", got.len());
    }
}

/// A client leaves before any answer: a late answer on that connection reaches nobody.
#[tokio::test]
async fn connection_of_a_client_that_left_before_its_answer_is_not_used_again() {
    let e = StubEngine::start("e1", |n, s| match n {
        1 => (Vec::new(), Then::Keep),
        _ => (complete(s, 2..=2), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    let mut client = f.connect().await;
    client.write_all(request("/once/", "").as_bytes()).await.unwrap();
    until(|| e.arrivals() == 1).await;
    drop(client);
    let got = f.raw(request("/once/", "").replace("a1", "a2").as_bytes()).await;
    assert_eq!(status(&got), 200, "{got}");
    let received = e.received.lock();
    assert_eq!(received.len(), 2);
    assert_ne!(received[0].connection, received[1].connection);
}

/// An address where no connection comes up, as behind a cut: its queue is full.
fn black_hole() -> (std::net::SocketAddr, Vec<socket2::Socket>) {
    let socket = || socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let listener = socket().unwrap();
    listener.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).unwrap();
    listener.listen(0).unwrap();
    let address = listener.local_addr().unwrap();
    let mut held = vec![listener];
    for _ in 0..8 {
        let filler = socket().unwrap();
        filler.set_nonblocking(true).unwrap();
        let _ = filler.connect(&address);
        held.push(filler);
    }
    (address.as_socket().unwrap(), held)
}

/// A connection that does not come up takes no longer than the request has, and nothing is sent.
#[tokio::test]
async fn connection_that_does_not_come_up_holds_nobody_past_the_deadline() {
    let (address, _held) = black_hole();
    let e = StubEngine { id: "e1".into(), address, received: Default::default() };
    let f = Arc::new(Fleet::start(&[&e]).await);
    let bytes = request("/once/", "").replace("X-Deadline-Ms: 15000", "X-Deadline-Ms: 200");
    let asked = f.clone();
    let asking = tokio::spawn(async move { asked.raw(bytes.as_bytes()).await });
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    assert!(!asking.is_finished(), "the connection came up or was refused");
    pass(Duration::from_millis(200)).await;
    for _ in 0..500 {
        tokio::task::yield_now().await;
    }
    assert!(asking.is_finished(), "held past its deadline");
    assert_eq!(status(&asking.await.unwrap()), 503);
}
