//! A router process that gets SIGTERM: every request that it has forwarded to an engine is answered before it exits.

use super::process::RouterProcess;
use super::support::{RunningProgram, TestNode, call, get, post, replace, wait_for_status};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Deadline of the requests; later than the end of every test here.
const DEADLINE_MS: u64 = 30_000;
/// Path segment of requests that the engine leaves in its queue.
const QUEUED: &str = "queued";
/// Path segment of requests for which the engine starts a stream and never ends it.
const ENDLESS: &str = "endless";

/// A stub engine that answers, queues the request or starts an endless stream, depending on the path.
struct StubEngine {
    address: SocketAddr,
    queued_count: Arc<AtomicUsize>,
}

impl StubEngine {
    async fn start() -> StubEngine {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let queued_count = Arc::<AtomicUsize>::default();
        let count = queued_count.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(serve(connection, count.clone()));
            }
        });
        StubEngine { address, queued_count }
    }

    fn heartbeat(&self) -> String {
        let body = serde_json::json!({"service": "s", "address": self.address.to_string(), "zone": "z",
            "revision": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "models": [], "callSeq": 1});
        post("Instances.Heartbeat/i-1", "", &body.to_string())
    }
}

async fn serve(mut connection: TcpStream, queued_count: Arc<AtomicUsize>) {
    let mut buffer = vec![0u8; 8192];
    while let Ok(length) = connection.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let attempt_id =
            head.lines().find_map(|line| line.strip_prefix("x-attempt-id: ")).unwrap_or("");
        let response_head =
            format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\nX-Server-Seal: s\r\n");
        let response = if head.contains(QUEUED) {
            queued_count.fetch_add(1, Ordering::Relaxed);
            continue;
        } else if head.contains(ENDLESS) {
            format!("{response_head}Transfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n")
        } else {
            format!("{response_head}Content-Length: 4\r\n\r\nwell")
        };
        if connection.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn configuration() -> String {
    let route = |kind: &str, resumable: bool| {
        serde_json::json!({"host": "h.example", "pathPrefix": format!("/{kind}{}/", if resumable { "-on" } else { "" }),
            "kind": kind, "timeoutMs": DEADLINE_MS, "service": "s", "maxAttempts": 2, "resumable": resumable})
    };
    serde_json::json!({
        "revision": 1,
        "routes": [route("unsafe", false), route("safe", false), route("streaming", false), route("streaming", true)],
        "services": [{"name": "s", "maxConns": 50, "engine": {"slots": 8}}],
    })
    .to_string()
}

fn request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 2\r\n\r\nhi"
    )
}

/// Reads a connection until it is closed; returns the received text and the result of the read.
async fn read_to_end(mut client: TcpStream) -> (String, std::io::Result<usize>) {
    let mut received = Vec::new();
    let result = client.read_to_end(&mut received).await;
    (String::from_utf8_lossy(&received).into_owned(), result)
}

async fn send(front: SocketAddr, path: &str) -> TcpStream {
    let mut client = TcpStream::connect(front).await.unwrap();
    client.write_all(request(path).as_bytes()).await.unwrap();
    client
}

/// Starts a controller, a router process and an engine, and waits until the router sends requests to the engine.
async fn start(node: &TestNode, grace_seconds: u64) -> (RunningProgram, RouterProcess, StubEngine) {
    let controller = node.controller(true);
    let router = RouterProcess::start(node, grace_seconds);
    assert_eq!(wait_for_status(node.control, &replace(0, &configuration()), 200).await.0, 200);
    assert_eq!(wait_for_status(node.readiness, &get("readyz"), 200).await.0, 200);
    let engine = StubEngine::start().await;
    assert_eq!(call(node.control, &engine.heartbeat()).await.unwrap().0, 200);
    let probe_request =
        request("/safe/x").replace("Content-Length", "Connection: close\r\nContent-Length");
    assert_eq!(wait_for_status(node.front, &probe_request, 200).await.0, 200);
    (controller, router, engine)
}

/// Guards against requests that get no response: a stopped router exited while requests waited at engines, and closed
/// their connections.
#[tokio::test]
async fn requests_queued_at_an_engine_are_answered_before_a_stopped_router_exits() {
    stop_router_with_queued_requests("stopping", 4).await;
}

/// The grace period is shorter than the time in which the platform notices that the router is no longer ready.
#[tokio::test]
async fn a_grace_period_shorter_than_two_readiness_probes_is_kept() {
    stop_router_with_queued_requests("short-grace", 2).await;
}

async fn stop_router_with_queued_requests(name: &str, grace_seconds: u64) {
    let node = TestNode::new(name);
    let (controller, router, engine) = start(&node, grace_seconds).await;
    let mut clients = Vec::new();
    for kind in ["unsafe", "safe", "streaming", "streaming-on"] {
        clients.push((kind, send(node.front, &format!("/{kind}/{QUEUED}")).await));
    }
    let mut stream = send(node.front, &format!("/unsafe/{ENDLESS}")).await;
    let mut stream_start = Vec::new();
    while !String::from_utf8_lossy(&stream_start).ends_with("well\r\n") {
        assert_ne!(stream.read_buf(&mut stream_start).await.unwrap(), 0);
    }
    while engine.queued_count.load(Ordering::Relaxed) < clients.len() {
        tokio::task::yield_now().await;
    }
    let stop_time = std::time::Instant::now();
    router.terminate();
    router.terminate();
    for (kind, client) in clients {
        let (response, result) = read_to_end(client).await;
        assert!(result.is_ok(), "{kind}: {result:?}");
        assert!(
            response.starts_with("HTTP/1.1 502 "),
            "{kind}: the engine may have begun it: {response:?}"
        );
        assert!(response.ends_with("\r\n\r\n"), "{kind}: {response:?}");
    }
    let (rest, _) = read_to_end(stream).await;
    assert!(!rest.contains("0\r\n\r\n"), "the truncated stream looks complete: {rest:?}");
    assert!(router.exit().await.success());
    assert!(stop_time.elapsed().as_secs() < grace_seconds, "{:?}", stop_time.elapsed());
    controller.shut_down().await;
}
