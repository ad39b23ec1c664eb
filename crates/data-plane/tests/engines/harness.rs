//! A router on loopback, stand-in engines that play scripts, and a plain client.

use data_plane::Router;
use data_plane::fleet_view::routing_table::Table;
use fleet_core::wire::{Engine, FleetUpdate, TargetWeights, Weights};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What an engine saw of one request.
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
        .filter_map(|l| l.split_once(':'))
        .find(|(n, _)| n.eq_ignore_ascii_case(name))
        .map(|(_, v)| v.trim())
}

/// What the stand-in does with the connection after its bytes.
pub enum Then {
    /// Reads the next request; with no bytes written this is silence.
    Keep,
    /// Closes in order.
    Close,
    /// Waits for the word, then sends the rest.
    Finish(Arc<tokio::sync::Notify>, Vec<u8>),
    /// Closes in order at the word.
    CloseOn(Arc<tokio::sync::Notify>),
    /// Resets, as an engine that has forgotten the connection.
    Reset,
}

type Script = dyn Fn(usize, &ReceivedRequest) -> (Vec<u8>, Then) + Send + Sync;

pub struct StubEngine {
    pub id: String,
    pub address: std::net::SocketAddr,
    pub received: Arc<parking_lot::Mutex<Vec<ReceivedRequest>>>,
}

impl StubEngine {
    pub async fn start(
        id: &str,
        script: impl Fn(usize, &ReceivedRequest) -> (Vec<u8>, Then) + Send + Sync + 'static,
    ) -> StubEngine {
        let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = l.local_addr().unwrap();
        let received: Arc<parking_lot::Mutex<Vec<ReceivedRequest>>> = Arc::default();
        let script: Arc<Script> = Arc::new(script);
        let all = received.clone();
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((s, _)) = l.accept().await {
                connection += 1;
                tokio::spawn(play(s, connection, all.clone(), script.clone()));
            }
        });
        StubEngine { id: id.to_owned(), address, received }
    }

    pub fn arrivals(&self) -> usize {
        self.received.lock().len()
    }
}

async fn read_message(s: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(i) = buf.windows(4).position(|w| w == b"\r\n\r\n") {
            break i + 4;
        }
        let mut b = [0u8; 4096];
        let n = s.read(&mut b).await.ok().filter(|n| *n > 0)?;
        buf.extend_from_slice(&b[..n]);
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let len: usize = header(&head, "content-length").map_or(0, |v| v.parse().unwrap());
    let mut body = buf.split_off(end);
    while body.len() < len {
        let mut b = [0u8; 4096];
        let n = s.read(&mut b).await.ok().filter(|n| *n > 0)?;
        body.extend_from_slice(&b[..n]);
    }
    Some((head, body))
}

