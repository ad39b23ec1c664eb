//! Connections at rest: which one is used next, and for what.

use super::stand::{
    Fleet, Seen, StandIn, Then, chunk, event, head_for, pass, request, status, until, whole,
};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

async fn ask_ok(f: &Fleet, path: &str) {
    let got = f.ask(path, "").await;
    assert_eq!(status(&got), 200, "{got}");
}

/// The connections that the requests came on, in their order.
fn connections(e: &StandIn) -> Vec<usize> {
    e.seen.lock().iter().map(|s| s.connection).collect()
}

/// An engine whose first answer waits for the word.
async fn with_held_first_answer(word: &Arc<Notify>) -> StandIn {
    let word = word.clone();
    StandIn::start("e1", move |n, s: &Seen| {
        if n > 1 {
            return (whole(s, 1..=1), Then::Keep);
        }
        let rest = format!("{}0\r\n\r\n", chunk(&event(1)));
        (head_for(s, "").into_bytes(), Then::Finish(word.clone(), rest.into_bytes()))
    })
    .await
}

/// Two connections come up at once; both rest when this returns, the first used last.
async fn open_two(f: &Arc<Fleet>, e: &StandIn, word: &Notify) {
    let held = f.clone();
    let held = tokio::spawn(async move { held.ask("/once/", "").await });
    until(|| e.arrivals() == 1).await;
    ask_ok(f, "/once/").await;
    pass(ms(100)).await;
    word.notify_one();
    assert_eq!(status(&held.await.unwrap()), 200);
}

#[tokio::test]
async fn connection_that_was_used_last_is_used_first() {
    let word = Arc::new(Notify::new());
    let e = with_held_first_answer(&word).await;
    let f = Arc::new(Fleet::start(&[&e]).await);
    open_two(&f, &e, &word).await;
    for _ in 0..4 {
        pass(ms(50)).await;
        ask_ok(&f, "/once/").await;
    }
    assert_eq!(connections(&e), [1, 2, 1, 1, 1, 1]);
}

#[tokio::test]
async fn long_rested_connection_takes_only_what_may_be_repeated() {
    for (path, rest, same) in [
        ("/once/", 1500, true),
        ("/once/", 2500, false),
        ("/twice/", 2500, false),
        ("/safe/", 2500, true),
        ("/safe/", 4500, false),
    ] {
        let e = StandIn::start("e1", |_, s| (whole(s, 1..=1), Then::Keep)).await;
        let f = Fleet::start(&[&e]).await;
        ask_ok(&f, path).await;
        pass(ms(rest)).await;
        ask_ok(&f, path).await;
        let seen = connections(&e);
        assert_eq!(seen[0] == seen[1], same, "{path} after {rest} ms");
    }
}

/// The engine forgets what rested for a second: one request pays for it, the next ones don't.
#[tokio::test]
async fn forgotten_connection_is_paid_for_once_and_never_with_a_second_send() {
    let e = StandIn::start("e1", |n, s| match n {
        2 => (Vec::new(), Then::Reset),
        _ => (whole(s, 1..=1), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    ask_ok(&f, "/twice/").await;
    pass(ms(1000)).await;
    assert_eq!(status(&f.ask("/twice/", "").await), 502);
    assert_eq!(e.arrivals(), 2, "sent again after the reset");
    ask_ok(&f, "/twice/").await;
    pass(ms(900)).await;
    ask_ok(&f, "/twice/").await;
    pass(ms(400)).await;
    ask_ok(&f, "/twice/").await;
    assert_eq!(connections(&e), [1, 1, 2, 3, 3]);
    assert_eq!(f.d.counters.forgotten.load(std::sync::atomic::Ordering::Relaxed), 1);
}

#[tokio::test]
async fn what_may_be_repeated_goes_on_after_a_forgotten_connection() {
    let script = |_: usize, s: &Seen| (whole(s, 1..=1), Then::Keep);
    let forgetting = StandIn::start("e1", move |n, s| match n {
        2 => (Vec::new(), Then::Reset),
        _ => script(n, s),
    })
    .await;
    let f = Fleet::start(&[&forgetting]).await;
    ask_ok(&f, "/safe/").await;
    let other = StandIn::start("e2", script).await;
    let view = fleet_core::wire::FleetUpdate {
        engines: vec![super::stand::known(&other)],
        ..Default::default()
    };
    f.d.fleet_view.hear(&view);
    pass(ms(3000)).await;
    ask_ok(&f, "/safe/").await;
    assert_eq!((forgetting.arrivals(), other.arrivals()), (3, 0));
}

/// An engine that forgot a connection is well: on a new one it may be asked again.
#[tokio::test]
async fn what_may_be_repeated_goes_to_the_same_engine_where_there_is_no_other() {
    let e = StandIn::start("e1", |n, s| match n {
        2 => (Vec::new(), Then::Reset),
        _ => (whole(s, 1..=1), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    ask_ok(&f, "/safe/").await;
    pass(ms(3000)).await;
    ask_ok(&f, "/safe/").await;
    assert_eq!(connections(&e), [1, 1, 2]);
}

/// Closes that are seen while idle are learnt from as well, once the engine answers again.
#[tokio::test]
async fn closing_of_an_idle_connection_shortens_the_safe_rest() {
    let word = Arc::new(Notify::new());
    let closing = word.clone();
    let e = StandIn::start("e1", move |n, s| match n {
        1 => (whole(s, 1..=1), Then::CloseOn(closing.clone())),
        _ => (whole(s, 1..=1), Then::Keep),
    })
    .await;
    let f = Fleet::start(&[&e]).await;
    ask_ok(&f, "/once/").await;
    pass(ms(500)).await;
    word.notify_one();
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    for rest in [0, 450, 200] {
        pass(ms(rest)).await;
        ask_ok(&f, "/once/").await;
    }
    assert_eq!(connections(&e), [1, 2, 3, 3], "300 ms are safe of 500");
}

/// All of the router's share rests for too long: an old connection gives way to a new one.
#[tokio::test]
async fn rested_connections_do_not_take_up_the_routers_share() {
    let word = Arc::new(Notify::new());
    let e = with_held_first_answer(&word).await;
    let f = Arc::new(Fleet::with_max_conns(&[&e], 2).await);
    open_two(&f, &e, &word).await;
    pass(ms(3000)).await;
    ask_ok(&f, "/once/").await;
    assert_eq!(connections(&e), [1, 2, 3]);
}

/// What caution costs on a quiet service: requests that may run only once, a quarter of a second to
/// 3.75 s apart.
#[tokio::test]
async fn caution_opens_new_connections_only_after_long_rests() {
    let e = StandIn::start("e1", |_, s| (whole(s, 1..=1), Then::Keep)).await;
    let f = Fleet::start(&[&e]).await;
    for update_seq in 0..60u64 {
        ask_ok(&f, "/once/").await;
        pass(ms(250 * (1 + (update_seq * 7) % 15))).await;
    }
    let opened = *connections(&e).iter().max().unwrap();
    println!("connections opened for 60 requests: {opened}");
    assert!((20..=32).contains(&opened), "{opened}");
}

#[tokio::test]
async fn pause_of_a_client_does_not_close_its_connection() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let e = StandIn::start("e1", |_, s| (whole(s, 1..=1), Then::Keep)).await;
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
