//! Tests of `outside`.

use super::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

async fn listener() -> (tokio::net::TcpListener, EngineClient) {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let client = EngineClient::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap());
    (listener, client)
}

/// More than the buffers of both ends hold, so that some of it waits to be sent.
const BODY: usize = 32 << 20;
/// For a busy machine; nothing is measured by it.
const LIMIT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn a_call_given_up_takes_back_what_was_not_sent() {
    let (listener, mut client) = listener().await;
    let call = client.call(http::Method::POST, "/o", &[], vec![b'x'; BODY], LIMIT);
    let begun = async {
        let (mut peer, _) = listener.accept().await.unwrap();
        peer.read_exact(&mut [0; 64]).await.unwrap();
        peer
    };
    let mut peer = tokio::select! {
        answer = call => panic!("answered: {}", answer.is_ok()),
        peer = begun => peer,
    };
    let mut got = Vec::new();
    let end = peer.read_to_end(&mut got).await;
    assert_eq!(end.map_err(|e| e.kind()), Err(std::io::ErrorKind::ConnectionReset));
    assert!(got.len() < BODY, "{} bytes came", got.len());
}

#[tokio::test]
async fn a_send_connects_nowhere() {
    let (listener, mut client) = listener().await;
    let sent = client.send(http::Method::GET, "/o", &[], Vec::new(), LIMIT).await;
    assert!(matches!(sent, Err(CallError::Broken)), "nothing was opened");
    client.open().await.unwrap();
    drop(listener.accept().await.unwrap());
    let sent = client.send(http::Method::GET, "/o", &[], Vec::new(), LIMIT).await;
    assert!(sent.is_err(), "what was opened is closed");
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    let more = tokio::time::timeout(Duration::ZERO, listener.accept()).await;
    assert!(more.is_err(), "no second connection");
}

#[tokio::test]
async fn an_answer_of_more_bytes_than_bounded_is_not_read() {
    let (listener, client) = listener().await;
    let mut client = client.with_most(100);
    let answer = async {
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
        let first = client.call(http::Method::GET, "/e", &[], Vec::new(), LIMIT).await;
        assert_eq!(first.map(|a| a.body.len()).ok(), Some(100));
        client.call(http::Method::GET, "/e", &[], Vec::new(), LIMIT).await
    };
    let (_peer, second) = tokio::join!(answer, calls);
    let second = second.map(|a| a.body.len());
    assert!(matches!(second, Err(CallError::Unreadable)), "{second:?}");
}
