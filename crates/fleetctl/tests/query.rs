//! Nodes that are down, point elsewhere, or answer nonsense.

mod harness;

use fleetctl::query::{QueryError, fetch};
use harness::{node, ok, unreachable_address};
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

fn well(head: &str) -> String {
    if head.contains("Fleet.Look") {
        return ok(
            r#"{"revision":3,"routers":2,"engines":[{"service":"s","standing":"ready","silent":false,"slots":4}]}"#,
        );
    }
    ok(r#"{"revision":3,"routes":[],"services":[]}"#)
}

#[tokio::test]
async fn tries_the_others_and_follows_a_node_that_points_elsewhere() {
    let good = node(well).await;
    let points = node(move |_| {
        format!("HTTP/1.1 307 Go\r\nLocation: http://{good}/x\r\nContent-Length: 0\r\n\r\n")
    })
    .await;
    let now = fetch(&[unreachable_address(), points], LIMIT).await.unwrap();
    assert_eq!(now.in_force.unwrap().revision, 3);
    assert_eq!((now.fleet.routers, now.fleet.engines.len()), (2, 1));
}

#[tokio::test]
async fn no_node_and_nonsense_are_told_apart() {
    let down = fetch(&[unreachable_address()], LIMIT).await.err();
    assert!(matches!(down, Some(QueryError::Unreachable(_))));
    let loops = node(|h| {
        let host = h.lines().find_map(|l| l.strip_prefix("host: ")).unwrap_or_default().to_owned();
        format!("HTTP/1.1 307 Go\r\nLocation: http://{host}/x\r\nContent-Length: 0\r\n\r\n")
    })
    .await;
    assert!(matches!(fetch(&[loops], LIMIT).await.err(), Some(QueryError::Unreachable(_))));
    let nonsense = node(|_| ok("nonsense")).await;
    let got = fetch(&[nonsense], LIMIT).await.err();
    assert!(matches!(got, Some(QueryError::Malformed(at, _)) if at == nonsense));
}
