//! Tests of `client` against a listener on loopback: abandoned calls, closed connections and oversized responses.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn listener() -> (tokio::net::TcpListener, HttpClient) {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let client = HttpClient::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap());
    (listener, client)
}

/// Larger than the buffers of both ends together, so that part of it remains unsent.
const BODY_BYTES: usize = 32 << 20;
/// Generous timeout for busy machines; no test depends on its length.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn abandoned_call_resets_the_connection_and_discards_unsent_data() {
    let (listener, mut client) = listener().await;
    let call = client.call(http::Method::POST, "/o", &[], vec![b'x'; BODY_BYTES], CALL_TIMEOUT);
    let accepted = async {
        let (mut peer, _) = listener.accept().await.unwrap();
        peer.read_exact(&mut [0; 64]).await.unwrap();
        peer
    };
    let mut peer = tokio::select! {
        answer = call => panic!("answered: {}", answer.is_ok()),
        peer = accepted => peer,
    };
    let mut received = Vec::new();
    let end = peer.read_to_end(&mut received).await;
    assert_eq!(end.map_err(|error| error.kind()), Err(std::io::ErrorKind::ConnectionReset));
    assert!(received.len() < BODY_BYTES, "{} bytes were received", received.len());
}

#[tokio::test]
async fn send_never_opens_a_connection() {
    let (listener, mut client) = listener().await;
    let sent = client.send(http::Method::GET, "/o", &[], Vec::new(), CALL_TIMEOUT).await;
    assert!(matches!(sent, Err(CallError::ConnectionLost)), "no connection was opened");
    client.open().await.unwrap();
    drop(listener.accept().await.unwrap());
    let sent = client.send(http::Method::GET, "/o", &[], Vec::new(), CALL_TIMEOUT).await;
    assert!(sent.is_err(), "the open connection was closed");
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    let second = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
    assert!(second.is_err(), "no second connection");
}

#[tokio::test]
async fn response_above_the_size_limit_is_rejected() {
    let (listener, client) = listener().await;
    let mut client = client.with_max_response_bytes(100);
    let server = async {
        let (mut peer, _) = listener.accept().await.unwrap();
        for length in [100, 101] {
            let mut request = [0; 512];
            assert!(peer.read(&mut request).await.unwrap() > 0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
            peer.write_all(head.as_bytes()).await.unwrap();
            peer.write_all(&vec![b'x'; length]).await.unwrap();
        }
        peer
    };
    let calls = async {
        let first = client.call(http::Method::GET, "/e", &[], Vec::new(), CALL_TIMEOUT).await;
        assert_eq!(first.map(|answer| answer.body.len()).ok(), Some(100));
        client.call(http::Method::GET, "/e", &[], Vec::new(), CALL_TIMEOUT).await
    };
    let (_peer, second) = tokio::join!(server, calls);
    let second = second.map(|answer| answer.body.len());
    assert!(matches!(second, Err(CallError::InvalidMessage)), "{second:?}");
}

/// Serves responses of the given lengths on one connection.
async fn serve_bodies(listener: tokio::net::TcpListener, lengths: &[usize]) {
    let (mut peer, _) = listener.accept().await.unwrap();
    for length in lengths {
        let mut request = [0; 512];
        assert!(peer.read(&mut request).await.unwrap() > 0);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        peer.write_all(head.as_bytes()).await.unwrap();
        let _ = peer.write_all(&vec![b'x'; *length]).await;
    }
}

/// Large responses beyond the budget fail, and small ones do not.
#[tokio::test]
async fn large_responses_share_a_budget() {
    let small = constants::SMALL_RESPONSE_BYTES;
    let (listener, client) = listener().await;
    let budget = ByteBudget::new(1000);
    let others = budget.try_reserve(900).unwrap();
    let mut client = client.with_response_budget(budget.clone());
    let server =
        tokio::spawn(
            async move { serve_bodies(listener, &[small, small + 100, small + 101]).await },
        );
    let mut call =
        async || client.call(http::Method::GET, "/e", &[], Vec::new(), CALL_TIMEOUT).await;
    assert_eq!(call().await.unwrap().body.len(), small);
    let large = call().await.unwrap();
    assert_eq!((large.body.len(), budget.usage().reserved), (small + 100, 1000));
    drop(large);
    assert!(matches!(call().await, Err(CallError::Overloaded)));
    assert_eq!(budget.usage().reserved, 900, "the failed response is given back");
    drop(others);
    server.await.unwrap();
}
