//! A roll-out as several nodes tell it, some of them wrong, gone or not the one that carries it out.

use inspector::ask::AskProblem;
use inspector::rollout::{Rollout, ask};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

const LIMIT: Duration = Duration::from_secs(5);

async fn node(body: String) -> SocketAddr {
    let l = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = l.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = l.accept().await {
            let mut b = vec![0u8; 4096];
            let n = s.read(&mut b).await.unwrap();
            assert!(b[..n].starts_with(b"GET /anisedyke/Rollout.Look "));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            s.write_all(format!("{head}{body}").as_bytes()).await.unwrap();
        }
    });
    at
}

fn nowhere() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn told(holds: bool, left: u64, states: &[(&str, Option<&str>)]) -> String {
    let engines: Vec<_> = states
        .iter()
        .enumerate()
        .map(|(i, (state, stuck))| {
            serde_json::json!({"id": format!("e{i}"), "zone": "z", "state": state, "revision": 1, "stuck": stuck})
        })
        .collect();
    let model = serde_json::json!({"model": "m", "revision": 2, "ageMs": 900, "leftMs": left, "engines": engines});
    serde_json::json!({"holds": holds, "width": 4, "models": [model]}).to_string()
}

fn read(text: &str) -> Rollout {
    serde_json::from_str(text).unwrap()
}

#[tokio::test]
async fn the_node_that_carries_it_out_is_believed_before_others() {
    let other = node(told(false, 10, &[("waiting", None)])).await;
    let holder = node(told(true, 10, &[("turning", None)])).await;
    let garbled = node("{".to_owned()).await;
    let r = ask(&[nowhere(), garbled, other, holder], LIMIT).await.unwrap();
    assert!(r.holds && r.text().contains("1 turning"));
    let r = ask(&[garbled, other], LIMIT).await.unwrap();
    assert!(!r.holds && r.text().contains("did not answer"));
}

#[tokio::test]
async fn nobody_to_ask_is_a_problem_that_names_each() {
    let garbled = node("[]".to_owned()).await;
    let gone = nowhere();
    let Err(AskProblem::Unreachable(why)) = ask(&[gone, garbled], LIMIT).await else {
        panic!("nobody answered well");
    };
    assert!(why.contains(&gone.to_string()) && why.contains("can't be read"), "{why}");
}

#[test]
fn only_what_is_stuck_or_late_counts_as_a_finding() {
    let table: Vec<(String, u8, bool)> = vec![
        (told(true, 10, &[("ready", None)]), 0, true),
        (told(true, 0, &[("ready", None)]), 0, true),
        (told(true, 10, &[("ready", None), ("fading", None)]), 0, false),
        (told(true, 0, &[("ready", None), ("waiting", None)]), 1, false),
        (told(true, 10, &[("silent", Some("sends no heartbeats"))]), 1, false),
        (r#"{"holds":false,"width":0,"models":[]}"#.to_owned(), 0, true),
    ];
    for (text, exit, done) in table {
        let r = read(&text);
        assert_eq!((r.exit(), r.is_done()), (exit, done), "{text}");
    }
    let r = read(&told(true, 10, &[("turning", Some("turns since 5000 ms"))]));
    assert!(r.text().contains("stuck: e0 in z: turns since 5000 ms"));
}
