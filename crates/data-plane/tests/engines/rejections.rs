//! 408, 421, 429 and 503 imply that a request has not run: for a request that may run only once, they need proof.

use super::harness::{AfterResponse, Fleet, StubEngine, complete_stream, sealed_head, status};

/// Rejections by an engine without the `X-Not-Executed` header.
const UNPROVEN: [&str; 3] = ["408 Request Timeout", "429 Too Many", "503 Unavailable"];

fn has_seal(response: &str) -> bool {
    response.to_ascii_lowercase().contains("x-server-seal")
}

#[tokio::test]
async fn unproven_rejection_gives_a_502_for_non_repeatable_requests() {
    for status_line in UNPROVEN {
        for path in ["/once/", "/twice/"] {
            let script = move |_: usize, req: &super::harness::ReceivedRequest| {
                (
                    sealed_head(req, status_line, "Content-Length: 0\r\n").into_bytes(),
                    AfterResponse::KeepOpen,
                )
            };
            let (a, b) =
                (StubEngine::start("e1", script).await, StubEngine::start("e2", script).await);
            let fleet = Fleet::start(&[&a, &b]).await;
            let response = fleet.send(path, "").await;
            assert_eq!(status(&response), 502, "{status_line} at {path}: {response}");
            assert!(
                !has_seal(&response),
                "{status_line} at {path}: the engine's seal on the router's own response"
            );
            assert_eq!(a.received_count() + b.received_count(), 1, "{status_line} at {path}");
        }
    }
}

#[tokio::test]
async fn misdirected_request_status_is_proof_of_rejection_without_a_header() {
    let script = |_: usize, req: &super::harness::ReceivedRequest| {
        (
            sealed_head(req, "421 Misdirected", "Content-Length: 0\r\n").into_bytes(),
            AfterResponse::KeepOpen,
        )
    };
    let engine = StubEngine::start("e1", script).await;
    let fleet = Fleet::start(&[&engine]).await;
    let response = fleet.send("/once/", "").await;
    assert_eq!((status(&response), has_seal(&response)), (503, false));
}

/// The engine's own error responses are relayed with both its status and its seal.
#[tokio::test]
async fn error_responses_are_relayed_with_the_engines_status_and_seal() {
    for (status_line, path, code) in [
        ("500 Error", "/once/", 500),
        ("504 Late", "/once/", 504),
        ("404 Not Found", "/once/", 404),
        ("503 Unavailable", "/safe/", 503),
    ] {
        let script = move |_: usize, req: &super::harness::ReceivedRequest| {
            (
                sealed_head(req, status_line, "Content-Length: 2\r\n").into_bytes(),
                AfterResponse::KeepOpen,
            )
        };
        let with_body = move |n: usize, req: &super::harness::ReceivedRequest| {
            let (mut bytes, then) = script(n, req);
            bytes.extend_from_slice(b"no");
            (bytes, then)
        };
        let (a, b) =
            (StubEngine::start("e1", with_body).await, StubEngine::start("e2", with_body).await);
        let fleet = Fleet::start(&[&a, &b]).await;
        let response = fleet.send(path, "").await;
        assert_eq!(
            (status(&response), has_seal(&response)),
            (code, true),
            "{status_line} at {path}: {response}"
        );
    }
}

/// Once a request may have run at some engine, no later rejection may state that it has not run.
#[tokio::test]
async fn rejection_after_an_uncertain_dispatch_gives_a_502() {
    let failing =
        |_: usize, _: &super::harness::ReceivedRequest| (Vec::new(), AfterResponse::Close);
    let only_engine = StubEngine::start("e1", failing).await;
    let fleet = Fleet::start(&[&only_engine]).await;
    let response = fleet.send("/safe/", "").await;
    assert_eq!(
        (status(&response), only_engine.received_count()),
        (502, 1),
        "there is no second engine: {response}"
    );

    let first = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true));
    let script = move |_: usize, req: &super::harness::ReceivedRequest| {
        if first.swap(false, std::sync::atomic::Ordering::Relaxed) {
            return (Vec::new(), AfterResponse::Close);
        }
        (
            sealed_head(req, "503 Full", "X-Not-Executed: 1\r\nContent-Length: 0\r\n").into_bytes(),
            AfterResponse::KeepOpen,
        )
    };
    let (a, b) =
        (StubEngine::start("e1", script.clone()).await, StubEngine::start("e2", script).await);
    let fleet = Fleet::start(&[&a, &b]).await;
    let response = fleet.send("/safe/", "").await;
    assert_eq!(
        (status(&response), a.received_count() + b.received_count()),
        (502, 2),
        "the second engine rejected the request: {response}"
    );
}

#[tokio::test]
async fn repeatable_request_is_retried_after_an_uncertain_end() {
    let failing = StubEngine::start("e1", |_, _| (Vec::new(), AfterResponse::Reset)).await;
    let healthy =
        StubEngine::start("e2", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&failing, &healthy]).await;
    for _ in 0..8 {
        assert_eq!(status(&fleet.send("/safe/", "").await), 200);
    }
    assert_eq!(healthy.received_count(), 8);
}

#[tokio::test]
async fn non_repeatable_request_is_dispatched_only_once() {
    for path in ["/once/", "/twice/"] {
        let failing =
            |_: usize, _: &super::harness::ReceivedRequest| (Vec::new(), AfterResponse::Reset);
        let (a, b) =
            (StubEngine::start("e1", failing).await, StubEngine::start("e2", failing).await);
        let fleet = Fleet::start(&[&a, &b]).await;
        assert_eq!(status(&fleet.send(path, "").await), 502, "{path}");
        assert_eq!(a.received_count() + b.received_count(), 1, "{path}");
    }
}

/// An engine over its connection limit resets each new connection at once: it is ejected and not tried again.
#[tokio::test]
async fn engine_that_resets_new_connections_is_tried_once() {
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
    let fleet = Fleet::start(&[&full]).await;
    let response = status(&fleet.send("/twice/", "").await);
    assert!([502, 503].contains(&response), "{response}");
    assert_eq!(accepted.load(std::sync::atomic::Ordering::Relaxed), 1);
}
