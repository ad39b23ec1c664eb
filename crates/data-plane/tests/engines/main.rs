//! Engines that misbehave: an invalid response is never relayed as a success, and no request runs twice.

mod draining;
mod harness;
mod idle_connections;
mod limits;
mod outdated_weights;
mod reconfiguration;
mod rejections;
mod responses;
mod timeouts;

use harness::{
    AfterResponse, Fleet, StubEngine, chunk, complete_stream, event, request, status, stream_head,
};

#[tokio::test]
async fn valid_stream_is_relayed_completely_and_dispatched_with_the_routers_headers() {
    let stub =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=3), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&stub]).await;
    let response = fleet
        .send("/once/x?q=1", "X-Tenant: forged\r\nX-Cache-Salt: forged\r\nX-Extra: kept\r\n")
        .await;
    assert_eq!(status(&response), 200);
    assert!(
        response.to_ascii_lowercase().contains("x-server-seal: s1")
            && response.ends_with("0\r\n\r\n")
    );
    for id in 1..=3 {
        assert!(response.contains(&event(id)));
    }
    let received = stub.received.lock()[0].clone();
    assert!(received.head.starts_with("POST /once/x?q=1 HTTP/1.1"));
    assert_eq!(received.body, b"hi");
    let header_value = |name: &str| received.header(name).map(str::to_owned);
    assert_eq!(header_value("x-tenant").as_deref(), Some("t1"));
    assert_eq!(header_value("x-target-instance").as_deref(), Some("e1"));
    assert_eq!(header_value("x-expected-version").as_deref(), Some("2"));
    assert_eq!(header_value("x-cache-salt").as_deref(), Some("m|2|#4"));
    assert_eq!(header_value("x-attempt-id").as_deref(), Some("a1"));
    assert_eq!(header_value("x-extra").as_deref(), Some("kept"));
    assert_eq!(header_value("x-key"), None);
    assert!(header_value("x-deadline-ms").unwrap().parse::<u64>().unwrap() <= 15000);
}

#[tokio::test]
async fn isolated_tenant_has_its_own_cache_salt() {
    let stub =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&stub]).await;
    let raw_request = request("/once/", "").replace("X-Key: k1", "X-Key: k2");
    assert_eq!(status(&fleet.send_raw(raw_request.as_bytes()).await), 200);
    assert_eq!(stub.received.lock()[0].header("x-cache-salt"), Some("m|2|t/t2"));
}

/// Invalid responses of an engine: each gives a 502 after a single dispatch.
#[tokio::test]
async fn invalid_responses_give_a_502_and_no_retry() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";
    let cases: Vec<(&str, String)> = vec![
        ("garbage", "\u{1}\u{2}nonsense\r\n\r\n".into()),
        ("closed without a response", String::new()),
        ("no seal", format!("{ok}X-Attempt-Id: a1\r\n\r\nx")),
        ("wrong attempt id", format!("{ok}X-Attempt-Id: b7\r\nX-Server-Seal: s\r\n\r\nx")),
        ("no attempt id", format!("{ok}X-Server-Seal: s\r\n\r\nx")),
        (
            "content encoding",
            format!("{ok}X-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Encoding: gzip\r\n\r\nx"),
        ),
        ("truncated head", "HTTP/1.1 200 OK\r\nX-Att".into()),
        (
            "not executed, with a wrong attempt id",
            "HTTP/1.1 503 No\r\nX-Attempt-Id: b7\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .into(),
        ),
    ];
    for (case, bytes) in cases {
        let script = move |_: usize, _: &harness::ReceivedRequest| {
            (bytes.clone().into_bytes(), AfterResponse::Close)
        };
        let (a, b) =
            (StubEngine::start("e1", script.clone()).await, StubEngine::start("e2", script).await);
        let fleet = Fleet::start(&[&a, &b]).await;
        let response = fleet.send("/twice/", "").await;
        assert_eq!(status(&response), 502, "{case}: {response}");
        assert_eq!(a.received_count() + b.received_count(), 1, "{case}");
    }
}

