//! Whose answer it is, and whether it is whole: what can't be told is not passed on as a success.

use super::harness::{
    Fleet, ReceivedRequest, StubEngine, Then, chunk, complete, event, request, sealed, status,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Answers whose end or meaning can't be told; each ends as a failure of ours, after one arrival.
#[tokio::test]
async fn answers_without_a_provable_end_are_never_successes() {
    type Play = fn(&ReceivedRequest) -> String;
    let routing_table: Vec<(&str, Play)> = vec![
        ("ends with the connection", |s| format!("{}half", sealed(s, "200 OK", ""))),
        ("an older protocol, ends with the connection", |s| {
            format!("{}half", sealed(s, "200 OK", "").replace("HTTP/1.1", "HTTP/1.0"))
        }),
        ("a length and chunks", |s| {
            let both = "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n";
            format!("{}{}0\r\n\r\n", sealed(s, "200 OK", both), chunk("abcde"))
        }),
        ("two lengths", |s| {
            format!("{}ab", sealed(s, "200 OK", "Content-Length: 1\r\nContent-Length: 2\r\n"))
        }),
        ("another protocol", |s| {
            sealed(s, "101 Switching Protocols", "Connection: upgrade\r\nUpgrade: x\r\n")
        }),
    ];
    for (what, play) in routing_table {
        let script = move |_: usize, s: &ReceivedRequest| (play(s).into_bytes(), Then::Close);
        let (a, b) = (StubEngine::start("e1", script).await, StubEngine::start("e2", script).await);
        let f = Fleet::start(&[&a, &b]).await;
        let got = f.send("/twice/", "").await;
        assert_eq!(status(&got), 502, "{what}: {got}");
        assert_eq!(a.arrivals() + b.arrivals(), 1, "{what}");
    }
}

#[tokio::test]
async fn short_bodies_never_look_complete() {
    let length =
        |s: &ReceivedRequest| format!("{}half", sealed(s, "200 OK", "Content-Length: 9\r\n"));
    let chunks = |s: &ReceivedRequest| {
        format!("{}{}9\r\nhalf", sealed(s, "200 OK", "Transfer-Encoding: chunked\r\n"), chunk("x"))
    };
    let plays: [fn(&ReceivedRequest) -> String; 2] = [length, chunks];
    for play in plays {
        for reset in [false, true] {
            let script = move |_: usize, s: &ReceivedRequest| {
                (play(s).into_bytes(), if reset { Then::Reset } else { Then::Close })
            };
            let e = StubEngine::start("e1", script).await;
            let f = Fleet::start(&[&e]).await;
            let got = f.raw_to_end(request("/once/", "").as_bytes()).await;
            let proper = got.ends_with("0\r\n\r\n") || got.ends_with("123456789");
            assert!(!proper, "looks complete: {got}");
            assert_eq!(e.arrivals(), 1);
        }
    }
}

/// To a client of an older protocol the end of a stream would look like a break of it.
#[tokio::test]
async fn clients_that_could_not_tell_a_break_from_an_end_are_not_served() {
    let script = |_: usize, s: &ReceivedRequest| {
        let half =
            format!("{}{}", sealed(s, "200 OK", "Transfer-Encoding: chunked\r\n"), chunk("x"));
        (half.into_bytes(), Then::Close)
    };
    let e = StubEngine::start("e1", script).await;
    let f = Fleet::start(&[&e]).await;
    let old = request("/once/", "").replace("HTTP/1.1", "HTTP/1.0");
    let got = f.raw_to_end(old.as_bytes()).await;
    assert_eq!((status(&got), e.arrivals()), (505, 0), "{got}");
}

/// The engine answers the first request twice, the second time where the next answer is due.
#[tokio::test]
async fn late_second_answer_goes_to_nobody() {
    let first_head = std::sync::Mutex::new(None::<ReceivedRequest>);
    let script = move |n: usize, s: &ReceivedRequest| {
        if n == 1 {
            *first_head.lock().unwrap() = Some(s.clone());
            return (complete(s, 1..=1), Then::Keep);
        }
        let former = first_head.lock().unwrap().clone().unwrap();
        let mut out = complete(&former, 7..=7);
        out.extend_from_slice(&complete(s, 2..=2));
        (out, Then::Keep)
    };
    let e = StubEngine::start("e1", script).await;
    let f = Fleet::start(&[&e]).await;
    assert_eq!(status(&f.send("/once/", "").await), 200);
    let second = f.raw(request("/once/", "").replace("a1", "a2").as_bytes()).await;
    assert_eq!(status(&second), 502, "{second}");
    assert!(!second.contains(&event(7)));
    assert_eq!(e.arrivals(), 2);
}

/// Without an id, a refusal on a connection that served before may belong to an earlier request.
#[tokio::test]
async fn refusal_without_an_id_counts_only_as_the_first_answer_of_a_connection() {
    let bare = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    let e = StubEngine::start("e1", move |n, s| match n {
        1 => (complete(s, 1..=1), Then::Keep),
        _ => (bare.to_vec(), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    assert_eq!(status(&f.send("/once/", "").await), 200);
    assert_eq!(status(&f.send("/once/", "").await), 502, "an earlier request's, perhaps");
    assert_eq!(status(&f.send("/once/", "").await), 503, "nobody else's");
    let received = e.received.lock();
    assert_eq!(received[0].connection, received[1].connection);
    assert_ne!(received[1].connection, received[2].connection);
}

#[tokio::test]
async fn answers_without_a_body_are_whole_and_leave_the_connection_usable() {
    let e = StubEngine::start("e1", |_, s| {
        let answer = if s.head.starts_with("HEAD") {
            sealed(s, "200 OK", "Content-Length: 5\r\n")
        } else {
            sealed(s, "204 No Content", "")
        };
        (answer.into_bytes(), Then::Keep)
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    assert_eq!(status(&f.send("/once/", "").await), 204);
    let head = request("/once/", "").replace("POST", "HEAD");
    let got = f.raw(head.as_bytes()).await;
    assert_eq!(status(&got), 200);
    assert!(got.ends_with("\r\n\r\n"), "a body after HEAD: {got}");
    let received = e.received.lock();
    assert_eq!(received[0].connection, received[1].connection);
}

#[tokio::test]
async fn interim_answers_and_trailers_do_not_reach_the_client() {
    let e = StubEngine::start("e1", |_, s| {
        let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
        let head = sealed(s, "200 OK", "Transfer-Encoding: chunked\r\n");
        (format!("{interim}{head}{}0\r\nX-Late: t\r\n\r\n", chunk("abc")).into_bytes(), Then::Keep)
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    for _ in 0..2 {
        let got = f.send("/once/", "").await;
        assert_eq!(status(&got), 200);
        assert!(got.contains("abc") && !got.contains("X-Late") && !got.contains("Link"), "{got}");
    }
    let received = e.received.lock();
    assert_eq!(received[0].connection, received[1].connection);
}

#[tokio::test]
async fn pipelined_requests_get_their_own_answers_in_their_order() {
    let e = StubEngine::start("e1", |_, s| {
        let id = s.header("x-attempt-id").unwrap().to_owned();
        let length = format!("Content-Length: {}\r\n", id.len());
        (format!("{}{id}", sealed(s, "200 OK", &length)).into_bytes(), Then::Keep)
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    let ids = ["p1", "p2", "p3"];
    let all: String = ids.iter().map(|id| request("/once/", "").replace("a1", id)).collect();
    let last = all.rfind("X-Model").unwrap();
    let closing = format!("{}Connection: close\r\n{}", &all[..last], &all[last..]);
    let got = f.raw_to_end(closing.as_bytes()).await;
    let order: Vec<usize> =
        ids.iter().map(|id| got.find(&format!("\r\n\r\n{id}")).unwrap()).collect();
    assert!(order.is_sorted(), "{got}");
    assert_eq!(got.matches("HTTP/1.1 200").count(), 3, "{got}");
}

/// A client goes away in the middle of a stream: its engine connection serves nobody else.
#[tokio::test]
async fn connection_of_a_client_that_left_midway_is_not_used_again() {
    let e = StubEngine::start("e1", |n, s| match n {
        1 => (
            format!("{}{}", sealed(s, "200 OK", "Transfer-Encoding: chunked\r\n"), chunk("part"))
                .into_bytes(),
            Then::Keep,
        ),
        _ => (complete(s, 2..=2), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    let mut client = f.connect().await;
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
    let got = f.raw(request("/once/", "").replace("a1", "a2").as_bytes()).await;
    assert!(got.contains(&event(2)) && !got.contains("part"), "{got}");
    let received = e.received.lock();
    assert_ne!(received[0].connection, received[1].connection);
}

/// A client breaks off inside its request: nothing of it reaches an engine.
#[tokio::test]
async fn half_a_request_is_never_sent_on() {
    let e = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&e]).await;
    let half = request("/once/", "").replace("Content-Length: 2", "Content-Length: 9");
    let mut client = f.connect().await;
    client.write_all(half.as_bytes()).await.unwrap();
    client.shutdown().await.unwrap();
    let mut tail = Vec::new();
    client.read_to_end(&mut tail).await.unwrap();
    assert!(!String::from_utf8_lossy(&tail).contains(" 200 "));
    assert_eq!(status(&f.send("/once/", "").await), 200);
    assert_eq!(e.arrivals(), 1);
}

/// What a `Connection` header names concerns that connection alone; an id is never lost that way.
#[tokio::test]
async fn headers_named_by_connection_stay_on_their_connection() {
    let e = StubEngine::start("e1", |_, s| {
        let target =
            "Connection: X-Hop, X-Server-Seal\r\nX-Hop: 1\r\nX-Kept: 2\r\nContent-Length: 0\r\n";
        (sealed(s, "200 OK", target).into_bytes(), Then::Keep)
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    let target = "Connection: x-hop, X-Attempt-Id, keep-alive\r\nX-Hop: 1\r\nX-Kept: 2\r\n";
    let got = f.send("/once/", target).await.to_ascii_lowercase();
    assert_eq!(status(&got), 200);
    let received = e.received.lock()[0].clone();
    assert_eq!((received.header("x-hop"), received.header("x-kept")), (None, Some("2")));
    assert_eq!(received.header("x-attempt-id"), Some("a1"));
    assert!(!got.contains("x-hop") && got.contains("x-kept: 2"), "{got}");
    assert!(got.contains("x-server-seal: s1"), "{got}");
}

/// What an answer to another request tells of its engine is not believed of ours.
#[tokio::test]
async fn news_in_an_answer_of_another_request_is_not_taken_in() {
    for (id, believed) in [("a1", Some(77)), ("b7", None)] {
        let news = "X-Instance-Load: 77,0,8\r\nContent-Length: 0\r\n";
        let e = StubEngine::start("e1", move |_, s| {
            let answer = sealed(s, "200 OK", news)
                .replace("X-Attempt-Id: a1", &format!("X-Attempt-Id: {id}"));
            (answer.into_bytes(), Then::Keep)
        })
        .await;
        let f = Fleet::start(&[&e]).await;
        f.send("/once/", "").await;
        let engine = f.router.fleet_view.engines.read()["e1"].clone();
        let running = engine.work().reported.map(|reported| reported.running);
        assert_eq!(running, believed, "{id}");
    }
}