async fn play(
    mut s: TcpStream,
    connection: usize,
    all: Arc<parking_lot::Mutex<Vec<ReceivedRequest>>>,
    script: Arc<Script>,
) {
    while let Some((head, body)) = read_message(&mut s).await {
        let received = ReceivedRequest { head, body, connection };
        let n = {
            let mut a = all.lock();
            a.push(received.clone());
            a.len()
        };
        let (bytes, then) = script(n, &received);
        if s.write_all(&bytes).await.is_err() {
            return;
        }
        match then {
            Then::Keep => {}
            Then::Close => return,
            Then::CloseOn(signal) => return signal.notified().await,
            Then::Finish(signal, tail) => {
                signal.notified().await;
                if s.write_all(&tail).await.is_err() {
                    return;
                }
            }
            Then::Reset => {
                socket2::SockRef::from(&s).set_linger(Some(std::time::Duration::ZERO)).unwrap();
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

/// Head of a proper stream, answering this request.
pub fn stream_head(received: &ReceivedRequest, more: &str) -> String {
    let id = received.header("x-attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\nContent-Type: text/event-stream\r\n{more}Transfer-Encoding: chunked\r\n\r\n"
    )
}

pub fn complete(received: &ReceivedRequest, ids: std::ops::RangeInclusive<u32>) -> Vec<u8> {
    let body: String = ids.map(|i| chunk(&event(i))).collect();
    format!("{}{body}0\r\n\r\n", stream_head(received, "")).into_bytes()
}

pub struct Fleet {
    pub router: Arc<Router>,
    front: std::net::SocketAddr,
}

impl Fleet {
    pub async fn start(engines: &[&StubEngine]) -> Fleet {
        Fleet::with_max_conns(engines, 100).await
    }

    /// A fleet whose engines take so many connections from all routers.
    pub async fn with_max_conns(engines: &[&StubEngine], max_conns: u32) -> Fleet {
        let text = "nodeName=c1\nip=127.0.0.1\nzone=z\nportRange=1,9\nbounds.retryRatio=10\n\
            bounds.retryWindowS=10\nbounds.retrySlack=0\nbounds.versionMs=8000\n";
        let settings = fleet_core::settings::Settings::parse(text).unwrap();
        let router = Router::assemble(settings, slog::Logger::root(slog::Discard, slog::o!()));
        let route = |prefix: &str, resumable: bool, attempts: u32| {
            serde_json::json!({"host": "h.example", "pathPrefix": prefix, "kind": "streaming",
                "timeoutMs": 20000, "service": "s", "maxAttempts": attempts, "resumable": resumable})
        };
        let safe = serde_json::json!({"host": "h.example", "pathPrefix": "/safe/", "kind": "safe",
            "timeoutMs": 20000, "service": "s", "maxAttempts": 2});
        let sheet = serde_json::json!({
            "revision": 1,
            "routes": [route("/once/", false, 1), route("/twice/", false, 2), route("/on/", true, 3), safe],
            "services": [{"name": "s", "maxConns": max_conns, "engine": {"slots": 8, "kvCapacity": 100_000, "kvTokenBytes": 300_000, "linkMbps": 1_000_000.0}}],
            "limits": {"maxHeaderBytes": 8192, "maxBodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 9000},
            "tenants": [{"name": "t1", "apiKeys": ["k1"]}, {"name": "t2", "apiKeys": ["k2"], "isolated": true}],
        });
        router.fleet_view.set_table(Table::compile(sheet.to_string().as_bytes(), 4).unwrap());
        let view = FleetUpdate {
            engines: engines.iter().map(|e| engine_state(e)).collect(),
            weights: vec![TargetWeights { model: "m".into(), version: 2, age_ms: 0 }],
            ..Default::default()
        };
        router.fleet_view.apply(&view);
        let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let front = l.local_addr().unwrap();
        tokio::spawn(data_plane::proxy::run_client_listener(router.clone(), l));
        Fleet { router, front }
    }

    /// A client's connection to the router.
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.front).await.unwrap()
    }

    /// Sends bytes and gives all that comes until the router closes or the answer is whole.
    pub async fn raw(&self, bytes: &[u8]) -> String {
        let mut s = self.connect().await;
        s.write_all(bytes).await.unwrap();
        let mut out = Vec::new();
        let mut b = [0u8; 4096];
        while let Ok(n) = s.read(&mut b).await {
            out.extend_from_slice(&b[..n]);
            let text = String::from_utf8_lossy(&out);
            let chunked = text.to_ascii_lowercase().contains("transfer-encoding: chunked");
            let done =
                if chunked { text.ends_with("0\r\n\r\n") } else { text.contains("\r\n\r\n") };
            if n == 0 || done {
                break;
            }
        }
        String::from_utf8_lossy(&out).into_owned()
    }

    /// Sends bytes and gives all that comes until the router closes the connection.
    pub async fn raw_to_end(&self, bytes: &[u8]) -> String {
        let mut s = self.connect().await;
        s.write_all(bytes).await.unwrap();
        let mut out = Vec::new();
        let mut b = [0u8; 4096];
        while let Ok(n) = s.read(&mut b).await {
            if n == 0 {
                break;
            }
            out.extend_from_slice(&b[..n]);
        }
        String::from_utf8_lossy(&out).into_owned()
    }

    pub async fn send(&self, path: &str, more: &str) -> String {
        self.raw(request(path, more).as_bytes()).await
    }
}

/// Lets time pass with no wait on the wall clock.
pub async fn pass(span: std::time::Duration) {
    tokio::time::pause();
    tokio::time::advance(span).await;
    tokio::time::resume();
}

/// Lets all tasks run until the condition holds.
pub async fn until(condition: impl Fn() -> bool) {
    for _ in 0..100_000 {
        if condition() {
            return;
        }
        tokio::task::yield_now().await;
    }
    panic!("the awaited condition never held");
}

/// Head of an answer of any status that bears the request's id and a seal.
pub fn sealed(received: &ReceivedRequest, status: &str, more: &str) -> String {
    let id = received.header("x-attempt-id").unwrap_or("");
    format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {id}\r\nX-Server-Seal: s1\r\n{more}\r\n")
}

pub fn request(path: &str, more: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nX-Model: m\r\nX-Key: k1\r\n\
         X-Token-Count: 30,5\r\nX-Prompt-Prefix: aa:10,bb:10,cc:10\r\nX-Deadline-Ms: 15000\r\n{more}Content-Length: 2\r\n\r\nhi"
    )
}

pub fn engine_state(e: &StubEngine) -> Engine {
    Engine {
        id: e.id.clone(),
        call: 1,
        service: "s".into(),
        address: e.address.to_string(),
        zone: "z".into(),
        slots: 8,
        weights: vec![Weights { model: "m".into(), version: 2 }],
        ..Default::default()
    }
}

pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
}
