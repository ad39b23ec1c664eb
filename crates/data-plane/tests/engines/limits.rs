//! What an engine makes the router keep: bounds, and how it shows.

use super::harness::{
    AfterResponse, Fleet, StubEngine, advance_time, chunk, complete_stream, event, request,
    sealed_head, status, stream_head, wait_until,
};
use data_plane::pool::Health;
use fleet_core::constants;
use std::sync::atomic::Ordering;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

#[tokio::test]
async fn a_truncated_response_is_counted_and_its_partial_event_given_back() {
    let engine = StubEngine::start("e1", |_, received| {
        let start = format!("{}{}", stream_head(received, ""), chunk(&event(1)));
        (format!("{start}{}", chunk("id: 2\ndata: part")).into_bytes(), AfterResponse::Close)
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    let response = fleet.send_raw_until_close(request("/on/x", "").as_bytes()).await;
    assert!(response.contains("data: x1") && !response.contains("part"), "{response}");
    let counters = &fleet.router.counters;
    wait_until(|| counters.responses_broken_by_engine.load(Ordering::Relaxed) > 0).await;
    let usage = || fleet.router.memory.partial_events.usage();
    wait_until(|| usage().reserved == 0).await;
    assert_eq!(usage().peak, "id: 2\ndata: part".len());
}

/// An event that is too large to be kept, and an engine that breaks off after it.
#[tokio::test]
async fn a_stream_with_a_too_large_event_is_relayed_whole_and_not_resumed() {
    let large = format!("id: 2\ndata: {}\n\n", "x".repeat(3 * constants::PARTIAL_EVENT_MAX_BYTES));
    let text = large.clone();
    let engine = StubEngine::start("e1", move |number, received| {
        let start = format!("{}{}{}", stream_head(received, ""), chunk(&event(1)), chunk(&text));
        match number {
            1 => (format!("{start}0\r\n\r\n").into_bytes(), AfterResponse::KeepOpen),
            _ => (start.into_bytes(), AfterResponse::Close),
        }
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    let text = |response: &str| {
        response.split("\r\n").filter(|line| line.contains(['x', '\n'])).collect::<String>()
    };
    let whole = fleet.send("/on/x", "").await;
    assert!(whole.ends_with("0\r\n\r\n"));
    assert!(text(&whole).contains(&large), "{} bytes", whole.len());
    let broken = fleet.send_raw_until_close(request("/on/x", "").as_bytes()).await;
    assert!(!broken.ends_with("0\r\n\r\n"));
    let start = format!("{}{large}", event(1));
    let relayed = text(&broken);
    let relayed = &relayed[relayed.find("id: 1").unwrap()..];
    assert!(start.starts_with(relayed), "{} bytes are no part of the stream", relayed.len());
    assert_eq!(engine.received_count(), 2, "resuming would repeat a part of the event");
}

/// A rejection whose body is longer than any explanation.
#[tokio::test]
async fn an_engine_with_a_too_long_rejection_body_is_ejected_and_its_connection_not_reused() {
    for (length, is_ejected) in [
        (constants::REJECTION_BODY_MAX_BYTES, false),
        (constants::REJECTION_BODY_MAX_BYTES + 1, true),
    ] {
        let body = vec![b'x'; length];
        let engine = StubEngine::start("e1", move |_, received| {
            let length = format!("X-Not-Executed: 1\r\nContent-Length: {length}\r\n");
            let head = sealed_head(received, "503 Full", &length);
            ([head.into_bytes(), body.clone()].concat(), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&engine]).await;
        assert_eq!(status(&fleet.send("/once/x", "").await), 503);
        let handle = fleet.router.fleet_view.engines.read()["e1"].clone();
        let idle = || {
            let now = tokio::time::Instant::now();
            handle.activity().has_idle_connection(now, std::time::Duration::MAX)
        };
        let is_decided = || idle() || handle.is_ejected(tokio::time::Instant::now());
        wait_until(is_decided).await;
        assert_eq!(handle.is_ejected(tokio::time::Instant::now()), is_ejected, "{length}");
        assert_eq!(idle(), !is_ejected, "{length}");
    }
}

/// Bytes that are no response, on a new connection and on one that was idle for so long that its engine might have
/// closed it.
#[tokio::test]
async fn an_engine_that_sends_no_response_is_ejected_whatever_connection_it_used() {
    let floods: [(&str, Vec<u8>); 4] = [
        ("interim responses", b"HTTP/1.1 100 Continue\r\n\r\n".repeat(20_000)),
        ("field without end", [&b"HTTP/1.1 200 OK\r\nX-Fill: "[..], &[b'x'; 1 << 19]].concat()),
        ("garbage", vec![b'x'; 1 << 19]),
        ("line ends", b"\r\n".repeat(1 << 18)),
    ];
    for (name, flood) in floods {
        for sound_responses in [0, 1] {
            let flood = flood.clone();
            let engine = StubEngine::start("e1", move |number, received| {
                if number <= sound_responses {
                    return (complete_stream(received, 1..=1), AfterResponse::KeepOpen);
                }
                (flood.clone(), AfterResponse::KeepOpen)
            })
            .await;
            let fleet = Fleet::start(&[&engine]).await;
            for _ in 0..sound_responses {
                assert_eq!(status(&fleet.send("/twice/x", "").await), 200);
                advance_time(constants::IDLE_TIMEOUT_MIN * 2).await;
            }
            assert_eq!(status(&fleet.send("/twice/x", "").await), 502, "{name}");
            let handle = fleet.router.fleet_view.engines.read()["e1"].clone();
            assert!(handle.is_ejected(tokio::time::Instant::now()), "{name}, {sound_responses}");
            assert_eq!(fleet.router.counters.idle_resets.load(Ordering::Relaxed), 0, "{name}");
        }
    }
}

/// The size of a chunk, and chunk extensions, may be long but not endless.
#[tokio::test]
async fn framing_without_end_truncates_the_response_and_ejects_the_engine() {
    for flood in [vec![b'0'; 1 << 19], [&b"1;"[..], &[b'x'; 1 << 19]].concat()] {
        let engine = StubEngine::start("e1", move |_, received| {
            let head = stream_head(received, "") + &chunk(&event(1));
            ([head.as_bytes(), &flood[..]].concat(), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&engine]).await;
        let response = fleet.send_raw_until_close(request("/once/x", "").as_bytes()).await;
        assert_eq!(status(&response), 200);
        assert!(!response.ends_with("0\r\n\r\n"));
        let handle = fleet.router.fleet_view.engines.read()["e1"].clone();
        assert!(handle.is_ejected(tokio::time::Instant::now()));
    }
}

/// What is read ahead of a client that doesn't read is progress: its response is whole once it reads.
#[tokio::test]
async fn a_long_response_to_a_slow_client_is_relayed_whole() {
    let body_chunk = "x".repeat(100_000);
    let text = body_chunk.clone();
    let engine = StubEngine::start("e1", move |_, received| {
        let chunks = chunk(&text).repeat(40);
        let head = stream_head(received, "");
        ([head.as_bytes(), chunks.as_bytes(), b"0\r\n\r\n"].concat(), AfterResponse::KeepOpen)
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    let mut client = fleet.connect().await;
    client.write_all(request("/once/x", "").as_bytes()).await.unwrap();
    client.readable().await.unwrap();
    for _ in 0..2000 {
        tokio::task::yield_now().await;
    }
    let mut response = Vec::new();
    while !response.ends_with(b"0\r\n\r\n") {
        assert_ne!(client.read_buf(&mut response).await.unwrap(), 0, "{} bytes", response.len());
    }
    let relayed = response.iter().filter(|byte| **byte == b'x').count();
    assert!(relayed >= 40 * body_chunk.len());
}

/// Valid HTTP that answers no request, or says that the engine is full without proof.
#[tokio::test]
async fn an_engine_is_ejected_after_several_responses_that_answer_nothing() {
    let unsealed = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let unproven = "HTTP/1.1 503 Full\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n";
    for (response, is_faulty) in [(unsealed, true), (unproven, false)] {
        let engine = StubEngine::start("e1", move |number, received| {
            let is_sound = number == constants::MAX_INVALID_RESPONSES as usize;
            if is_sound {
                return (complete_stream(received, 1..=1), AfterResponse::KeepOpen);
            }
            (response.as_bytes().to_vec(), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&engine]).await;
        let handle = fleet.router.fleet_view.engines.read()["e1"].clone();
        for number in 1..2 * constants::MAX_INVALID_RESPONSES {
            assert!(!handle.is_ejected(tokio::time::Instant::now()), "a sound one was in between");
            let expected = if number == constants::MAX_INVALID_RESPONSES { 200 } else { 502 };
            assert_eq!(status(&fleet.send("/once/x", "").await), expected);
        }
        assert!(!handle.is_ejected(tokio::time::Instant::now()));
        assert_eq!(status(&fleet.send("/once/x", "").await), 502);
        assert_eq!(handle.is_ejected(tokio::time::Instant::now()), is_faulty);
    }
}

/// An engine with valid heads, whose event has no end, is ejected while the event goes on and until it has completed
/// a body; the responses themselves are relayed on, since they may be valid.
#[tokio::test]
async fn an_engine_is_ejected_while_its_event_has_no_end() {
    for path in ["/once/x", "/on/x"] {
        let engine = StubEngine::start("e1", |number, received| {
            if number == 3 {
                return (complete_stream(received, 1..=1), AfterResponse::KeepOpen);
            }
            let endless = chunk(&"x".repeat(constants::ENDLESS_BODY_BYTES + 1));
            let head = stream_head(received, "");
            ([head.as_bytes(), endless.as_bytes()].concat(), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&engine]).await;
        let handle = fleet.router.fleet_view.engines.read()["e1"].clone();
        let is_ejected = || handle.is_ejected(tokio::time::Instant::now());
        for ejection_time in [constants::BASE_EJECTION_TIME, 2 * constants::BASE_EJECTION_TIME] {
            let mut client = fleet.connect().await;
            client.write_all(request(path, "").as_bytes()).await.unwrap();
            let mut relayed = 0;
            let mut buffer = vec![0; 1 << 16];
            while relayed <= constants::ENDLESS_BODY_BYTES {
                relayed += client.read(&mut buffer).await.unwrap();
            }
            wait_until(is_ejected).await;
            drop(client);
            advance_time(ejection_time).await;
            assert!(!is_ejected());
        }
        assert_eq!(status(&fleet.send(path, "").await), 200);
        wait_until(|| handle.health(tokio::time::Instant::now()) == Health::Healthy).await;
    }
}

#[tokio::test]
async fn a_body_that_has_not_ended_at_its_deadline_ejects_its_engine_only_if_it_is_long() {
    for (length, is_endless) in
        [(constants::ENDLESS_BODY_BYTES / 2, false), (constants::ENDLESS_BODY_BYTES * 2, true)]
    {
        let body = "x".repeat(length);
        let engine = StubEngine::start("e1", move |_, received| {
            let head = sealed_head(received, "200 OK", "Transfer-Encoding: chunked\r\n");
            ([head, chunk(&body)].concat().into_bytes(), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&engine]).await;
        let mut client = fleet.connect().await;
        client.write_all(request("/twice/x", "").as_bytes()).await.unwrap();
        let mut response = Vec::new();
        let mut relayed = 0;
        while relayed < length {
            let start = response.len();
            assert_ne!(client.read_buf(&mut response).await.unwrap(), 0);
            relayed += response[start..].iter().filter(|byte| **byte == b'x').count();
        }
        advance_time(std::time::Duration::from_secs(15)).await;
        while client.read_buf(&mut response).await.is_ok_and(|read| read > 0) {}
        assert!(!response.ends_with(b"0\r\n\r\n"));
        let handle = fleet.router.fleet_view.engines.read()["e1"].clone();
        assert_eq!(handle.is_ejected(tokio::time::Instant::now()), is_endless, "{length}");
    }
}

/// Starts to send a body of `length` bytes; its last byte stays unsent.
async fn send_incomplete_body(fleet: &Fleet, length: usize) -> TcpStream {
    let head = format!(
        "POST /twice/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Key: k1\r\nContent-Length: {length}\r\n\r\n"
    );
    let mut client = fleet.connect().await;
    client.write_all(head.as_bytes()).await.unwrap();
    client.write_all(&vec![b'x'; length - 1]).await.unwrap();
    client
}

async fn receive(mut client: TcpStream) -> String {
    let mut response = Vec::new();
    while !response.windows(4).any(|window| window == b"\r\n\r\n") {
        if client.read_buf(&mut response).await.unwrap() == 0 {
            break;
        }
    }
    String::from_utf8_lossy(&response).into_owned()
}

/// Clients that send large bodies don't turn away those that send small ones.
#[tokio::test]
async fn large_request_bodies_beyond_the_budget_are_rejected_and_small_ones_are_not() {
    const LARGE: usize = constants::REQUEST_BODIES_BUDGET_BYTES / 2 + constants::SMALL_BODY_BYTES;
    let engine =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::with_limits(&[&engine], 100, LARGE).await;
    let budget = &fleet.router.memory.request_bodies;
    let mut first = send_incomplete_body(&fleet, LARGE).await;
    let second = send_incomplete_body(&fleet, LARGE).await;
    wait_until(|| budget.usage().reserved + 2 == budget.limit()).await;
    let mut third = send_incomplete_body(&fleet, LARGE).await;
    third.write_all(b"x").await.unwrap();
    let rejection = receive(third).await;
    assert_eq!(status(&rejection), 503, "{rejection}");
    assert!(rejection.to_ascii_lowercase().contains("retry-after"), "{rejection}");
    let mut small = send_incomplete_body(&fleet, constants::SMALL_BODY_BYTES).await;
    small.write_all(b"x").await.unwrap();
    assert_eq!(status(&receive(small).await), 200);
    first.write_all(b"x").await.unwrap();
    assert_eq!(status(&receive(first).await), 200);
    drop(second);
    wait_until(|| budget.usage().reserved == 0).await;
    assert_eq!(engine.received_count(), 2, "a rejected request was sent to no engine");
}

#[tokio::test]
async fn requests_beyond_those_in_flight_are_rejected() {
    let engine =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&engine]).await;
    let all = constants::MAX_REQUESTS_IN_FLIGHT as u32;
    let others = fleet.router.request_permits.clone().acquire_many_owned(all).await.unwrap();
    let response = fleet.send("/twice/x", "").await;
    assert_eq!(status(&response), 503, "{response}");
    assert!(response.to_ascii_lowercase().contains("retry-after"), "{response}");
    drop(others);
    assert_eq!(status(&fleet.send("/twice/x", "").await), 200);
    wait_until(|| fleet.router.request_permits.available_permits() == all as usize).await;
    assert_eq!(engine.received_count(), 1);
}

/// A client beyond the limit on connections is served once another one has left.
#[tokio::test]
async fn clients_beyond_the_limit_on_connections_wait() {
    let engine =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&engine]).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(data_plane::proxy::client_listener::accept_clients(
        fleet.router.clone(),
        listener,
        2,
    ));
    let mut clients = Vec::new();
    for _ in 0..3 {
        let mut client = TcpStream::connect(address).await.unwrap();
        client.write_all(request("/twice/x", "").as_bytes()).await.unwrap();
        clients.push(client);
    }
    let last = clients.pop().unwrap();
    wait_until(|| engine.received_count() == 2).await;
    for _ in 0..1000 {
        tokio::task::yield_now().await;
    }
    assert_eq!(engine.received_count(), 2);
    clients.pop();
    assert_eq!(status(&receive(last).await), 200);
}

/// Bytes that follow a complete response belong to no request.
#[tokio::test]
async fn a_connection_on_which_an_engine_sends_more_than_its_response_is_closed() {
    let engine = StubEngine::start("e1", |_, received| {
        let surplus = vec![b'x'; 1 << 20];
        ([complete_stream(received, 1..=1), surplus].concat(), AfterResponse::KeepOpen)
    })
    .await;
    let fleet = Fleet::start(&[&engine]).await;
    let handle = fleet.router.fleet_view.engines.read()["e1"].clone();
    for request_count in 1..=2 {
        assert_eq!(status(&fleet.send("/twice/x", "").await), 200);
        let is_closed = || {
            let now = tokio::time::Instant::now();
            !handle.activity().has_idle_connection(now, std::time::Duration::MAX)
        };
        wait_until(is_closed).await;
        assert_eq!(engine.received.lock().last().unwrap().connection, request_count);
    }
}
