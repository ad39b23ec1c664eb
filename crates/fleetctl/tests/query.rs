//! Queries to nodes that are down, redirect to other nodes, or send malformed responses.

mod harness;

use fleetctl::query::{QueryError, fetch};
use harness::{ok, stub_node, unreachable_address};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

fn valid_response(head: &str) -> String {
    if head.contains("Fleet.Look") {
        return ok(
            r#"{"revision":3,"routers":2,"engines":[{"service":"s","standing":"ready","silent":false,"slots":4}]}"#,
        );
    }
    ok(r#"{"revision":3,"routes":[],"services":[]}"#)
}

#[tokio::test]
async fn skips_an_unreachable_node_and_follows_a_redirect() {
    let target = stub_node(valid_response).await;
    let redirecting = stub_node(move |_| {
        format!("HTTP/1.1 307 Go\r\nLocation: http://{target}/x\r\nContent-Length: 0\r\n\r\n")
    })
    .await;
    let state = fetch(&[unreachable_address(), redirecting], TIMEOUT).await.unwrap();
    assert_eq!(state.configuration.unwrap().revision, 3);
    assert_eq!((state.fleet.routers, state.fleet.engines.len()), (2, 1));
}

#[tokio::test]
async fn unreachable_nodes_and_malformed_responses_give_different_errors() {
    let unreachable = fetch(&[unreachable_address()], TIMEOUT).await.err();
    assert!(matches!(unreachable, Some(QueryError::Unreachable(_))));
    let redirect_loop = stub_node(|head| {
        let host = head
            .lines()
            .find_map(|line| line.strip_prefix("host: "))
            .unwrap_or_default()
            .to_owned();
        format!("HTTP/1.1 307 Go\r\nLocation: http://{host}/x\r\nContent-Length: 0\r\n\r\n")
    })
    .await;
    assert!(matches!(
        fetch(&[redirect_loop], TIMEOUT).await.err(),
        Some(QueryError::Unreachable(_))
    ));
    let malformed = stub_node(|_| ok("nonsense")).await;
    let error = fetch(&[malformed], TIMEOUT).await.err();
    assert!(matches!(error, Some(QueryError::Malformed(node, _)) if node == malformed));
}
