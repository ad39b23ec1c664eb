//! Controllers and routers on loopback, and plain calls to them.

use fleet_core::program::Start;
use fleet_core::settings::Settings;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

pub struct Place {
    pub dir: std::path::PathBuf,
    pub control: SocketAddr,
    pub front: SocketAddr,
    pub probe: SocketAddr,
    pub range: (u16, u16),
}

/// Below the ports that the system gives to connections, so that none of these takes it meanwhile.
fn free() -> SocketAddr {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    loop {
        let n = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let port = 20_000 + (std::process::id().wrapping_mul(61).wrapping_add(n)) % 12_000;
        let at = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if std::net::TcpListener::bind(at).is_ok() {
            return at;
        }
    }
}

impl Place {
    pub fn new(name: &str) -> Place {
        let dir = std::env::temp_dir().join(format!("whole-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&dir);
        let peer = free().port();
        Place {
            dir,
            control: free(),
            front: free(),
            probe: free(),
            range: (peer, peer.saturating_add(1)),
        }
    }

    pub fn settings_text(&self, bootstrap: bool) -> String {
        format!(
            "nodeName=n1\nip=127.0.0.1\nzone=z\nportRange={},{}\nseeds={}\nbootstrap={bootstrap}\n\
             dataDir={}\nbindAddrs.control={}\nbindAddrs.frontHttp={}\nbindAddrs.readiness={}\n\
             bounds.leaseMs=3000\nbounds.versionMs=8000\nheartbeatMs=1200\n",
            self.range.0,
            self.range.1,
            self.control,
            self.dir.display(),
            self.control,
            self.front,
            self.probe
        )
    }

    fn settings(&self, bootstrap: bool) -> Settings {
        Settings::parse(&self.settings_text(bootstrap)).unwrap()
    }

    pub fn controller(&self, bootstrap: bool) -> Running {
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (_, reread) = tokio::sync::mpsc::channel(1);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let settings = self.settings(bootstrap);
        let run = control_plane::run(Start { settings, log, stop: stopped, reread, metrics: None });
        Running { stop, task: tokio::spawn(async move { run.await.unwrap() }) }
    }

    pub fn router(&self) -> Running {
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (_, reread) = tokio::sync::mpsc::channel(1);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let settings = self.settings(false);
        let run = data_plane::run(Start { settings, log, stop: stopped, reread, metrics: None });
        Running { stop, task: tokio::spawn(async move { run.await.unwrap() }) }
    }
}

pub struct Running {
    pub stop: tokio::sync::watch::Sender<bool>,
    pub task: tokio::task::JoinHandle<()>,
}

impl Running {
    pub async fn end(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap();
    }
}

/// Asks until the server is there and answers as wanted, or half a minute is over.
pub async fn until(to: SocketAddr, rq: &str, want: u16) -> (u16, String) {
    let mut last = (0, String::new());
    let end = std::time::Instant::now() + std::time::Duration::from_secs(30);
    while std::time::Instant::now() < end {
        if let Some(a) = call(to, rq).await {
            last = a;
            if last.0 == want {
                break;
            }
        }
        tokio::task::yield_now().await;
    }
    last
}

pub async fn call(to: SocketAddr, rq: &str) -> Option<(u16, String)> {
    let mut s = TcpStream::connect(to).await.ok()?;
    s.write_all(rq.as_bytes()).await.ok()?;
    let mut out = Vec::new();
    s.read_to_end(&mut out).await.ok()?;
    let text = String::from_utf8_lossy(&out).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}

pub fn post(path: &str, more: &str, body: &str) -> String {
    format!(
        "POST /anisedyke/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{more}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn get(path: &str) -> String {
    format!("GET /anisedyke/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
}

pub fn replace(base: impl std::fmt::Display, body: &str) -> String {
    post("Config.Replace", &format!("X-Base-Revision: {base}\r\n"), body)
}
