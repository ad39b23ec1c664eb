//! Guards against a router that keeps all that a faulty engine sends: it ran out of memory, and the requests of all
//! clients on its machine ended with it.

use super::process::RouterProcess;
use super::support::{RunningProgram, TestNode, call, get, post, replace, wait_for_status};
use fleet_core::constants;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

/// Memory of the smallest machines that are deployed.
const MACHINE_MEMORY_BYTES: usize = 160_000_000;
/// Clients of the faulty engine, all at the same time.
const FAULTY_CLIENTS: usize = 24;
/// Clients that don't read, all at the same time.
const SLOW_CLIENTS: usize = 300;
/// Deadline of the requests, as in a deployment.
const DEADLINE: Duration = Duration::from_secs(6);
/// Time by which a response may be late at its client on a busy machine.
const SLACK: Duration = Duration::from_millis(1000);
/// A faulty engine stops after this many bytes on a connection, so that a failing test leaves the machine alive.
const FLOOD_BYTES: usize = 64 << 20;

/// What a faulty engine sends in place of a response, over and over.
#[derive(Clone, Copy, Debug)]
enum Flood {
    /// A header field that does not end.
    Field,
    /// Interim responses.
    InterimResponses,
    /// Bytes that are not HTTP.
    Garbage,
    /// A chunk size that does not end, after a valid head.
    ChunkSize,
    /// Trailer fields, after a valid head.
    Trailers,
    /// A body without the end of an event, after a valid head.
    PartialEvent,
    /// The body of a rejection.
    RejectionBody,
}

impl Flood {
    fn start(self, attempt_id: &str) -> String {
        let valid = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\nX-Server-Seal: s\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        match self {
            Flood::Field => "HTTP/1.1 200 OK\r\nX-Fill: ".to_owned(),
            Flood::InterimResponses | Flood::Garbage => String::new(),
            Flood::ChunkSize | Flood::PartialEvent => valid,
            Flood::Trailers => format!("{valid}0\r\n"),
            Flood::RejectionBody => format!(
                "HTTP/1.1 503 Full\r\nX-Attempt-Id: {attempt_id}\r\nX-Not-Executed: 1\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            ),
        }
    }

    fn repeated(self) -> Vec<u8> {
        let chunk = format!("10000\r\n{}\r\n", "x".repeat(1 << 16)).into_bytes();
        match self {
            Flood::Field | Flood::Garbage => vec![b'x'; 1 << 16],
            Flood::InterimResponses => b"HTTP/1.1 100 Continue\r\n\r\n".repeat(2048),
            Flood::ChunkSize => vec![b'0'; 1 << 16],
            Flood::Trailers => b"X-Fill: 1\r\n".repeat(4096),
            Flood::PartialEvent | Flood::RejectionBody => chunk,
        }
    }
}

/// Starts an engine; without a flood, it answers.
async fn start_engine(flood: Option<Flood>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(serve(connection, flood));
        }
    });
    address
}

async fn serve(mut connection: TcpStream, flood: Option<Flood>) -> std::io::Result<()> {
    let mut buffer = vec![0u8; 8192];
    loop {
        let length = connection.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let attempt_id =
            head.lines().find_map(|line| line.strip_prefix("x-attempt-id: ")).unwrap_or("");
        let Some(flood) = flood else {
            let response = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt_id}\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nwell"
            );
            connection.write_all(response.as_bytes()).await?;
            continue;
        };
        connection.write_all(flood.start(attempt_id).as_bytes()).await?;
        let repeated = flood.repeated();
        for _ in 0..FLOOD_BYTES / repeated.len() {
            connection.write_all(&repeated).await?;
        }
    }
}

fn heartbeat(id: &str, service: &str, address: SocketAddr) -> String {
    let body = serde_json::json!({"service": service, "address": address.to_string(), "zone": "z",
        "revision": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "models": [], "callSeq": 1});
    post(&format!("Instances.Heartbeat/{id}"), "", &body.to_string())
}

fn configuration() -> String {
    let route = |prefix: &str, service: &str, kind: &str, resumable: bool| {
        serde_json::json!({"host": "h.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 30_000,
            "service": service, "maxAttempts": 2, "resumable": resumable})
    };
    serde_json::json!({
        "revision": 1,
        "routes": [route("/faulty/", "faulty", "streaming", true), route("/sound/", "sound", "safe", false)],
        "services": [{"name": "faulty", "maxConns": 500, "engine": {"slots": 64}},
                     {"name": "sound", "maxConns": 500, "engine": {"slots": 64}}],
    })
    .to_string()
}

fn request(path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Deadline-Ms: {}\r\nConnection: close\r\n\
         Content-Length: 2\r\n\r\nhi",
        DEADLINE.as_millis()
    )
}

