//! Controllers and routers on loopback, and HTTP requests to them.

use fleet_core::program::ProgramContext;
use fleet_core::settings::Settings;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A controller and a router on one node: data folder and addresses.
pub struct TestNode {
    pub data_dir: std::path::PathBuf,
    pub control: SocketAddr,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub port_range: (u16, u16),
}

/// A free port below the range that the system assigns to outgoing connections, so that none of them takes the port
/// before it is bound.
fn free_address() -> SocketAddr {
    static NEXT_OFFSET: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let offset = NEXT_OFFSET.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 20_000 + (std::process::id().wrapping_mul(61).wrapping_add(offset)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl TestNode {
    pub fn new(name: &str) -> TestNode {
        let data_dir = std::env::temp_dir().join(format!("whole-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&data_dir);
        let peer_port = free_address().port();
        TestNode {
            data_dir,
            control: free_address(),
            front: free_address(),
            readiness: free_address(),
            port_range: (peer_port, peer_port.saturating_add(1)),
        }
    }

    pub fn settings_text(&self, bootstrap: bool) -> String {
        format!(
            "nodeName=n1\nip=127.0.0.1\nzone=z\nportRange={},{}\nseeds={}\nbootstrap={bootstrap}\n\
             dataDir={}\nbindAddrs.control={}\nbindAddrs.frontHttp={}\nbindAddrs.readiness={}\n\
             bounds.leaseMs=3000\nbounds.versionMs=8000\nheartbeatMs=1200\n",
            self.port_range.0,
            self.port_range.1,
            self.control,
            self.data_dir.display(),
            self.control,
            self.front,
            self.readiness
        )
    }

    fn settings(&self, bootstrap: bool) -> Settings {
        Settings::parse(&self.settings_text(bootstrap)).unwrap()
    }

    pub fn controller(&self, bootstrap: bool) -> RunningProgram {
        let (context, stop) = program_context(self.settings(bootstrap));
        let run = control_plane::run(context);
        RunningProgram { stop, task: tokio::spawn(async move { run.await.unwrap() }) }
    }

    pub fn router(&self) -> RunningProgram {
        let (context, stop) = program_context(self.settings(false));
        let run = data_plane::run(context);
        RunningProgram { stop, task: tokio::spawn(async move { run.await.unwrap() }) }
    }
}

/// What a program is started with, and the sender that stops it.
fn program_context(settings: Settings) -> (ProgramContext, tokio::sync::watch::Sender<bool>) {
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let (_, reloaded_settings) = tokio::sync::mpsc::channel(1);
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let context = ProgramContext { settings, log, stop: stopped, reloaded_settings, metrics: None };
    (context, stop)
}

pub struct RunningProgram {
    pub stop: tokio::sync::watch::Sender<bool>,
    pub task: tokio::task::JoinHandle<()>,
}

impl RunningProgram {
    pub async fn shut_down(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap();
    }
}

/// Repeats a request until the response has the expected status, and returns the last response, at the latest after
/// 30 s. The server may not be listening yet.
pub async fn wait_for_status(address: SocketAddr, request: &str, expected: u16) -> (u16, String) {
    let mut last = (0, String::new());
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while std::time::Instant::now() < deadline {
        if let Some(response) = call(address, request).await {
            last = response;
            if last.0 == expected {
                break;
            }
        }
        tokio::task::yield_now().await;
    }
    last
}

/// Sends a request, and returns the status and the whole response; `None` if there is none.
pub async fn call(address: SocketAddr, request: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response_bytes = Vec::new();
    stream.read_to_end(&mut response_bytes).await.ok()?;
    let text = String::from_utf8_lossy(&response_bytes).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}

pub fn post(path: &str, extra_headers: &str, body: &str) -> String {
    format!(
        "POST /anisedyke/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{extra_headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn get(path: &str) -> String {
    format!("GET /anisedyke/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
}

pub fn replace(base_revision: impl std::fmt::Display, body: &str) -> String {
    post("Config.Replace", &format!("X-Base-Revision: {base_revision}\r\n"), body)
}
