//! Engines that misbehave: nothing of theirs is passed on as a success, nothing runs twice.

mod answers;
mod draining;
mod harness;
mod idle;
mod outdated;
mod promises;
mod silence;

use harness::{Fleet, StubEngine, Then, chunk, complete, event, request, status, stream_head};

#[tokio::test]
async fn proper_stream_is_passed_whole_with_our_headers_on_the_send() {
    let e = StubEngine::start("e1", |_, s| (complete(s, 1..=3), Then::Keep)).await;
    let f = Fleet::start(&[&e]).await;
    let a = f
        .send("/once/x?q=1", "X-Tenant: forged\r\nX-Cache-Salt: forged\r\nX-Extra: kept\r\n")
        .await;
    assert_eq!(status(&a), 200);
    assert!(a.to_ascii_lowercase().contains("x-server-seal: s1") && a.ends_with("0\r\n\r\n"));
    for id in 1..=3 {
        assert!(a.contains(&event(id)));
    }
    let received = e.received.lock()[0].clone();
    assert!(received.head.starts_with("POST /once/x?q=1 HTTP/1.1"));
    assert_eq!(received.body, b"hi");
    let h = |n: &str| received.header(n).map(str::to_owned);
    assert_eq!(h("x-tenant").as_deref(), Some("t1"));
    assert_eq!(h("x-target-instance").as_deref(), Some("e1"));
    assert_eq!(h("x-expected-version").as_deref(), Some("2"));
    assert_eq!(h("x-cache-salt").as_deref(), Some("m|2|#4"));
    assert_eq!(h("x-attempt-id").as_deref(), Some("a1"));
    assert_eq!(h("x-extra").as_deref(), Some("kept"));
    assert_eq!(h("x-key"), None);
    assert!(h("x-deadline-ms").unwrap().parse::<u64>().unwrap() <= 15000);
}

#[tokio::test]
async fn isolated_tenant_has_a_salt_of_its_own() {
    let e = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&e]).await;
    let rq = request("/once/", "").replace("X-Key: k1", "X-Key: k2");
    assert_eq!(status(&f.raw(rq.as_bytes()).await), 200);
    assert_eq!(e.received.lock()[0].header("x-cache-salt"), Some("m|2|t/t2"));
}

/// What an engine may send in place of an answer; each ends as a failure, after one arrival.
#[tokio::test]
async fn spoilt_answers_are_never_successes_and_never_repeated() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n";
    let routing_table: Vec<(&str, String)> = vec![
        ("garbage", "\u{1}\u{2}nonsense\r\n\r\n".into()),
        ("silence and close", String::new()),
        ("no seal", format!("{ok}X-Attempt-Id: a1\r\n\r\nx")),
        ("another id", format!("{ok}X-Attempt-Id: b7\r\nX-Server-Seal: s\r\n\r\nx")),
        ("no id", format!("{ok}X-Server-Seal: s\r\n\r\nx")),
        (
            "encoded",
            format!("{ok}X-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Encoding: gzip\r\n\r\nx"),
        ),
        ("half a head", "HTTP/1.1 200 OK\r\nX-Att".into()),
        (
            "not run, but of another",
            "HTTP/1.1 503 No\r\nX-Attempt-Id: b7\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                .into(),
        ),
    ];
    for (what, bytes) in routing_table {
        let script =
            move |_: usize, _: &harness::ReceivedRequest| (bytes.clone().into_bytes(), Then::Close);
        let (a, b) =
            (StubEngine::start("e1", script.clone()).await, StubEngine::start("e2", script).await);
        let f = Fleet::start(&[&a, &b]).await;
        let got = f.send("/twice/", "").await;
        assert_eq!(status(&got), 502, "{what}: {got}");
        assert_eq!(a.arrivals() + b.arrivals(), 1, "{what}");
    }
}

/// What the controllers tell of an engine decides whether it gets anything.
#[tokio::test]
async fn draining_changing_and_outdated_engines_get_nothing() {
    use fleet_core::wire::{EngineState, FleetUpdate, TargetWeights};
    type Edit = fn(&mut fleet_core::wire::Engine);
    let routing_table: Vec<(&str, Edit, u64, bool)> = vec![
        ("ready", |_| {}, 0, true),
        ("draining", |e| e.set_state(EngineState::Draining), 0, false),
        ("gone", |e| e.set_state(EngineState::Deregistered), 0, false),
        ("under order", |e| e.update_seq = 1, 0, false),
        ("old weights, lately named", |_| {}, 3000, true),
        ("old weights, long named", |_| {}, 7500, false),
    ];
    for (what, edit, age_ms, served) in routing_table {
        let e = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
        let f = Fleet::start(&[&e]).await;
        let mut engine = harness::engine_state(&e);
        engine.call = 2;
        edit(&mut engine);
        let weights = vec![TargetWeights { model: "m".into(), version: 3, age_ms }];
        f.router.fleet_view.apply(&FleetUpdate {
            engines: vec![engine],
            weights,
            ..Default::default()
        });
        let want = if served { 200 } else { 503 };
        assert_eq!(status(&f.send("/once/", "").await), want, "{what}");
        assert_eq!(e.arrivals(), usize::from(served), "{what}");
    }
}