/// The state that controllers report for an engine decides whether it gets requests.
#[tokio::test]
async fn draining_updating_and_outdated_engines_get_no_requests() {
    use fleet_core::wire::{EngineState, FleetUpdate, TargetWeights};
    type Edit = fn(&mut fleet_core::wire::Engine);
    let cases: Vec<(&str, Edit, u64, bool)> = vec![
        ("ready", |_| {}, 0, true),
        ("draining", |engine| engine.set_state(EngineState::Draining), 0, false),
        ("deregistered", |engine| engine.set_state(EngineState::Deregistered), 0, false),
        ("updating its weights", |engine| engine.update_seq = 1, 0, false),
        ("outdated weights, within the bound", |_| {}, 3000, true),
        ("outdated weights, past the bound", |_| {}, 7500, false),
    ];
    for (case, edit, age_ms, served) in cases {
        let stub = StubEngine::start("e1", |_, req| {
            (complete_stream(req, 1..=1), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&stub]).await;
        let mut engine = harness::engine_state(&stub);
        engine.call_seq = 2;
        edit(&mut engine);
        let weights = vec![TargetWeights { model: "m".into(), version: 3, age_ms }];
        fleet.router.fleet_view.apply_update(&FleetUpdate {
            engines: vec![engine],
            weights,
            ..Default::default()
        });
        let expected = if served { 200 } else { 503 };
        assert_eq!(status(&fleet.send("/once/", "").await), expected, "{case}");
        assert_eq!(stub.received_count(), usize::from(served), "{case}");
    }
}

#[tokio::test]
async fn truncated_stream_never_looks_complete() {
    let stub = StubEngine::start("e1", |_, req| {
        (format!("{}{}", stream_head(req, ""), chunk(&event(1))).into_bytes(), AfterResponse::Close)
    })
    .await;
    let fleet = Fleet::start(&[&stub]).await;
    let response = fleet.send("/once/", "").await;
    assert_eq!(status(&response), 200);
    assert!(response.contains(&event(1)) && !response.contains("0\r\n\r\n"));
    assert_eq!(stub.received_count(), 1);
}

#[tokio::test]
async fn resumable_stream_continues_at_another_engine_without_loss_or_repetition() {
    let script = |_, req: &harness::ReceivedRequest| {
        let from: u32 = req.header("last-event-id").map_or(0, |v| v.parse().unwrap());
        if from > 0 {
            return (complete_stream(req, from + 1..=4), AfterResponse::KeepOpen);
        }
        let truncated = format!("{}{}{}", chunk(&event(1)), chunk(&event(2)), chunk("id: 3\nda"));
        (format!("{}{truncated}", stream_head(req, "")).into_bytes(), AfterResponse::Close)
    };
    let (a, b) = (StubEngine::start("e1", script).await, StubEngine::start("e2", script).await);
    let fleet = Fleet::start(&[&a, &b]).await;
    let response = fleet.send("/on/", "").await;
    assert_eq!(status(&response), 200);
    assert!(response.ends_with("0\r\n\r\n"), "{response}");
    let text: String = response.split("\r\n").filter(|l| l.starts_with("id:")).collect();
    assert_eq!(text, (1..=4).map(event).collect::<String>());
    assert_eq!((a.received_count(), b.received_count()), (1, 1));
    let second = [&a, &b]
        .into_iter()
        .find_map(|stub| stub.received.lock()[0].header("last-event-id").map(str::to_owned));
    assert_eq!(second.as_deref(), Some("2"));
}

fn not_executed_response(req: &harness::ReceivedRequest, status: &str) -> Vec<u8> {
    let id = req.header("x-attempt-id").unwrap();
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

#[tokio::test]
async fn rejection_gives_a_503_with_retry_after_on_a_single_attempt_route() {
    for case in ["503 Full", "421 Misdirected Request", "429 Many"] {
        let stub = StubEngine::start("e1", move |_, req| {
            (not_executed_response(req, case), AfterResponse::KeepOpen)
        })
        .await;
        let fleet = Fleet::start(&[&stub]).await;
        let response = fleet.send("/once/", "").await;
        assert_eq!(status(&response), 503, "{case}");
        assert!(response.to_ascii_lowercase().contains("retry-after:"));
        assert_eq!(stub.received_count(), 1);
    }
}

#[tokio::test]
async fn rejected_request_is_retried_at_another_engine_if_the_route_allows() {
    let rejecting = StubEngine::start("e1", |_, req| {
        (not_executed_response(req, "503 Full"), AfterResponse::KeepOpen)
    })
    .await;
    let accepting =
        StubEngine::start("e2", |_, req| (complete_stream(req, 1..=2), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&rejecting, &accepting]).await;
    for _ in 0..12 {
        assert_eq!(status(&fleet.send("/twice/", "").await), 200);
    }
    assert_eq!(accepting.received_count(), 12);
}

#[tokio::test]
async fn surplus_bytes_are_not_relayed_to_the_next_request() {
    let stub = StubEngine::start("e1", |request_no, req| {
        let mut bytes = complete_stream(req, 1..=1);
        if request_no == 1 {
            bytes.extend_from_slice(&complete_stream(req, 7..=7));
        }
        (bytes, AfterResponse::KeepOpen)
    })
    .await;
    let fleet = Fleet::start(&[&stub]).await;
    let first = fleet.send("/once/", "").await;
    assert!(first.contains(&event(1)) && !first.contains(&event(7)));
    let second = fleet.send_raw(request("/once/", "").replace("a1", "a2").as_bytes()).await;
    assert_eq!(status(&second), 200);
    assert!(second.contains(&event(1)) && !second.contains(&event(7)));
    let received = stub.received.lock();
    assert_ne!(
        received[0].connection, received[1].connection,
        "a connection with surplus bytes was reused"
    );
}

#[tokio::test]
async fn connection_is_reused_after_a_verified_end_but_not_after_connection_close() {
    for (extra_headers, reused) in [("", true), ("Connection: close\r\n", false)] {
        let stub = StubEngine::start("e1", move |_, req| {
            (
                format!("{}{}0\r\n\r\n", stream_head(req, extra_headers), chunk(&event(1)))
                    .into_bytes(),
                AfterResponse::KeepOpen,
            )
        })
        .await;
        let fleet = Fleet::start(&[&stub]).await;
        for _ in 0..2 {
            assert_eq!(status(&fleet.send("/once/", "").await), 200);
        }
        let received = stub.received.lock();
        assert_eq!(received[0].connection == received[1].connection, reused, "{extra_headers}");
    }
}

#[tokio::test]
async fn refused_connection_does_not_count_as_an_attempt() {
    let unreachable = StubEngine {
        id: "e1".into(),
        address: {
            let l = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            l.local_addr().unwrap()
        },
        received: Default::default(),
    };
    let accepting =
        StubEngine::start("e2", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&unreachable, &accepting]).await;
    for _ in 0..6 {
        assert_eq!(
            status(&fleet.send("/once/", "").await),
            200,
            "a refused connection is not an attempt"
        );
    }
    let unreachable_only = Fleet::start(&[&unreachable]).await;
    assert_eq!(status(&unreachable_only.send("/once/", "").await), 503);
}

#[tokio::test]
async fn invalid_requests_are_rejected_without_dispatch() {
    let stub =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&stub]).await;
    let variant = |from: &str, to: &str| request("/once/", "").replace(from, to);
    let large_body = "x".repeat(2000);
    let cases = vec![
        ("no route", variant("/once/", "/other/"), 404),
        ("unknown host", variant("h.example", "g.example"), 404),
        ("no key", variant("X-Key: k1\r\n", ""), 401),
        ("unknown key", variant("X-Key: k1", "X-Key: k9"), 401),
        (
            "body too large",
            variant(
                "Content-Length: 2\r\n\r\nhi",
                &format!("Content-Length: 2000\r\n\r\n{large_body}"),
            ),
            413,
        ),
        (
            "content length and chunked encoding",
            variant("Content-Length: 2\r\n", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"),
            400,
        ),
        (
            "two content lengths",
            variant("Content-Length: 2\r\n", "Content-Length: 2\r\nContent-Length: 3\r\n"),
            400,
        ),
        ("malformed deadline", variant("15000", "soon"), 400),
        ("head too large", variant("X-Model: m", &format!("X-Model: {}", "m".repeat(20_000))), 431),
    ];
    for (case, bytes, expected) in cases {
        assert_eq!(status(&fleet.send_raw(bytes.as_bytes()).await), expected, "{case}");
    }
    assert_eq!(stub.received_count(), 0);
}

