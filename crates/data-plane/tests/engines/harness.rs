//! A router on the loopback interface, stub engines that follow scripts, and a raw HTTP client.

use data_plane::Router;
use data_plane::fleet_view::routing_table::RoutingTable;
use fleet_core::wire::{Engine, FleetUpdate, TargetWeights, WeightsVersion};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A request as an engine received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: Vec<u8>,
    pub connection: usize,
}

impl ReceivedRequest {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.head, name)
    }
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines()
        .filter_map(|line| line.split_once(':'))
        .find(|(field, _)| field.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim())
}

/// What the stub does with the connection after it has sent the response bytes.
pub enum AfterResponse {
    /// Reads the next request. After an empty response, this is an engine that never responds.
    KeepOpen,
    /// Closes the connection gracefully.
    Close,
    /// Waits for the signal, then sends the rest of the response.
    SendRestOn(Arc<tokio::sync::Notify>, Vec<u8>),
    /// Closes the connection gracefully at the signal.
    CloseOn(Arc<tokio::sync::Notify>),
    /// Resets the connection, as an engine does that has already closed it.
    Reset,
}

type Script = dyn Fn(usize, &ReceivedRequest) -> (Vec<u8>, AfterResponse) + Send + Sync;

pub struct StubEngine {
    pub id: String,
    pub address: std::net::SocketAddr,
    pub received: Arc<parking_lot::Mutex<Vec<ReceivedRequest>>>,
}

impl StubEngine {
    pub async fn start(
        id: &str,
        script: impl Fn(usize, &ReceivedRequest) -> (Vec<u8>, AfterResponse) + Send + Sync + 'static,
    ) -> StubEngine {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let received: Arc<parking_lot::Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let script: Arc<Script> = Arc::new(script);
        let requests = received.clone();
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                connection += 1;
                tokio::spawn(serve_connection(
                    stream,
                    connection,
                    requests.clone(),
                    script.clone(),
                ));
            }
        });
        StubEngine { id: id.to_owned(), address, received }
    }

    pub fn received_count(&self) -> usize {
        self.received.lock().len()
    }
}

async fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut received_bytes = Vec::new();
    let head_end = loop {
        if let Some(i) = received_bytes.windows(4).position(|w| w == b"\r\n\r\n") {
            break i + 4;
        }
        let mut buffer = [0u8; 4096];
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        received_bytes.extend_from_slice(&buffer[..count]);
    };
    let head = String::from_utf8_lossy(&received_bytes[..head_end]).into_owned();
    let body_len: usize = header(&head, "content-length").map_or(0, |v| v.parse().unwrap());
    let mut body = received_bytes.split_off(head_end);
    while body.len() < body_len {
        let mut buffer = [0u8; 4096];
        let count = stream.read(&mut buffer).await.ok().filter(|count| *count > 0)?;
        body.extend_from_slice(&buffer[..count]);
    }
    Some((head, body))
}

async fn serve_connection(
    mut stream: TcpStream,
    connection: usize,
    log: Arc<parking_lot::Mutex<Vec<ReceivedRequest>>>,
    script: Arc<Script>,
) {
    while let Some((head, body)) = read_message(&mut stream).await {
        let received = ReceivedRequest { head, body, connection };
        let request_no = {
            let mut requests = log.lock();
            requests.push(received.clone());
            requests.len()
        };
        let (bytes, after) = script(request_no, &received);
        if stream.write_all(&bytes).await.is_err() {
            return;
        }
        match after {
            AfterResponse::KeepOpen => {}
            AfterResponse::Close => return,
            AfterResponse::CloseOn(signal) => return signal.notified().await,
            AfterResponse::SendRestOn(signal, rest) => {
                signal.notified().await;
                if stream.write_all(&rest).await.is_err() {
                    return;
                }
            }
            AfterResponse::Reset => {
                socket2::SockRef::from(&stream)
                    .set_linger(Some(std::time::Duration::ZERO))
                    .unwrap();
                return;
            }
        }
    }
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: x{id}\n\n")
}