#[tokio::test]
async fn stream_that_breaks_off_never_looks_complete() {
    let e = StubEngine::start("e1", |_, s| {
        (format!("{}{}", stream_head(s, ""), chunk(&event(1))).into_bytes(), Then::Close)
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    let a = f.send("/once/", "").await;
    assert_eq!(status(&a), 200);
    assert!(a.contains(&event(1)) && !a.contains("0\r\n\r\n"));
    assert_eq!(e.arrivals(), 1);
}

#[tokio::test]
async fn resumable_stream_goes_on_elsewhere_without_loss_or_repeat() {
    let script = |_, s: &harness::ReceivedRequest| {
        let from: u32 = s.header("last-event-id").map_or(0, |v| v.parse().unwrap());
        if from > 0 {
            return (complete(s, from + 1..=4), Then::Keep);
        }
        let half = format!("{}{}{}", chunk(&event(1)), chunk(&event(2)), chunk("id: 3\nda"));
        (format!("{}{half}", stream_head(s, "")).into_bytes(), Then::Close)
    };
    let (a, b) = (StubEngine::start("e1", script).await, StubEngine::start("e2", script).await);
    let f = Fleet::start(&[&a, &b]).await;
    let got = f.send("/on/", "").await;
    assert_eq!(status(&got), 200);
    assert!(got.ends_with("0\r\n\r\n"), "{got}");
    let text: String = got.split("\r\n").filter(|l| l.starts_with("id:")).collect();
    assert_eq!(text, (1..=4).map(event).collect::<String>());
    assert_eq!((a.arrivals(), b.arrivals()), (1, 1));
    let second = [&a, &b]
        .into_iter()
        .find_map(|e| e.received.lock()[0].header("last-event-id").map(str::to_owned));
    assert_eq!(second.as_deref(), Some("2"));
}

fn turned_away(s: &harness::ReceivedRequest, status: &str) -> Vec<u8> {
    let id = s.header("x-attempt-id").unwrap();
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

#[tokio::test]
async fn turned_away_is_refused_with_a_time_to_come_back_where_one_send_is_all() {
    for what in ["503 Full", "421 Misdirected Request", "429 Many"] {
        let e = StubEngine::start("e1", move |_, s| (turned_away(s, what), Then::Keep)).await;
        let f = Fleet::start(&[&e]).await;
        let a = f.send("/once/", "").await;
        assert_eq!(status(&a), 503, "{what}");
        assert!(a.to_ascii_lowercase().contains("retry-after:"));
        assert_eq!(e.arrivals(), 1);
    }
}

#[tokio::test]
async fn turned_away_goes_to_a_second_engine_where_the_route_allows() {
    let away = StubEngine::start("e1", |_, s| (turned_away(s, "503 Full"), Then::Keep)).await;
    let well = StubEngine::start("e2", |_, s| (complete(s, 1..=2), Then::Keep)).await;
    let f = Fleet::start(&[&away, &well]).await;
    for _ in 0..12 {
        assert_eq!(status(&f.send("/twice/", "").await), 200);
    }
    assert_eq!(well.arrivals(), 12);
}

#[tokio::test]
async fn surplus_bytes_belong_to_no_request() {
    let e = StubEngine::start("e1", |n, s| {
        let mut out = complete(s, 1..=1);
        if n == 1 {
            out.extend_from_slice(&complete(s, 7..=7));
        }
        (out, Then::Keep)
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    let first = f.send("/once/", "").await;
    assert!(first.contains(&event(1)) && !first.contains(&event(7)));
    let second = f.raw(request("/once/", "").replace("a1", "a2").as_bytes()).await;
    assert_eq!(status(&second), 200);
    assert!(second.contains(&event(1)) && !second.contains(&event(7)));
    let received = e.received.lock();
    assert_ne!(
        received[0].connection, received[1].connection,
        "the spoilt connection was used again"
    );
}

#[tokio::test]
async fn connection_serves_again_after_an_exact_end_and_not_after_close() {
    for (more, same) in [("", true), ("Connection: close\r\n", false)] {
        let e = StubEngine::start("e1", move |_, s| {
            (
                format!("{}{}0\r\n\r\n", stream_head(s, more), chunk(&event(1))).into_bytes(),
                Then::Keep,
            )
        })
        .await;
        let f = Fleet::start(&[&e]).await;
        for _ in 0..2 {
            assert_eq!(status(&f.send("/once/", "").await), 200);
        }
        let received = e.received.lock();
        assert_eq!(received[0].connection == received[1].connection, same, "{more}");
    }
}

#[tokio::test]
async fn nothing_listening_is_refused_and_nothing_was_sent() {
    let gone = StubEngine {
        id: "e1".into(),
        address: {
            let l = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            l.local_addr().unwrap()
        },
        received: Default::default(),
    };
    let well = StubEngine::start("e2", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&gone, &well]).await;
    for _ in 0..6 {
        assert_eq!(
            status(&f.send("/once/", "").await),
            200,
            "one send is enough: the other was none"
        );
    }
    let alone = Fleet::start(&[&gone]).await;
    assert_eq!(status(&alone.send("/once/", "").await), 503);
}

#[tokio::test]
async fn requests_that_may_not_pass_get_their_answer_here() {
    let e = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&e]).await;
    let r = |from: &str, to: &str| request("/once/", "").replace(from, to);
    let big = "x".repeat(2000);
    let routing_table = vec![
        ("no route", r("/once/", "/other/"), 404),
        ("other host", r("h.example", "g.example"), 404),
        ("no key", r("X-Key: k1\r\n", ""), 401),
        ("unknown key", r("X-Key: k1", "X-Key: k9"), 401),
        (
            "body too large",
            r("Content-Length: 2\r\n\r\nhi", &format!("Content-Length: 2000\r\n\r\n{big}")),
            413,
        ),
        (
            "length with chunks",
            r("Content-Length: 2\r\n", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"),
            400,
        ),
        (
            "two lengths",
            r("Content-Length: 2\r\n", "Content-Length: 2\r\nContent-Length: 3\r\n"),
            400,
        ),
        ("malformed deadline", r("15000", "soon"), 400),
        ("head too large", r("X-Model: m", &format!("X-Model: {}", "m".repeat(20_000))), 431),
    ];
    for (what, bytes, want) in routing_table {
        assert_eq!(status(&f.raw(bytes.as_bytes()).await), want, "{what}");
    }
    assert_eq!(e.arrivals(), 0);
}

#[tokio::test]
async fn malformed_hints_are_served_without_affinity() {
    let e = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&e]).await;
    for bad in ["zz:1", "aa", "aa:-5", ",,,", "aa:99999999999999999999"] {
        let rq = request("/on/", "Last-Event-Id: no number\r\n").replace("aa:10,bb:10,cc:10", bad);
        assert_eq!(status(&f.raw(rq.as_bytes()).await), 200, "{bad}");
    }
    assert_eq!(e.arrivals(), 5);
}

/// The parts of an engine that drains are fetched while it still answers.
#[tokio::test]
async fn newcomer_fetches_from_the_engine_that_leaves() {
    use fleet_core::wire::{CachedParts, EngineState, FleetUpdate};
    let old = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let new = StubEngine::start("e2", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&old, &new]).await;
    let prefill_heavy = request("/once/", "")
        .replace("aa:10,bb:10,cc:10", "aa:2000,bb:3000,cc:100")
        .replace("30,5", "5100,5");
    f.router.fleet_view.prefix_view.put(data_plane::fleet_view::invalidations::ViewUpdate {
        reset: false,
        snapshot: vec![CachedParts {
            holder: "e1".into(),
            salt: "m|2|#4".into(),
            parts: vec![0xaa, 0xbb],
            cached_tokens: vec![2000, 3000],
        }],
        entries: Vec::new(),
    });
    let mut engine = harness::engine_state(&old);
    engine.call = 2;
    engine.set_state(EngineState::Draining);
    f.router.fleet_view.apply(&FleetUpdate { engines: vec![engine.clone()], ..Default::default() });
    assert_eq!(status(&f.raw(prefill_heavy.as_bytes()).await), 200);
    assert_eq!((old.arrivals(), new.arrivals()), (0, 1));
    let source = new.received.lock()[0].header("x-kv-source").map(str::to_owned);
    assert_eq!(source, Some(old.address.to_string()));
    engine.call = 3;
    engine.set_state(EngineState::Deregistered);
    f.router.fleet_view.apply(&FleetUpdate { engines: vec![engine], ..Default::default() });
    let other = prefill_heavy.replace("cc:100", "cd:100").replace("bb:", "be:");
    assert_eq!(status(&f.raw(other.as_bytes()).await), 200);
    assert_eq!(new.received.lock()[1].header("x-kv-source"), None);
}
