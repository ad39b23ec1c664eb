//! Guards against a controller that keeps all that faulty engines answer to its calls.

use fleet_core::constants;
use std::net::{Ipv4Addr, SocketAddr, TcpListener as StdListener};
use std::process::{Child, Command, Stdio};
use std::sync::LazyLock;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Memory of the smallest machines that are deployed.
const MACHINE_MEMORY_BYTES: usize = 160_000_000;
/// Faulty engines, all called at the same time.
const ENGINES: usize = 64;
/// Time for which the controller calls them.
const DURATION: Duration = Duration::from_secs(8);
/// Time that engines and operators wait for an answer to a call.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// A faulty engine stops after this many bytes on a connection, so that a failing test leaves the machine alive.
const FLOOD_BYTES: usize = 32 << 20;

/// How the engines answer.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// Every body is without an end.
    Bodies,
    /// Every header field is without an end.
    Heads,
    /// Cache events are valid, and name another salt for the same part in each event.
    Salts,
}

/// A controller in a process of its own. Killed on drop, so that a failed test leaves no process behind.
struct Controller {
    process: Child,
    control: SocketAddr,
    folder: std::path::PathBuf,
}

impl Controller {
    fn start(name: &str) -> Controller {
        let folder = std::env::temp_dir().join(format!("controller-{}-{name}", std::process::id()));
        std::fs::create_dir_all(folder.join("data")).unwrap();
        let port = || {
            let listener = StdListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            listener.local_addr().unwrap().port()
        };
        let (control, peers) = (SocketAddr::from(([127, 0, 0, 1], port())), port());
        let settings = format!(
            "nodeName=n1\nip=127.0.0.1\nzone=z\nportRange={peers},{}\nseeds={control}\nbootstrap=true\n\
             dataDir={}\nbindAddrs.control={control}\nbounds.leaseMs=3000\nbounds.versionMs=8000\nheartbeatMs=1200\n",
            peers + 1,
            folder.join("data").display()
        );
        let file = folder.join("controller.conf");
        std::fs::write(&file, settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_controller"));
        command.arg("--settings").arg(file).stdout(Stdio::null()).stderr(Stdio::null());
        Controller { process: command.spawn().unwrap(), control, folder }
    }

    fn peak_memory_bytes(&self) -> usize {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.process.id())).unwrap();
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        peak.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    /// The most resident memory once it has not grown for a second: what callers sent may still wait to be read.
    async fn settled_peak_memory_bytes(&self) -> usize {
        let mut peak = 0;
        while self.peak_memory_bytes() > peak {
            peak = self.peak_memory_bytes();
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
        peak
    }

    /// Makes a call; returns its status, or 0 without a complete answer in time.
    async fn call(&self, path: &str, headers: &str, body: &str) -> u16 {
        let request = format!(
            "POST /anisedyke/{path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}Content-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let calling = async {
            let mut stream = TcpStream::connect(self.control).await.ok()?;
            stream.write_all(request.as_bytes()).await.ok()?;
            let mut response = String::new();
            stream.read_to_string(&mut response).await.ok()?;
            response.split(' ').nth(1)?.parse().ok()
        };
        tokio::time::timeout(CALLER_TIMEOUT, calling).await.ok().flatten().unwrap_or(0)
    }

    async fn call_until_accepted(&self, path: &str, headers: &str, body: &str) {
        let end = Instant::now() + Duration::from_secs(10);
        loop {
            let status = self.call(path, headers, body).await;
            if status == 200 {
                return;
            }
            assert!(Instant::now() < end && !(400..500).contains(&status), "{path}: {status}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn heartbeat(&self, id: usize, address: SocketAddr, call_seq: u64) -> u16 {
        let body = serde_json::json!({"service": "s", "address": address.to_string(), "zone": "z", "revision": "v1",
            "slots": 8, "state": "ready", "coldLeftMs": 0, "models": [{"name": "m", "revision": 1, "adapters": []}],
            "callSeq": call_seq});
        self.call(&format!("Instances.Heartbeat/i-{id}"), "", &body.to_string()).await
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn start_engine(fault: Fault) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(serve(connection, fault));
        }
    });
    address
}

async fn serve(mut connection: TcpStream, fault: Fault) -> std::io::Result<()> {
    let mut buffer = vec![0u8; 8192];
    let mut calls = 0usize;
    while connection.read(&mut buffer).await? > 0 {
        calls += 1;
        match fault {
            Fault::Bodies => {
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                connection.write_all(head.as_bytes()).await?;
                let chunk = format!("10000\r\n{}\r\n", " ".repeat(1 << 16));
                send_repeatedly(&mut connection, chunk.as_bytes()).await?;
            }
            Fault::Heads => {
                connection.write_all(b"HTTP/1.1 200 OK\r\nX-Fill: ").await?;
                send_repeatedly(&mut connection, &[b'x'; 1 << 16]).await?;
            }
            Fault::Salts => {
                let body = &EVENTS[calls % EVENTS.len()];
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
                connection.write_all(head.as_bytes()).await?;
                connection.write_all(body.as_bytes()).await?;
            }
        }
    }
    Ok(())
}

async fn send_repeatedly(connection: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    for _ in 0..FLOOD_BYTES / bytes.len() {
        connection.write_all(bytes).await?;
    }
    Ok(())
}

/// Responses with events, made in advance: making them takes longer than sending them.
static EVENTS: LazyLock<Vec<String>> =
    LazyLock::new(|| (0..8).map(events_with_distinct_salts).collect());

fn events_with_distinct_salts(call: u64) -> String {
    let events: Vec<_> = (0..20_000u64)
        .map(|number| (number, "+", format!("m|1|{call}-{number}-{:0>40}", ""), "ab", 16, "m"))
        .collect();
    serde_json::json!({"epoch": 1, "nextToken": call, "lost": false, "events": events}).to_string()
}

async fn run(name: &str, fault: Fault) {
    LazyLock::force(&EVENTS);
    let controller = Controller::start(name);
    let configuration =
        serde_json::json!({"revision": 1, "routes": [], "services": [{"name": "s"}]});
    let base = "X-Base-Revision: 0\r\n";
    controller.call_until_accepted("Config.Replace", base, &configuration.to_string()).await;
    let mut engines = Vec::new();
    for id in 0..ENGINES {
        let address = start_engine(fault).await;
        assert_eq!(controller.heartbeat(id, address, 1).await, 200);
        engines.push(address);
    }
    let target = serde_json::json!({"model": "m", "revision": 2});
    controller.call_until_accepted("version-put", "", &target.to_string()).await;
    let end = Instant::now() + DURATION;
    let mut call_seq = 1;
    let mut late = 0;
    while Instant::now() < end {
        call_seq += 1;
        for (id, address) in engines.iter().enumerate() {
            late += usize::from(controller.heartbeat(id, *address, call_seq).await != 200);
        }
        let round = Duration::from_millis(500);
        tokio::time::sleep(round).await;
    }
    let peak = controller.peak_memory_bytes();
    println!("{fault:?}: peak {} kB, {late} heartbeats were not answered in time", peak / 1000);
    assert!(peak < MACHINE_MEMORY_BYTES, "{fault:?}: the controller used {peak} bytes");
    assert_eq!(late, 0, "{fault:?}: heartbeats were not answered within {CALLER_TIMEOUT:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_without_end_do_not_fill_the_memory() {
    run("bodies", Fault::Bodies).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_heads_of_engines_without_end_do_not_fill_the_memory() {
    run("heads", Fault::Heads).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn salts_without_end_do_not_fill_the_memory() {
    run("salts", Fault::Salts).await;
}

/// Sends a configuration but for its last bytes.
async fn send_incomplete_configuration(control: SocketAddr) -> TcpStream {
    let head = format!(
        "POST /anisedyke/Config.Replace HTTP/1.1\r\nHost: x\r\nX-Base-Revision: 0\r\nContent-Length: {}\r\n\r\n",
        constants::CONFIG_MAX_BYTES
    );
    let mut stream = TcpStream::connect(control).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    // Fails where the controller rejects the body before its end.
    let _ = stream.write_all(&vec![b' '; constants::CONFIG_MAX_BYTES - 100]).await;
    stream
}

/// Operators that send large configurations and never end them don't fill the memory, and don't hold up heartbeats.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_calls_are_bounded_over_all_callers() {
    let controller = Controller::start("calls");
    let engine: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let end = Instant::now() + Duration::from_secs(10);
    while controller.heartbeat(1, engine, 1).await != 200 {
        assert!(Instant::now() < end);
    }
    let mut callers = Vec::new();
    for _ in 0..30 {
        callers.push(send_incomplete_configuration(controller.control).await);
    }
    assert_eq!(controller.heartbeat(1, engine, 2).await, 200);
    let mut rejected = 0;
    for mut caller in callers.split_off(2) {
        let mut start = [0; 12];
        if caller.read_exact(&mut start).await.is_ok() {
            assert_eq!(&start, b"HTTP/1.1 503");
            rejected += 1;
        }
    }
    let peak = controller.settled_peak_memory_bytes().await;
    println!("30 large calls: peak {} kB, {rejected} rejected", peak / 1000);
    assert!(rejected > 0);
    assert!(peak < MACHINE_MEMORY_BYTES, "the controller used {peak} bytes");
}

/// Callers that send the head of a request and never end it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_heads_without_end_do_not_fill_the_memory() {
    const CALLERS: usize = 450;
    const HEAD_BYTES: usize = 400_000;
    let controller = Controller::start("request-heads");
    let engine: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let end = Instant::now() + Duration::from_secs(10);
    while controller.heartbeat(1, engine, 1).await != 200 {
        assert!(Instant::now() < end);
    }
    let head = ["GET /anisedyke/Fleet.Look HTTP/1.1\r\nX-Fill: ", &"x".repeat(HEAD_BYTES)].concat();
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = TcpStream::connect(controller.control).await.unwrap();
        let _ = caller.write_all(head.as_bytes()).await;
        callers.push(caller);
    }
    assert_eq!(controller.heartbeat(1, engine, 2).await, 200);
    let peak = controller.settled_peak_memory_bytes().await;
    println!("{CALLERS} heads without end: peak {} kB", peak / 1000);
    assert!(peak < MACHINE_MEMORY_BYTES, "the controller used {peak} bytes");
}

/// Callers that ask for a large configuration and don't read it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn callers_that_do_not_read_a_configuration_do_not_fill_the_memory() {
    const CALLERS: usize = 60;
    let controller = Controller::start("slow-callers");
    let configuration = serde_json::json!({"revision": 1,
        "routes": [{"host": "h.example", "pathPrefix": "/a/", "kind": "safe", "timeoutMs": 1000, "service": "s"}],
        "services": [{"name": "s", "maxConns": 50, "engine": {"slots": 8}}]});
    let padding = " ".repeat(constants::CONFIG_MAX_BYTES - 1000);
    let body = format!("{configuration}{padding}");
    controller.call_until_accepted("Config.Replace", "X-Base-Revision: 0\r\n", &body).await;
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(4096).unwrap();
        let mut caller = socket.connect(controller.control).await.unwrap();
        let request = "GET /anisedyke/Config.Fetch HTTP/1.1\r\nHost: x\r\n\r\n";
        caller.write_all(request.as_bytes()).await.unwrap();
        callers.push(caller);
    }
    let mut rejected = 0;
    for caller in &mut callers {
        let mut start = [0; 12];
        caller.read_exact(&mut start).await.unwrap();
        rejected += usize::from(&start == b"HTTP/1.1 503");
    }
    let peak = controller.settled_peak_memory_bytes().await;
    println!("{CALLERS} slow callers: peak {} kB, {rejected} rejected", peak / 1000);
    assert!(rejected > 0 && rejected < CALLERS);
    assert!(peak < MACHINE_MEMORY_BYTES, "the controller used {peak} bytes");
    let engine: SocketAddr = "127.0.0.1:9".parse().unwrap();
    assert_eq!(controller.heartbeat(1, engine, 1).await, 200);
}