/// Sends a request to the faulty engine; returns how long it took, and whether its response looked complete.
async fn call_faulty_engine(front: SocketAddr) -> (Duration, bool) {
    let sent = Instant::now();
    let mut client = TcpStream::connect(front).await.unwrap();
    client.write_all(request("/faulty/x").as_bytes()).await.unwrap();
    let (mut start, mut end, mut buffer) = (Vec::new(), Vec::new(), vec![0u8; 1 << 16]);
    while let Ok(length @ 1..) = client.read(&mut buffer).await {
        if start.len() < 64 {
            start.extend_from_slice(&buffer[..length]);
        }
        end = buffer[length.saturating_sub(7)..length].to_vec();
    }
    let looks_complete = start.starts_with(b"HTTP/1.1 200") && end.ends_with(b"0\r\n\r\n");
    (sent.elapsed(), looks_complete)
}

/// Sends requests to the sound engine until told to stop; returns how long the longest took.
async fn call_sound_engine(
    front: SocketAddr,
    stop: tokio::sync::watch::Receiver<bool>,
) -> Duration {
    let mut longest = Duration::ZERO;
    while !*stop.borrow() {
        let sent = Instant::now();
        let response = call(front, &request("/sound/x")).await;
        assert!(response.as_ref().is_some_and(|(status, _)| *status == 200), "{response:?}");
        longest = longest.max(sent.elapsed());
    }
    longest
}

/// A controller, a router process, and two services of one engine each: a faulty and a sound one.
struct TestFleet {
    node: TestNode,
    controller: RunningProgram,
    router: RouterProcess,
}

impl TestFleet {
    async fn start(name: &str, flood: Flood) -> TestFleet {
        let node = TestNode::new(name);
        let controller = node.controller(true);
        let router = RouterProcess::start(&node, 8);
        assert_eq!(wait_for_status(node.control, &replace(0, &configuration()), 200).await.0, 200);
        for (id, service, flood) in [("i-1", "sound", None), ("i-2", "faulty", Some(flood))] {
            let address = start_engine(flood).await;
            assert_eq!(call(node.control, &heartbeat(id, service, address)).await.unwrap().0, 200);
        }
        assert_eq!(wait_for_status(node.readiness, &get("readyz"), 200).await.0, 200);
        assert_eq!(wait_for_status(node.front, &request("/sound/x"), 200).await.0, 200);
        TestFleet { node, controller, router }
    }
}

async fn run(name: &str, flood: Flood) {
    let TestFleet { node, controller, router } = TestFleet::start(name, flood).await;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let sound_client = tokio::spawn(call_sound_engine(node.front, stopped));
    let mut faulty_clients = JoinSet::new();
    for _ in 0..FAULTY_CLIENTS {
        faulty_clients.spawn(call_faulty_engine(node.front));
    }
    while let Some(ended) = faulty_clients.join_next().await {
        let (duration, looks_complete) = ended.unwrap();
        assert!(duration < DEADLINE + SLACK, "{flood:?}: a client waited for {duration:?}");
        assert!(!looks_complete, "{flood:?}: a response without an end looks complete");
    }
    stop.send_replace(true);
    let longest = sound_client.await.unwrap();
    assert!(longest < SLACK, "{flood:?}: a client of the sound engine waited for {longest:?}");
    let peak = router.peak_memory_bytes();
    println!("{flood:?}: peak {} kB, sound engine {longest:?}", peak / 1000);
    assert!(peak < MACHINE_MEMORY_BYTES, "{flood:?}: the router used {peak} bytes");
    controller.shut_down().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn partial_event_without_end_does_not_fill_the_memory() {
    run("flood-event", Flood::PartialEvent).await;
}

/// Clients that read nothing of a response without an end, for as long as their deadline.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_readers_do_not_fill_the_memory() {
    let fleet = TestFleet::start("slow-readers", Flood::PartialEvent).await;
    let before = fleet.router.peak_memory_bytes();
    let mut clients = Vec::new();
    for _ in 0..SLOW_CLIENTS {
        let mut client = TcpStream::connect(fleet.node.front).await.unwrap();
        client.write_all(request("/faulty/x").as_bytes()).await.unwrap();
        clients.push(client);
    }
    let end = Instant::now() + DEADLINE;
    while Instant::now() < end {
        let response = call(fleet.node.front, &request("/sound/x")).await;
        assert!(response.is_some_and(|(status, _)| status == 200));
    }
    let peak = fleet.router.peak_memory_bytes();
    println!("{SLOW_CLIENTS} slow readers: peak {} kB, {} kB before", peak / 1000, before / 1000);
    let expected = before + (peak - before) * constants::MAX_REQUESTS_IN_FLIGHT / SLOW_CLIENTS;
    assert!(expected < MACHINE_MEMORY_BYTES, "all requests in flight would use {expected} bytes");
    fleet.controller.shut_down().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejection_body_without_end_does_not_fill_the_memory() {
    run("flood-rejection", Flood::RejectionBody).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_head_without_end_does_not_fill_the_memory() {
    for flood in [Flood::Field, Flood::InterimResponses, Flood::Garbage] {
        run(&format!("flood-{flood:?}"), flood).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn framing_without_end_does_not_fill_the_memory() {
    for flood in [Flood::ChunkSize, Flood::Trailers] {
        run(&format!("flood-{flood:?}"), flood).await;
    }
}
