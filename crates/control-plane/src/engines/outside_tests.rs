//! Tests of `outside`.

use super::*;
use tokio::io::AsyncReadExt;

async fn listener() -> (tokio::net::TcpListener, Line) {
    let listener = tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let line = Line::new(Ipv4Addr::LOCALHOST, listener.local_addr().unwrap());
    (listener, line)
}

/// More than the buffers of both ends hold, so that some of it waits to be sent.
const BODY: usize = 32 << 20;

#[tokio::test(start_paused = true)]
async fn a_call_given_up_takes_back_what_was_not_sent() {
    let (listener, mut line) = listener().await;
    let limit = Duration::from_millis(300);
    let body = vec![b'x'; BODY];
    let call = line.call(http::Method::POST, "/o", &[], body, limit);
    let (answer, peer) = tokio::join!(call, listener.accept());
    assert!(matches!(answer, Err(OutsideError::Late)));
    let mut got = Vec::new();
    let end = peer.unwrap().0.read_to_end(&mut got).await;
    assert_eq!(end.map_err(|e| e.kind()), Err(std::io::ErrorKind::ConnectionReset));
    assert!(got.len() < BODY, "{} bytes came", got.len());
}

#[tokio::test(start_paused = true)]
async fn a_send_connects_nowhere() {
    let (listener, mut line) = listener().await;
    let limit = Duration::from_millis(300);
    let sent = line.send(http::Method::GET, "/o", &[], Vec::new(), limit).await;
    assert!(matches!(sent, Err(OutsideError::Broken)), "nothing was opened");
    line.open().await.unwrap();
    drop(listener.accept().await.unwrap());
    let sent = line.send(http::Method::GET, "/o", &[], Vec::new(), limit).await;
    assert!(sent.is_err(), "what was opened is closed");
    let more = tokio::time::timeout(limit, listener.accept()).await;
    assert!(more.is_err(), "no second connection");
}
