//! Connections at rest: which one is used next, and for what.

use super::harness::{
    Fleet, ReceivedRequest, StubEngine, Then, chunk, complete, event, pass, request, status,
    stream_head, until,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

async fn send_ok(f: &Fleet, path: &str) {
    let got = f.send(path, "").await;
    assert_eq!(status(&got), 200, "{got}");
}

/// The connections that the requests came on, in their order.
fn connections(e: &StubEngine) -> Vec<usize> {
    e.received.lock().iter().map(|s| s.connection).collect()
}

/// An engine whose first answer waits for the word.
async fn with_held_first_answer(signal: &Arc<Notify>) -> StubEngine {
    let signal = signal.clone();
    StubEngine::start("e1", move |n, s: &ReceivedRequest| {
        if n > 1 {
            return (complete(s, 1..=1), Then::Keep);
        }
        let tail = format!("{}0\r\n\r\n", chunk(&event(1)));
        (stream_head(s, "").into_bytes(), Then::Finish(signal.clone(), tail.into_bytes()))
    })
    .await
}

/// Two connections come up at once; both rest when this returns, the first used last.
async fn open_two(f: &Arc<Fleet>, e: &StubEngine, signal: &Notify) {
    let held = f.clone();
    let held = tokio::spawn(async move { held.send("/once/", "").await });
    until(|| e.arrivals() == 1).await;
    send_ok(f, "/once/").await;
    pass(ms(100)).await;
    signal.notify_one();
    assert_eq!(status(&held.await.unwrap()), 200);
}

#[tokio::test]
async fn connection_that_was_used_last_is_used_first() {
    let signal = Arc::new(Notify::new());
    let e = with_held_first_answer(&signal).await;
    let f = Arc::new(Fleet::start(&[&e]).await);
    open_two(&f, &e, &signal).await;
    for _ in 0..4 {
        pass(ms(50)).await;
        send_ok(&f, "/once/").await;
    }
    assert_eq!(connections(&e), [1, 2, 1, 1, 1, 1]);
}

#[tokio::test]
async fn long_rested_connection_takes_only_what_may_be_repeated() {
    for (path, tail, same) in [
        ("/once/", 1500, true),
        ("/once/", 2500, false),
        ("/twice/", 2500, false),
        ("/safe/", 2500, true),
        ("/safe/", 4500, false),
    ] {
        let e = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
        let f = Fleet::start(&[&e]).await;
        send_ok(&f, path).await;
        pass(ms(tail)).await;
        send_ok(&f, path).await;
        let received = connections(&e);
        assert_eq!(received[0] == received[1], same, "{path} after {tail} ms");
    }
}

/// The engine forgets what rested for a second: one request pays for it, the next ones don't.
#[tokio::test]
async fn forgotten_connection_is_paid_for_once_and_never_with_a_second_send() {
    let e = StubEngine::start("e1", |n, s| match n {
        2 => (Vec::new(), Then::Reset),
        _ => (complete(s, 1..=1), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    send_ok(&f, "/twice/").await;
    pass(ms(1000)).await;
    assert_eq!(status(&f.send("/twice/", "").await), 502);
    assert_eq!(e.arrivals(), 2, "sent again after the reset");
    send_ok(&f, "/twice/").await;
    pass(ms(900)).await;
    send_ok(&f, "/twice/").await;
    pass(ms(400)).await;
    send_ok(&f, "/twice/").await;
    assert_eq!(connections(&e), [1, 1, 2, 3, 3]);
    assert_eq!(f.router.counters.idle_resets.load(std::sync::atomic::Ordering::Relaxed), 1);
}

#[tokio::test]
async fn what_may_be_repeated_goes_on_after_a_forgotten_connection() {
    let script = |_: usize, s: &ReceivedRequest| (complete(s, 1..=1), Then::Keep);
    let forgetting = StubEngine::start("e1", move |n, s| match n {
        2 => (Vec::new(), Then::Reset),
        _ => script(n, s),
    })
    .await;
    let f = Fleet::start(&[&forgetting]).await;
    send_ok(&f, "/safe/").await;
    let other = StubEngine::start("e2", script).await;
    let view = fleet_core::wire::FleetUpdate {
        engines: vec![super::harness::engine_state(&other)],
        ..Default::default()
    };
    f.router.fleet_view.apply(&view);
    pass(ms(3000)).await;
    send_ok(&f, "/safe/").await;
    assert_eq!((forgetting.arrivals(), other.arrivals()), (3, 0));
}

/// An engine that forgot a connection is well: on a new one it may be asked again.
#[tokio::test]
async fn what_may_be_repeated_goes_to_the_same_engine_where_there_is_no_other() {
    let e = StubEngine::start("e1", |n, s| match n {
        2 => (Vec::new(), Then::Reset),
        _ => (complete(s, 1..=1), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    send_ok(&f, "/safe/").await;
    pass(ms(3000)).await;
    send_ok(&f, "/safe/").await;
    assert_eq!(connections(&e), [1, 1, 2]);
}

/// Closes that are seen while idle are learnt from as well, once the engine answers again.
#[tokio::test]
async fn closing_of_an_idle_connection_shortens_the_safe_rest() {
    let signal = Arc::new(Notify::new());
    let closing = signal.clone();
    let e = StubEngine::start("e1", move |n, s| match n {
        1 => (complete(s, 1..=1), Then::CloseOn(closing.clone())),
        _ => (complete(s, 1..=1), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    send_ok(&f, "/once/").await;
    pass(ms(500)).await;
    signal.notify_one();
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    for tail in [0, 450, 200] {
        pass(ms(tail)).await;
        send_ok(&f, "/once/").await;
    }
    assert_eq!(connections(&e), [1, 2, 3, 3], "300 ms are safe of 500");
}

/// All of the router's share rests for too long: an old connection gives way to a new one.
#[tokio::test]
async fn rested_connections_do_not_take_up_the_routers_share() {
    let signal = Arc::new(Notify::new());
    let e = with_held_first_answer(&signal).await;
    let f = Arc::new(Fleet::with_max_conns(&[&e], 2).await);
    open_two(&f, &e, &signal).await;
    pass(ms(3000)).await;
    send_ok(&f, "/once/").await;
    assert_eq!(connections(&e), [1, 2, 3]);
}

/// What caution costs on a quiet service: requests that may run only once, a quarter of a second to
/// 3.75 s apart.
#[tokio::test]
async fn caution_opens_new_connections_only_after_long_rests() {
    let e = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&e]).await;
    for update_seq in 0..60u64 {
        send_ok(&f, "/once/").await;
        pass(ms(250 * (1 + (update_seq * 7) % 15))).await;
    }
    let opened = *connections(&e).iter().max().unwrap();
    println!("connections opened for 60 requests: {opened}");
    assert!((20..=32).contains(&opened), "{opened}");
}

#[tokio::test]
async fn pause_of_a_client_does_not_close_its_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let e = StubEngine::start("e1", |_, s| (complete(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&e]).await;
    let mut client = f.connect().await;
    for id in ["k1", "k2", "k3"] {
        client.write_all(request("/once/", "").replace("a1", id).as_bytes()).await.unwrap();
        let mut got = Vec::new();
        while !got.ends_with(b"0\r\n\r\n") {
            let mut buffer = [0u8; 1024];
            let read = client.read(&mut buffer).await.unwrap();
            assert_ne!(read, 0, "closed before the answer to {id}");
            got.extend_from_slice(&buffer[..read]);
        }
        assert!(String::from_utf8_lossy(&got).contains(id));
        pass(ms(7200)).await;
    }
    assert_eq!(e.arrivals(), 3);
}