/// The head of a valid stream in response to this request.
pub fn stream_head(received: &ReceivedRequest, extra_headers: &str) -> String {
    let id = received.header("x-attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\nContent-Type: text/event-stream\r\n{extra_headers}Transfer-Encoding: chunked\r\n\r\n"
    )
}

pub fn complete_stream(received: &ReceivedRequest, ids: std::ops::RangeInclusive<u32>) -> Vec<u8> {
    let body: String = ids.map(|i| chunk(&event(i))).collect();
    format!("{}{body}0\r\n\r\n", stream_head(received, "")).into_bytes()
}

/// Largest request body in the configuration of [`Fleet::start`].
const MAX_BODY_BYTES: usize = 1000;

/// What differs between the configurations that a test puts in force one after the other.
#[derive(Debug, Clone, Copy)]
pub struct Configured {
    pub revision: u64,
    /// Generation of the isolation that tenants share.
    pub generation: u64,
    /// Whether tenant `t1` has an isolation of its own.
    pub t1_isolated: bool,
    /// The API key of tenant `t1`.
    pub t1_key: &'static str,
    /// The service of all routes: `s` or `u`.
    pub service: &'static str,
}

impl Configured {
    /// The configuration of [`Fleet::start`].
    pub const INITIAL: Configured =
        Configured { revision: 1, generation: 4, t1_isolated: false, t1_key: "k1", service: "s" };
}

/// The routes, the service and the limits of all tests.
fn routing_table(configured: Configured, max_conns: u32, max_body_bytes: usize) -> RoutingTable {
    let route = |prefix: &str, resumable: bool, attempts: u32| {
        serde_json::json!({"host": "h.example", "pathPrefix": prefix, "kind": "streaming",
            "timeoutMs": 20000, "service": configured.service, "maxAttempts": attempts, "resumable": resumable})
    };
    let safe = serde_json::json!({"host": "h.example", "pathPrefix": "/safe/", "kind": "safe",
        "timeoutMs": 20000, "service": configured.service, "maxAttempts": 2});
    let service = |name: &str| {
        serde_json::json!({"name": name, "maxConns": max_conns, "engine": {"slots": 8,
        "kvCapacity": 100_000, "kvTokenBytes": 300_000, "linkMbps": 1_000_000.0}})
    };
    let config = serde_json::json!({
        "revision": configured.revision,
        "routes": [route("/once/", false, 1), route("/twice/", false, 2), route("/on/", true, 3), safe],
        "services": [service("s"), service("u")],
        "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": max_body_bytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 9000},
        "tenants": [{"name": "t1", "apiKeys": [configured.t1_key], "isolated": configured.t1_isolated}, {"name": "t2", "apiKeys": ["k2"], "isolated": true}],
    });
    RoutingTable::compile(config.to_string().as_bytes(), configured.generation).unwrap()
}

pub struct Fleet {
    pub router: Arc<Router>,
    router_address: std::net::SocketAddr,
}

impl Fleet {
    pub async fn start(engines: &[&StubEngine]) -> Fleet {
        Fleet::with_max_conns(engines, 100).await
    }

    /// A fleet whose engines accept at most `max_conns` connections from all routers.
    pub async fn with_max_conns(engines: &[&StubEngine], max_conns: u32) -> Fleet {
        Fleet::with_limits(engines, max_conns, MAX_BODY_BYTES).await
    }

