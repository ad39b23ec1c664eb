//! Responses that belong to another request or have no verifiable end are never relayed as a success.

use super::harness::{
    AfterResponse, Fleet, ReceivedRequest, StubEngine, chunk, complete_stream, event, request,
    sealed_head, status,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Responses without a verifiable end or a final status: each gives a 502 after a single dispatch.
#[tokio::test]
async fn responses_without_a_verifiable_end_are_never_relayed_as_success() {
    type Respond = fn(&ReceivedRequest) -> String;
    let cases: Vec<(&str, Respond)> = vec![
        ("ended by closing the connection", |req| {
            format!("{}half", sealed_head(req, "200 OK", ""))
        }),
        ("HTTP/1.0, ended by closing the connection", |req| {
            format!("{}half", sealed_head(req, "200 OK", "").replace("HTTP/1.1", "HTTP/1.0"))
        }),
        ("content length and chunked encoding", |req| {
            let both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n";
            format!("{}{}0\r\n\r\n", sealed_head(req, "200 OK", both), chunk("abcde"))
        }),
        ("two content lengths", |req| {
            format!(
                "{}ab",
                sealed_head(req, "200 OK", "Content-Length: 1\r\nContent-Length: 2\r\n")
            )
        }),
        ("switch to another protocol", |req| {
            sealed_head(req, "101 Switching Protocols", "Connection: upgrade\r\nUpgrade: x\r\n")
        }),
    ];
    for (case, respond) in cases {
        let script = move |_: usize, req: &ReceivedRequest| {
            (respond(req).into_bytes(), AfterResponse::Close)
        };
        let (a, b) = (StubEngine::start("e1", script).await, StubEngine::start("e2", script).await);
        let fleet = Fleet::start(&[&a, &b]).await;
        let response = fleet.send("/twice/", "").await;
        assert_eq!(status(&response), 502, "{case}: {response}");
        assert_eq!(a.received_count() + b.received_count(), 1, "{case}");
    }
}

#[tokio::test]
async fn truncated_bodies_never_look_complete() {
    let length = |req: &ReceivedRequest| {
        format!("{}half", sealed_head(req, "200 OK", "Content-Length: 9\r\n"))
    };
    let chunks = |req: &ReceivedRequest| {
        format!(
            "{}{}9\r\nhalf",
            sealed_head(req, "200 OK", "Transfer-Encoding: chunked\r\n"),
            chunk("x")
        )
    };
    let responses: [fn(&ReceivedRequest) -> String; 2] = [length, chunks];
    for respond in responses {
        for reset in [false, true] {
            let script = move |_: usize, req: &ReceivedRequest| {
                (
                    respond(req).into_bytes(),
                    if reset { AfterResponse::Reset } else { AfterResponse::Close },
                )
            };
            let stub = StubEngine::start("e1", script).await;
            let fleet = Fleet::start(&[&stub]).await;
            let response = fleet.send_raw_until_close(request("/once/", "").as_bytes()).await;
            let looks_complete = response.ends_with("0\r\n\r\n") || response.ends_with("123456789");
            assert!(!looks_complete, "looks complete: {response}");
            assert_eq!(stub.received_count(), 1);
        }
    }
}

/// To an HTTP/1.0 client, a truncated stream would look complete.
#[tokio::test]
async fn http_1_0_clients_are_rejected() {
    let script = |_: usize, req: &ReceivedRequest| {
        let half = format!(
            "{}{}",
            sealed_head(req, "200 OK", "Transfer-Encoding: chunked\r\n"),
            chunk("x")
        );
        (half.into_bytes(), AfterResponse::Close)
    };
    let stub = StubEngine::start("e1", script).await;
    let fleet = Fleet::start(&[&stub]).await;
    let old = request("/once/", "").replace("HTTP/1.1", "HTTP/1.0");
    let response = fleet.send_raw_until_close(old.as_bytes()).await;
    assert_eq!((status(&response), stub.received_count()), (505, 0), "{response}");
}

/// The engine responds to the first request twice, the second time where the response to the next request is
/// expected.
#[tokio::test]
async fn duplicate_response_is_not_relayed_to_the_next_request() {
    let first_head = std::sync::Mutex::new(None::<ReceivedRequest>);
    let script = move |request_no: usize, req: &ReceivedRequest| {
        if request_no == 1 {
            *first_head.lock().unwrap() = Some(req.clone());
            return (complete_stream(req, 1..=1), AfterResponse::KeepOpen);
        }
        let first = first_head.lock().unwrap().clone().unwrap();
        let mut out = complete_stream(&first, 7..=7);
        out.extend_from_slice(&complete_stream(req, 2..=2));
        (out, AfterResponse::KeepOpen)
    };
    let stub = StubEngine::start("e1", script).await;
    let fleet = Fleet::start(&[&stub]).await;
    assert_eq!(status(&fleet.send("/once/", "").await), 200);
    let second = fleet.send_raw(request("/once/", "").replace("a1", "a2").as_bytes()).await;
    assert_eq!(status(&second), 502, "{second}");
    assert!(!second.contains(&event(7)));
    assert_eq!(stub.received_count(), 2);
}

/// A rejection without an attempt id on a reused connection may belong to an earlier request.
#[tokio::test]
async fn rejection_without_an_id_is_trusted_only_on_a_new_connection() {
    let without_id = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let stub = StubEngine::start("e1", move |request_no, req| match request_no {
        1 => (complete_stream(req, 1..=1), AfterResponse::KeepOpen),
        _ => (without_id.to_vec(), AfterResponse::KeepOpen),
    })
    .await;
    let fleet = Fleet::start(&[&stub]).await;
    assert_eq!(status(&fleet.send("/once/", "").await), 200);
    assert_eq!(status(&fleet.send("/once/", "").await), 502, "may belong to the earlier request");
    assert_eq!(status(&fleet.send("/once/", "").await), 503, "cannot belong to another request");
    let received = stub.received.lock();
    assert_eq!(received[0].connection, received[1].connection);
    assert_ne!(received[1].connection, received[2].connection);
}

#[tokio::test]
async fn responses_without_a_body_leave_the_connection_reusable() {
    let stub = StubEngine::start("e1", |_, req| {
        let response = if req.head.starts_with("HEAD") {
            sealed_head(req, "200 OK", "Content-Length: 5\r\n")
        } else {
            sealed_head(req, "204 No Content", "")
        };
        (response.into_bytes(), AfterResponse::KeepOpen)
    })
    .await;
    let fleet = Fleet::start(&[&stub]).await;
    assert_eq!(status(&fleet.send("/once/", "").await), 204);
    let head = request("/once/", "").replace("POST", "HEAD");
    let response = fleet.send_raw(head.as_bytes()).await;
    assert_eq!(status(&response), 200);
    assert!(response.ends_with("\r\n\r\n"), "a body after HEAD: {response}");
    let received = stub.received.lock();
    assert_eq!(received[0].connection, received[1].connection);
}

#[tokio::test]
async fn interim_responses_and_trailers_are_not_relayed() {
    let stub = StubEngine::start("e1", |_, req| {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        let head = sealed_head(req, "200 OK", "Transfer-Encoding: chunked\r\n");
        (
            format!("{interim}{head}{}0\r\nX-Late: t\r\n\r\n", chunk("abc")).into_bytes(),
            AfterResponse::KeepOpen,
        )
    })
    .await;
    let fleet = Fleet::start(&[&stub]).await;
    for _ in 0..2 {
        let response = fleet.send("/once/", "").await;
        assert_eq!(status(&response), 200);
        assert!(
            response.contains("abc") && !response.contains("X-Late") && !response.contains("Link"),
            "{response}"
        );
    }
    let received = stub.received.lock();
    assert_eq!(received[0].connection, received[1].connection);
}

#[tokio::test]
async fn pipelined_requests_get_their_own_responses_in_order() {
    let stub = StubEngine::start("e1", |_, req| {
        let id = req.header("x-attempt-id").unwrap().to_owned();
        let length = format!("Content-Length: {}\r\n", id.len());
        (
            format!("{}{id}", sealed_head(req, "200 OK", &length)).into_bytes(),
            AfterResponse::KeepOpen,
        )
    })
    .await;
    let fleet = Fleet::start(&[&stub]).await;
    let ids = ["p1", "p2", "p3"];
    let all: String = ids.iter().map(|id| request("/once/", "").replace("a1", id)).collect();
    let last = all.rfind("X-Model").unwrap();
    let closing = format!("{}Connection: close\r\n{}", &all[..last], &all[last..]);
    let response = fleet.send_raw_until_close(closing.as_bytes()).await;
    let order: Vec<usize> =
        ids.iter().map(|id| response.find(&format!("\r\n\r\n{id}")).unwrap()).collect();
    assert!(order.is_sorted(), "{response}");
    assert_eq!(response.matches("HTTP/1.1 200").count(), 3, "{response}");
}

/// A client disconnects in the middle of a stream: its engine connection is not reused.
#[tokio::test]
async fn engine_connection_is_not_reused_after_a_client_disconnects_mid_stream() {
    let stub = StubEngine::start("e1", |request_no, req| match request_no {
        1 => (
            format!(
                "{}{}",
                sealed_head(req, "200 OK", "Transfer-Encoding: chunked\r\n"),
                chunk("part")
            )
            .into_bytes(),
            AfterResponse::KeepOpen,
        ),
        _ => (complete_stream(req, 2..=2), AfterResponse::KeepOpen),
    })
    .await;
    let fleet = Fleet::start(&[&stub]).await;
    let mut client = fleet.connect().await;
    client.write_all(request("/once/", "").as_bytes()).await.unwrap();
    let mut first = Vec::new();
    while !String::from_utf8_lossy(&first).contains("part") {
        let mut buffer = [0u8; 1024];
        let read = client.read(&mut buffer).await.unwrap();
        assert_ne!(read, 0);
        first.extend_from_slice(&buffer[..read]);
    }
    socket2::SockRef::from(&client).set_linger(Some(std::time::Duration::ZERO)).unwrap();
    drop(client);
    let response = fleet.send_raw(request("/once/", "").replace("a1", "a2").as_bytes()).await;
    assert!(response.contains(&event(2)) && !response.contains("part"), "{response}");
    let received = stub.received.lock();
    assert_ne!(received[0].connection, received[1].connection);
}

/// A client disconnects before it has sent its whole request: nothing of it reaches an engine.
#[tokio::test]
async fn incomplete_request_is_never_dispatched() {
    let stub =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&stub]).await;
    let half = request("/once/", "").replace("Content-Length: 2", "Content-Length: 9");
    let mut client = fleet.connect().await;
    client.write_all(half.as_bytes()).await.unwrap();
    client.shutdown().await.unwrap();
    let mut response = Vec::new();
    client.read_to_end(&mut response).await.unwrap();
    assert!(!String::from_utf8_lossy(&response).contains(" 200 "));
    assert_eq!(status(&fleet.send("/once/", "").await), 200);
    assert_eq!(stub.received_count(), 1);
}