#[tokio::test]
async fn requests_with_malformed_prompt_headers_are_served_without_affinity() {
    let stub =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&stub]).await;
    for bad in ["zz:1", "aa", "aa:-5", ",,,", "aa:99999999999999999999"] {
        let raw_request =
            request("/on/", "Last-Event-Id: no number\r\n").replace("aa:10,bb:10,cc:10", bad);
        assert_eq!(status(&fleet.send_raw(raw_request.as_bytes()).await), 200, "{bad}");
    }
    assert_eq!(stub.received_count(), 5);
}

/// Cached prompt parts of a draining engine are fetched while it still responds.
#[tokio::test]
async fn new_engine_fetches_cached_parts_from_a_draining_engine() {
    use fleet_core::wire::{CachedParts, EngineState, FleetUpdate};
    let old =
        StubEngine::start("e1", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let new =
        StubEngine::start("e2", |_, req| (complete_stream(req, 1..=1), AfterResponse::KeepOpen))
            .await;
    let fleet = Fleet::start(&[&old, &new]).await;
    let prefill_heavy = request("/once/", "")
        .replace("aa:10,bb:10,cc:10", "aa:2000,bb:3000,cc:100")
        .replace("30,5", "5100,5");
    fleet.router.fleet_view.prefix_view.queue_update(
        data_plane::fleet_view::invalidations::ViewUpdate {
            reset: false,
            snapshot: vec![CachedParts {
                holder: "e1".into(),
                salt: "m|2|#4".into(),
                parts: vec![0xaa, 0xbb],
                cached_tokens: vec![2000, 3000],
            }],
            entries: Vec::new(),
        },
    );
    let mut engine = harness::engine_state(&old);
    engine.call_seq = 2;
    engine.set_state(EngineState::Draining);
    fleet
        .router
        .fleet_view
        .apply_update(&FleetUpdate { engines: vec![engine.clone()], ..Default::default() });
    assert_eq!(status(&fleet.send_raw(prefill_heavy.as_bytes()).await), 200);
    assert_eq!((old.received_count(), new.received_count()), (0, 1));
    let source = new.received.lock()[0].header("x-kv-source").map(str::to_owned);
    assert_eq!(source, Some(old.address.to_string()));
    engine.call_seq = 3;
    engine.set_state(EngineState::Deregistered);
    fleet
        .router
        .fleet_view
        .apply_update(&FleetUpdate { engines: vec![engine], ..Default::default() });
    let other = prefill_heavy.replace("cc:100", "cd:100").replace("bb:", "be:");
    assert_eq!(status(&fleet.send_raw(other.as_bytes()).await), 200);
    assert_eq!(new.received.lock()[1].header("x-kv-source"), None);
}
