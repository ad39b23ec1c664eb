//! 408, 421, 429 and 503 promise that a request has not run: they need proof.

use super::harness::{Fleet, StubEngine, Then, complete, sealed, status};

/// Unproven: an engine's own refusal without the mark that it has not run the request.
const UNPROVEN: [&str; 3] = ["408 Request Timeout", "429 Too Many", "503 Unavailable"];

fn has_seal(answer: &str) -> bool {
    answer.to_ascii_lowercase().contains("x-server-seal")
}

#[tokio::test]
async fn refusal_without_proof_is_no_promise_for_what_may_run_only_once() {
    for what in UNPROVEN {
        for path in ["/once/", "/twice/"] {
            let script = move |_: usize, s: &super::harness::ReceivedRequest| {
                (sealed(s, what, "Content-Length: 0\r\n").into_bytes(), Then::Keep)
            };
            let (a, b) =
                (StubEngine::start("e1", script).await, StubEngine::start("e2", script).await);
            let f = Fleet::start(&[&a, &b]).await;
            let got = f.send(path, "").await;
            assert_eq!(status(&got), 502, "{what} at {path}: {got}");
            assert!(!has_seal(&got), "{what} at {path}: a seal with a status of our own");
            assert_eq!(a.arrivals() + b.arrivals(), 1, "{what} at {path}");
        }
    }
}

#[tokio::test]
async fn refusal_by_its_status_alone_is_proof_where_the_engine_is_another_one() {
    let script = |_: usize, s: &super::harness::ReceivedRequest| {
        (sealed(s, "421 Misdirected", "Content-Length: 0\r\n").into_bytes(), Then::Keep)
    };
    let e = StubEngine::start("e1", script).await;
    let f = Fleet::start(&[&e]).await;
    let got = f.send("/once/", "").await;
    assert_eq!((status(&got), has_seal(&got)), (503, false));
}

/// What may be repeated keeps the engine's own answer, status and seal together.
#[tokio::test]
async fn failures_of_the_engine_are_passed_on_with_its_own_status_and_seal() {
    for (what, path, code) in [
        ("500 Error", "/once/", 500),
        ("504 Late", "/once/", 504),
        ("404 Not Found", "/once/", 404),
        ("503 Unavailable", "/safe/", 503),
    ] {
        let script = move |_: usize, s: &super::harness::ReceivedRequest| {
            (sealed(s, what, "Content-Length: 2\r\n").into_bytes(), Then::Keep)
        };
        let with_body = move |n: usize, s: &super::harness::ReceivedRequest| {
            let (mut bytes, then) = script(n, s);
            bytes.extend_from_slice(b"no");
            (bytes, then)
        };
        let (a, b) =
            (StubEngine::start("e1", with_body).await, StubEngine::start("e2", with_body).await);
        let f = Fleet::start(&[&a, &b]).await;
        let got = f.send(path, "").await;
        assert_eq!((status(&got), has_seal(&got)), (code, true), "{what} at {path}: {got}");
    }
}

/// Once a request may have run somewhere, nothing that follows can promise the contrary.
#[tokio::test]
async fn nothing_is_refused_after_an_uncertain_send() {
    let lost = |_: usize, _: &super::harness::ReceivedRequest| (Vec::new(), Then::Close);
    let alone = StubEngine::start("e1", lost).await;
    let f = Fleet::start(&[&alone]).await;
    let got = f.send("/safe/", "").await;
    assert_eq!((status(&got), alone.arrivals()), (502, 1), "no second engine: {got}");

    let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let script = move |_: usize, s: &super::harness::ReceivedRequest| {
        if first.swap(false, std::sync::atomic::Ordering::Relaxed) {
            return (Vec::new(), Then::Close);
        }
        (
            sealed(s, "503 Full", "X-Not-Executed: 1\r\nContent-Length: 0\r\n").into_bytes(),
            Then::Keep,
        )
    };
    let (a, b) =
        (StubEngine::start("e1", script.clone()).await, StubEngine::start("e2", script).await);
    let f = Fleet::start(&[&a, &b]).await;
    let got = f.send("/safe/", "").await;
    assert_eq!((status(&got), a.arrivals() + b.arrivals()), (502, 2), "turned away after: {got}");
}

#[tokio::test]
async fn what_may_be_repeated_is_sent_again_after_an_uncertain_end() {
    let lost = StubEngine::start("e1", |_, _| (Vec::new(), Then::Reset)).await;
    let well = StubEngine::start("e2", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&lost, &well]).await;
    for _ in 0..8 {
        assert_eq!(status(&f.send("/safe/", "").await), 200);
    }
    assert_eq!(well.arrivals(), 8);
}

#[tokio::test]
async fn what_may_run_only_once_is_sent_once_whatever_ends_it() {
    for path in ["/once/", "/twice/"] {
        let lost = |_: usize, _: &super::harness::ReceivedRequest| (Vec::new(), Then::Reset);
        let (a, b) = (StubEngine::start("e1", lost).await, StubEngine::start("e2", lost).await);
        let f = Fleet::start(&[&a, &b]).await;
        assert_eq!(status(&f.send(path, "").await), 502, "{path}");
        assert_eq!(a.arrivals() + b.arrivals(), 1, "{path}");
    }
}

/// An engine over its limit resets each connection at once: it is left alone, not asked again.
#[tokio::test]
async fn engine_that_resets_new_connections_is_asked_once() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let accepted = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = accepted.clone();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            socket2::SockRef::from(&socket).set_linger(Some(std::time::Duration::ZERO)).unwrap();
        }
    });
    let full = StubEngine { id: "e1".into(), address, received: Default::default() };
    let f = Fleet::start(&[&full]).await;
    let got = status(&f.send("/twice/", "").await);
    assert!([502, 503].contains(&got), "{got}");
    assert_eq!(accepted.load(std::sync::atomic::Ordering::Relaxed), 1);
}
