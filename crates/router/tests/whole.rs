//! A controller, a router and a stand-in engine on loopback: the whole path, and what is kept on disk.

use fleet_core::program::Start;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

struct Place {
    dir: std::path::PathBuf,
    control: SocketAddr,
    front: SocketAddr,
    probe: SocketAddr,
    range: (u16, u16),
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
    fn new(name: &str) -> Place {
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

    fn settings(&self, bootstrap: bool) -> fleet_core::settings::Settings {
        let text = format!(
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
        );
        fleet_core::settings::Settings::parse(&text).unwrap()
    }

    fn controller(&self, bootstrap: bool) -> Running {
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (_, reread) = tokio::sync::mpsc::channel(1);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let settings = self.settings(bootstrap);
        let run = control_plane::run(Start { settings, log, stop: stopped, reread, metrics: None });
        Running { stop, task: tokio::spawn(async move { run.await.unwrap() }) }
    }

    fn router(&self) -> Running {
        let (stop, stopped) = tokio::sync::watch::channel(false);
        let (_, reread) = tokio::sync::mpsc::channel(1);
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let settings = self.settings(false);
        let run = data_plane::run(Start { settings, log, stop: stopped, reread, metrics: None });
        Running { stop, task: tokio::spawn(async move { run.await.unwrap() }) }
    }
}

struct Running {
    stop: tokio::sync::watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl Running {
    async fn end(self) {
        self.stop.send_replace(true);
        self.task.await.unwrap();
    }
}

/// Asks until the server is there and answers as wanted, or half a minute is over.
async fn until(to: SocketAddr, rq: &str, want: u16) -> (u16, String) {
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

async fn call(to: SocketAddr, rq: &str) -> Option<(u16, String)> {
    let mut s = TcpStream::connect(to).await.ok()?;
    s.write_all(rq.as_bytes()).await.ok()?;
    let mut out = Vec::new();
    s.read_to_end(&mut out).await.ok()?;
    let text = String::from_utf8_lossy(&out).into_owned();
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some((status, text))
}

/// Sends bytes, ends its own direction, and gives the status of the answer if there is one.
async fn call_and_end(to: SocketAddr, rq: &str) -> Option<u16> {
    let mut s = TcpStream::connect(to).await.ok()?;
    s.write_all(rq.as_bytes()).await.ok()?;
    s.shutdown().await.ok()?;
    let mut out = Vec::new();
    let _ = s.read_to_end(&mut out).await;
    String::from_utf8_lossy(&out).split(' ').nth(1)?.parse().ok()
}

fn post(path: &str, more: &str, body: &str) -> String {
    format!(
        "POST /anisedyke/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{more}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn get(path: &str) -> String {
    format!("GET /anisedyke/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
}

fn sheet(revision: u64, timeout: u64) -> String {
    serde_json::json!({
        "revision": revision,
        "routes": [{"host": "h.example", "pathPrefix": "/a/", "kind": "streaming", "timeoutMs": timeout, "service": "s"}],
        "services": [{"name": "s", "maxConns": 50, "engine": {"slots": 8}}],
    })
    .to_string()
}

fn replace(base: impl std::fmt::Display, body: &str) -> String {
    post("Config.Replace", &format!("X-Base-Revision: {base}\r\n"), body)
}

/// A change as one chunk; without its last bytes the body has no end.
fn chunked(base: u64, body: &str) -> String {
    format!(
        "POST /anisedyke/Config.Replace HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Base-Revision: {base}\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
        body.len()
    )
}

#[tokio::test]
async fn configurations_are_taken_refused_and_kept_over_a_restart() {
    let p = Place::new("config");
    let running = p.controller(true);
    assert_eq!(until(p.control, &get("Config.Fetch"), 503).await.0, 503);
    assert_eq!(until(p.control, &replace(0, &sheet(5, 100)), 200).await.0, 200);
    let truncated = sheet(9, 100);
    let table = vec![
        ("resent", replace(0, &sheet(5, 100)), 200, ""),
        ("stale base", replace(3, &sheet(9, 100)), 412, "stale_base"),
        ("version not above", replace(5, &sheet(5, 200)), 400, "version_not_above"),
        ("no time", replace(5, &sheet(9, 0)), 400, "out_of_bounds"),
        ("cut short", replace(5, &truncated[..truncated.len() / 2]), 400, "unreadable"),
        ("no base", post("Config.Replace", "", &sheet(9, 100)), 400, "no_base"),
        ("negative base", replace("-5", &sheet(9, 100)), 400, "no_base"),
        ("base with a sign", replace("+5", &sheet(9, 100)), 400, "no_base"),
        ("no number as base", replace("five", &sheet(9, 100)), 400, "no_base"),
        ("empty base", replace("", &sheet(9, 100)), 400, "no_base"),
        ("base ahead of all", replace(8, &sheet(9, 100)), 503, "unknown"),
        ("beat too large", post("Instances.Heartbeat/i", "", &" ".repeat(5000)), 413, "too_large"),
        ("malformed beat", post("Instances.Heartbeat/i", "", "{}"), 400, "malformed"),
        ("malformed weights", post("version-put", "", "{\"model\":3}"), 400, "malformed"),
        ("wrong method", get("version-put"), 405, ""),
        ("wrong path", get("nothing"), 404, ""),
        ("weights", post("version-put", "", "{\"model\":\"m\",\"revision\":4}"), 200, ""),
    ];
    for (what, rq, want, code) in table {
        let (status, text) = call(p.control, &rq).await.unwrap();
        assert_eq!(status, want, "{what}: {text}");
        assert!(text.contains(code), "{what}: {text}");
    }
    for breaks_off in [replace(5, &sheet(9, 100)), chunked(5, &sheet(9, 100))] {
        let truncated = &breaks_off[..breaks_off.len() - 5];
        assert_ne!(call_and_end(p.control, truncated).await, Some(200), "a body that ends early");
    }
    let (_, before) = call(p.control, &get("Config.Fetch")).await.unwrap();
    assert!(before.ends_with(&sheet(5, 100)), "what was refused changed nothing: {before}");
    running.end().await;
    let running = p.controller(false);
    let (status, after) = until(p.control, &get("Config.Fetch"), 200).await;
    assert_eq!(status, 200);
    assert!(after.ends_with(&sheet(5, 100)));
    assert_eq!(call(p.control, &replace(5, &sheet(8, 100))).await.unwrap().0, 200);
    running.end().await;
}

/// A configuration of many routes; the host of the last one follows from its revision.
fn large_sheet(revision: u64) -> String {
    let route = |host: String, number: u64| {
        serde_json::json!({"host": host, "pathPrefix": format!("/{number}/"), "kind": "safe",
            "timeoutMs": 100, "service": "s"})
    };
    let mut routes: Vec<_> = (0..300).map(|n| route(format!("h{n}.example"), n * 7919)).collect();
    routes.push(route(format!("new{revision}.example"), 1));
    serde_json::json!({"revision": revision, "routes": routes, "services": [{"name": "s"}]})
        .to_string()
}

#[tokio::test]
async fn every_change_of_a_large_configuration_reaches_the_router() {
    let p = Place::new("large");
    let controller = p.controller(true);
    let router = p.router();
    assert_eq!(until(p.control, &replace(0, &large_sheet(1)), 200).await.0, 200);
    assert_eq!(until(p.probe, &get("readyz"), 200).await.0, 200);
    for revision in 1..6 {
        let ask = |host: u64| {
            format!(
                "POST /1/x HTTP/1.1\r\nHost: new{host}.example\r\nX-Attempt-Id: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            )
        };
        assert_eq!(until(p.front, &ask(revision), 503).await.0, 503, "a route without an engine");
        assert_eq!(call(p.front, &ask(revision + 1)).await.unwrap().0, 404, "a route to come");
        let next = replace(revision, &large_sheet(revision + 1));
        assert_eq!(call(p.control, &next).await.unwrap().0, 200);
    }
    router.task.abort();
    controller.end().await;
}

async fn stub_engine() -> SocketAddr {
    let l = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let at = l.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut s, _)) = l.accept().await {
            tokio::spawn(async move {
                let mut b = vec![0u8; 8192];
                while let Ok(n) = s.read(&mut b).await {
                    if n == 0 {
                        return;
                    }
                    let head = String::from_utf8_lossy(&b[..n]).to_ascii_lowercase();
                    let answer = if head.contains("kv-events") {
                        "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
                    } else {
                        "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n\r\nwell"
                    };
                    if s.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

#[tokio::test]
async fn a_request_finds_its_engine_through_the_whole_system() {
    let p = Place::new("path");
    let controller = p.controller(true);
    let router = p.router();
    assert_eq!(until(p.probe, &get("readyz"), 503).await.0, 503, "no configuration as yet");
    assert_eq!(until(p.control, &replace(0, &sheet(5, 5000)), 200).await.0, 200);
    assert_eq!(until(p.probe, &get("readyz"), 200).await.0, 200);
    let rq = "POST /a/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    let (status, text) = call(p.front, rq).await.unwrap();
    assert_eq!(status, 503, "no engine as yet");
    assert!(text.to_ascii_lowercase().contains("retry-after"));
    let engine = stub_engine().await;
    let heartbeat = |state: &str, call: u64| {
        let beat = serde_json::json!({"service": "s", "address": engine.to_string(), "zone": "z", "revision": "v1",
            "slots": 8, "state": state, "coldLeftMs": 0, "models": [], "callSeq": call});
        post("Instances.Heartbeat/i-1", "", &beat.to_string())
    };
    assert_eq!(call(p.control, &heartbeat("ready", 1)).await.unwrap().0, 200);
    let (status, text) = until(p.front, rq, 200).await;
    assert_eq!(status, 200);
    assert!(text.ends_with("well"));
    assert_eq!(call(p.control, &heartbeat("draining", 2)).await.unwrap().0, 200);
    assert_eq!(until(p.front, rq, 503).await.0, 503, "a draining engine gets nothing");
    assert_eq!(
        call(p.control, &heartbeat("ready", 1)).await.unwrap().0,
        200,
        "a late beat is acknowledged"
    );
    assert_eq!(call(p.front, rq).await.unwrap().0, 503, "and changes nothing");
    assert_eq!(call(p.control, &post("Instances.Deregister/i-1", "", "")).await.unwrap().0, 200);
    assert_eq!(call(p.front, rq).await.unwrap().0, 503);
    router.task.abort();
    controller.end().await;
}
