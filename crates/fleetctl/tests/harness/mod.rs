//! Stub controllers on loopback for the tests of `fleetctl`.

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

pub async fn stub_node(respond: impl Fn(&str) -> String + Send + Sync + 'static) -> SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buffer = vec![0u8; 4096];
            let length = stream.read(&mut buffer).await.unwrap();
            let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
            assert!(head.starts_with("GET "), "fleetctl sends only GET requests, got {head}");
            stream.write_all(respond(&head).as_bytes()).await.unwrap();
        }
    });
    address
}

pub fn ok(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn unreachable_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}
