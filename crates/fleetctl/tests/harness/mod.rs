//! Nodes of the tests' own, asked by an fleetctl.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

pub async fn node(answer: impl Fn(&str) -> String + Send + Sync + 'static) -> SocketAddr {
    let l = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = l.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = l.accept().await {
            let mut b = vec![0u8; 4096];
            let n = s.read(&mut b).await.unwrap();
            let head = String::from_utf8_lossy(&b[..n]).into_owned();
            assert!(head.starts_with("GET "), "an fleetctl only reads");
            s.write_all(answer(&head).as_bytes()).await.unwrap();
        }
    });
    at
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn unreachable_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
