//! A router process that gets SIGTERM: each request that it has passed on ends with an answer.

use super::support::{Place, Running, call, get, post, replace, until};
use std::net::SocketAddr;
use std::process::{Child, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Well behind all that happens here.
const DEADLINE_MS: u64 = 30_000;
/// The path of a request that the engine leaves in its queue.
const QUEUED: &str = "queued";
/// The path of a stream that has begun and doesn't end.
const ENDLESS: &str = "endless";

/// A router as the platform runs it, killed if a test fails.
struct RouterProcess(Child);

impl RouterProcess {
    fn start(place: &Place, grace_seconds: u64) -> RouterProcess {
        let settings = place.dir.join("router.conf");
        std::fs::create_dir_all(&place.dir).unwrap();
        let bounds = format!("bounds.graceS={grace_seconds}\n");
        std::fs::write(&settings, place.settings_text(false) + &bounds).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_router"));
        command
            .arg("--settings")
            .arg(settings)
            .stdout(std::process::Stdio::null())
            .stderr(std::process::Stdio::null());
        RouterProcess(command.spawn().unwrap())
    }

    fn terminate(&self) {
        let id = rustix::process::Pid::from_child(&self.0);
        rustix::process::kill_process(id, rustix::process::Signal::TERM).unwrap();
    }

    async fn exit(mut self) -> std::process::ExitStatus {
        tokio::task::spawn_blocking(move || self.0.wait().unwrap()).await.unwrap()
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// An engine that answers, queues or streams without an end, as the path says.
struct Engine {
    address: SocketAddr,
    queued: Arc<AtomicUsize>,
}

impl Engine {
    async fn start() -> Engine {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let queued = Arc::<AtomicUsize>::default();
        let count = queued.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(serve(connection, count.clone()));
            }
        });
        Engine { address, queued }
    }

    fn heartbeat(&self) -> String {
        let body = serde_json::json!({"service": "s", "address": self.address.to_string(), "zone": "z",
            "revision": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0, "models": [], "callSeq": 1});
        post("Instances.Heartbeat/i-1", "", &body.to_string())
    }
}

async fn serve(mut connection: TcpStream, queued: Arc<AtomicUsize>) {
    let mut buffer = vec![0u8; 8192];
    while let Ok(read) = connection.read(&mut buffer).await {
        if read == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buffer[..read]).into_owned();
        let id = head.lines().find_map(|line| line.strip_prefix("x-attempt-id: ")).unwrap_or("");
        let sealed = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n");
        let answer = if head.contains(QUEUED) {
            queued.fetch_add(1, Ordering::Relaxed);
            continue;
        } else if head.contains(ENDLESS) {
            format!("{sealed}Transfer-Encoding: chunked\r\n\r\n4\r\nwell\r\n")
        } else {
            format!("{sealed}Content-Length: 4\r\n\r\nwell")
        };
        if connection.write_all(answer.as_bytes()).await.is_err() {
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

/// All that comes on a connection until it is closed, and how it ended.
async fn read_to_end(mut client: TcpStream) -> (String, std::io::Result<usize>) {
    let mut seen = Vec::new();
    let end = client.read_to_end(&mut seen).await;
    (String::from_utf8_lossy(&seen).into_owned(), end)
}

async fn send(front: SocketAddr, path: &str) -> TcpStream {
    let mut client = TcpStream::connect(front).await.unwrap();
    client.write_all(request(path).as_bytes()).await.unwrap();
    client
}

/// A controller, a router process and an engine that the router knows.
async fn start(place: &Place, grace_seconds: u64) -> (Running, RouterProcess, Engine) {
    let controller = place.controller(true);
    let router = RouterProcess::start(place, grace_seconds);
    assert_eq!(until(place.control, &replace(0, &configuration()), 200).await.0, 200);
    assert_eq!(until(place.probe, &get("readyz"), 200).await.0, 200);
    let engine = Engine::start().await;
    assert_eq!(call(place.control, &engine.heartbeat()).await.unwrap().0, 200);
    let probe = request("/safe/x").replace("Content-Length", "Connection: close\r\nContent-Length");
    assert_eq!(until(place.front, &probe, 200).await.0, 200);
    (controller, router, engine)
}

/// Guards against LOST: requests that waited at engines when a stopped router ended found their connections closed.
#[tokio::test]
async fn requests_that_wait_at_an_engine_get_an_answer_before_a_stopped_router_ends() {
    stop_router_with_waiting_requests("stopping", 4).await;
}

/// The platform needs longer than this to see that the router is unready.
#[tokio::test]
async fn a_grace_period_shorter_than_two_probes_is_kept_too() {
    stop_router_with_waiting_requests("short-grace", 2).await;
}

async fn stop_router_with_waiting_requests(name: &str, grace_seconds: u64) {
    let place = Place::new(name);
    let (controller, router, engine) = start(&place, grace_seconds).await;
    let mut clients = Vec::new();
    for kind in ["unsafe", "safe", "streaming", "streaming-on"] {
        clients.push((kind, send(place.front, &format!("/{kind}/{QUEUED}")).await));
    }
    let mut stream = send(place.front, &format!("/unsafe/{ENDLESS}")).await;
    let mut begun = Vec::new();
    while !String::from_utf8_lossy(&begun).ends_with("well\r\n") {
        assert_ne!(stream.read_buf(&mut begun).await.unwrap(), 0);
    }
    while engine.queued.load(Ordering::Relaxed) < clients.len() {
        tokio::task::yield_now().await;
    }
    let stopped = std::time::Instant::now();
    router.terminate();
    router.terminate();
    for (kind, client) in clients {
        let (answer, end) = read_to_end(client).await;
        assert!(end.is_ok(), "{kind}: {end:?}");
        assert!(answer.starts_with("HTTP/1.1 502 "), "{kind}: it may have begun: {answer:?}");
        assert!(answer.ends_with("\r\n\r\n"), "{kind}: {answer:?}");
    }
    let (rest, _) = read_to_end(stream).await;
    assert!(!rest.contains("0\r\n\r\n"), "what broke off looks whole: {rest:?}");
    assert!(router.exit().await.success());
    assert!(stopped.elapsed().as_secs() < grace_seconds, "{:?}", stopped.elapsed());
    controller.end().await;
}
