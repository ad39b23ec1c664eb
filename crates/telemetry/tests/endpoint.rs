//! The metrics endpoint, scraped over a TCP connection.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use telemetry::{MetricsSource, MetricsWriter};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

struct FixedSource;

impl MetricsSource for FixedSource {
    fn write(&self, writer: &mut MetricsWriter<'_>) -> fmt::Result {
        writer.counter("requests", "Requests", 7)?;
        writer.gauge("open", "Open connections", 2.0)?;
        let by_model = [("model", "m\"1".to_owned()), ("version", "3".to_owned())];
        writer.gauges("target_age_seconds", "Age", [(&by_model[..], 1.5)])
    }
}

/// A loopback address with a port that is free now.
fn free_address() -> SocketAddr {
    std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

async fn get(address: SocketAddr, path: &str) -> String {
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
async fn a_scrape_returns_every_series_with_its_labels() {
    let address = free_address();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = tokio::spawn(telemetry::serve(address, log, Arc::new(FixedSource)));
    let text = get(address, telemetry::METRICS_PATH).await;
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    for line in [
        "# TYPE anisedyke_requests counter",
        "anisedyke_requests_total 7",
        "anisedyke_open 2.0",
        "anisedyke_target_age_seconds{model=\"m\\\"1\",version=\"3\"} 1.5",
        "# EOF",
    ] {
        assert!(text.lines().any(|actual| actual == line), "{line} is missing from {text}");
    }
    assert!(get(address, "/else").await.starts_with("HTTP/1.1 404"));
    server.abort();
}

#[tokio::test]
async fn serving_returns_without_an_error_if_the_port_is_in_use() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    telemetry::serve(occupied.local_addr().unwrap(), log, Arc::new(FixedSource)).await;
}
