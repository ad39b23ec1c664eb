//! The text that a fetch gets, over a real connection.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use telemetry::{Exposition, Source};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

struct Fixed;

impl Source for Fixed {
    fn write(&self, exposition: &mut Exposition<'_>) -> fmt::Result {
        exposition.counter("requests", "Requests", 7)?;
        exposition.gauge("open", "Open connections", 2.0)?;
        let by_model = [("model", "m\"1".to_owned()), ("version", "3".to_owned())];
        exposition.gauges("target_age_seconds", "Age", [(&by_model[..], 1.5)])
    }
}

/// A free port of the loopback address.
fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

async fn fetch(address: SocketAddr, path: &str) -> String {
    let mut stream = loop {
        match tokio::net::TcpStream::connect(address).await {
            Ok(stream) => break stream,
            Err(_) => tokio::task::yield_now().await,
        }
    };
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

#[tokio::test]
async fn a_fetch_gets_every_series_with_its_labels() {
    let address = free_address();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = tokio::spawn(telemetry::serve(address, log, Arc::new(Fixed)));
    let text = fetch(address, telemetry::METRICS_PATH).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    for line in [
        "# TYPE anisedyke_requests counter",
        "anisedyke_requests_total 7",
        "anisedyke_open 2.0",
        "anisedyke_target_age_seconds{model=\"m\\\"1\",version=\"3\"} 1.5",
        "# EOF",
    ] {
        assert!(text.lines().any(|l| l == line), "{line} is missing in {text}");
    }
    assert!(fetch(address, "/else").await.starts_with("HTTP/1.1 404"));
    server.abort();
}

#[tokio::test]
async fn a_port_that_is_taken_ends_the_metrics_and_nothing_else() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    telemetry::serve(taken.local_addr().unwrap(), log, Arc::new(Fixed)).await;
}