    /// A fleet whose clients may also send bodies of `max_body_bytes`.
    pub async fn with_limits(
        engines: &[&StubEngine],
        max_conns: u32,
        max_body_bytes: usize,
    ) -> Fleet {
        let text = "nodeName=c1\nip=127.0.0.1\nzone=z\nportRange=1,9\nbounds.retryRatio=10\n\
            bounds.retryWindowS=10\nbounds.retrySlack=0\nbounds.versionMs=8000\n";
        let settings = fleet_core::settings::Settings::parse(text).unwrap();
        let router = Router::assemble(settings, slog::Logger::root(slog::Discard, slog::o!()));
        router.fleet_view.set_routing_table(routing_table(
            Configured::INITIAL,
            max_conns,
            max_body_bytes,
        ));
        let update = FleetUpdate {
            engines: engines.iter().map(|stub| engine_state(stub)).collect(),
            weights: vec![TargetWeights { model: "m".into(), version: 2, age_ms: 0 }],
            ..Default::default()
        };
        router.fleet_view.apply_update(&update);
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let router_address = listener.local_addr().unwrap();
        tokio::spawn(data_plane::proxy::client_listener::run_client_listener(
            router.clone(),
            listener,
        ));
        Fleet { router, router_address }
    }

    /// Puts a newer configuration in force.
    pub fn put_in_force(&self, configured: Configured) {
        let table = routing_table(configured, 100, MAX_BODY_BYTES);
        assert!(self.router.fleet_view.set_routing_table(table), "not newer");
    }

    /// Opens a client connection to the router.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.router_address).await.unwrap()
    }

    /// Sends bytes, and returns what is received until the response is complete or the router closes the connection.
    pub async fn send_raw(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.unwrap();
        let mut response = Vec::new();
        let mut buffer = [0u8; 4096];
        while let Ok(count) = stream.read(&mut buffer).await {
            response.extend_from_slice(&buffer[..count]);
            let text = String::from_utf8_lossy(&response);
            let chunked = text.to_ascii_lowercase().contains("transfer-encoding: chunked");
            let done =
                if chunked { text.ends_with("0\r\n\r\n") } else { text.contains("\r\n\r\n") };
            if count == 0 || done {
                break;
            }
        }
        String::from_utf8_lossy(&response).into_owned()
    }

    /// Sends bytes, and returns what is received until the router closes the connection.
    pub async fn send_raw_until_close(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect().await;
        stream.write_all(bytes).await.unwrap();
        let mut response = Vec::new();
        let mut buffer = [0u8; 4096];
        while let Ok(count) = stream.read(&mut buffer).await {
            if count == 0 {
                break;
            }
            response.extend_from_slice(&buffer[..count]);
        }
        String::from_utf8_lossy(&response).into_owned()
    }

    pub async fn send(&self, path: &str, extra_headers: &str) -> String {
        self.send_raw(request(path, extra_headers).as_bytes()).await
    }
}

/// Advances the clock by `duration` without waiting in real time.
pub async fn advance_time(duration: std::time::Duration) {
    tokio::time::pause();
    tokio::time::advance(duration).await;
    tokio::time::resume();
}

/// Lets all tasks run until the condition holds; panics if it never does.
pub async fn wait_until(condition: impl Fn() -> bool) {
    for _ in 0..100_000 {
        if condition() {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("the condition was not reached");
}

/// The head of a response with the given status, the request's attempt id and a server seal.
pub fn sealed_head(received: &ReceivedRequest, status: &str, extra_headers: &str) -> String {
    let id = received.header("x-attempt-id").unwrap_or("");
    format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\n{extra_headers}\r\n")
}

pub fn request(path: &str, extra_headers: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Model: m\r\nX-Key: k1\r\n\
         X-Token-Count: 30,5\r\nX-Prompt-Prefix: aa:10,bb:10,cc:10\r\nX-Deadline-Ms: 15000\r\n{extra_headers}Content-Length: 2\r\n\r\nhi"
    )
}

pub fn engine_state(stub: &StubEngine) -> Engine {
    Engine {
        id: stub.id.clone(),
        call_seq: 1,
        service: "s".into(),
        address: stub.address.to_string(),
        zone: "z".into(),
        slots: 8,
        weights: vec![WeightsVersion { model: "m".into(), version: 2 }],
        ..Default::default()
    }
}

pub fn status(response: &str) -> u16 {
    response.split(' ').nth(1).and_then(|stream| stream.parse().ok()).unwrap_or(0)
}