/// Headers named by a `Connection` header are not forwarded, except those that identify the message.
#[tokio::test]
async fn headers_named_by_connection_are_not_forwarded() {
    let stub = StubEngine::start("e1", |_, req| {
        let extra_headers =
            "Connection: X-Hop, X-Server-Seal\r\nX-Hop: 1\r\nX-Kept: 2\r\nContent-Length: 0\r\n";
        (sealed_head(req, "200 OK", extra_headers).into_bytes(), AfterResponse::KeepOpen)
    })
    .await;
    let fleet = Fleet::start(&[&stub]).await;
    let extra_headers = "Connection: x-hop, X-Attempt-Id, keep-alive\r\nX-Hop: 1\r\nX-Kept: 2\r\n";
    let response = fleet.send("/once/", extra_headers).await.to_ascii_lowercase();
    assert_eq!(status(&response), 200);
    let received = stub.received.lock()[0].clone();
    assert_eq!((received.header("x-hop"), received.header("x-kept")), (None, Some("2")));
    assert_eq!(received.header("x-attempt-id"), Some("a1"));
    assert!(!response.contains("x-hop") && response.contains("x-kept: 2"), "{response}");
    assert!(response.contains("x-server-seal: s1"), "{response}");
}

/// Load reported in a response to another request is ignored.
#[tokio::test]
async fn load_in_a_response_to_another_request_is_ignored() {
    for (id, recorded) in [("a1", Some(77)), ("b7", None)] {
        let load_headers = "X-Instance-Load: 77,0,8\r\nContent-Length: 0\r\n";
        let stub = StubEngine::start("e1", move |_, req| {
            let response = sealed_head(req, "200 OK", load_headers)
                .replace("X-Attempt-Id: a1", &format!("X-Attempt-Id: {id}"));
            (response.into_bytes(), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&stub]).await;
        fleet.send("/once/", "").await;
        let engine = fleet.router.fleet_view.engines.read()["e1"].clone();
        let running = engine.activity().reported.map(|reported| reported.running);
        assert_eq!(running, recorded, "{id}");
    }
}
