//! A stand-in engine: it sends heartbeats, and serves each connection by the code of its case.

use crate::fleet::Fleet;
use crate::http::{self, Connection, Head};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// An engine that runs until it is killed or the process ends.
pub struct Engine {
    /// Its instance id.
    pub id: String,
    /// Whether it still runs.
    alive: AtomicBool,
    is_draining: AtomicBool,
    /// Whether a controller has acknowledged that it drains.
    is_drain_acknowledged: AtomicBool,
    /// Version of its weights.
    pub version: AtomicU64,
    slots: usize,
    connections: Mutex<Vec<TcpStream>>,
}

/// What an engine says of itself in its heartbeats.
pub struct Spec {
    /// Its number, which gives its id and its address.
    pub number: usize,
    /// Requests that it runs at once.
    pub slots: usize,
    /// Version of its weights at the start.
    pub version: u64,
}

impl Spec {
    /// An engine of the size that the site file gives.
    pub fn new(number: usize) -> Spec {
        Spec { number, slots: 48, version: 1 }
    }
}

/// How an engine serves one connection, until that ends.
pub type Serve = dyn Fn(&Engine, Connection) -> io::Result<()> + Send + Sync;

impl Engine {
    /// Starts an engine. `prepare` gets its listener before the first connection.
    pub fn start(
        fleet: &Arc<Fleet>,
        spec: Spec,
        prepare: impl Fn(&TcpListener) -> io::Result<()>,
        serve: Arc<Serve>,
    ) -> io::Result<Arc<Engine>> {
        let Spec { number, slots, version } = spec;
        let address = fleet.engine_address(number);
        let listener = TcpListener::bind(address)?;
        prepare(&listener)?;
        let engine = Arc::new(Engine {
            id: format!("i-{number:08x}"),
            alive: AtomicBool::new(true),
            is_draining: AtomicBool::new(false),
            is_drain_acknowledged: AtomicBool::new(false),
            version: AtomicU64::new(version),
            slots,
            connections: Mutex::default(),
        });
        let accepting = engine.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !accepting.is_alive() {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.connections.lock().expect("not poisoned").push(copy);
                }
                let (engine, serve) = (accepting.clone(), serve.clone());
                thread::spawn(move || {
                    let _ = serve(&engine, Connection::new(stream));
                });
            }
        });
        let (beating, fleet) = (engine.clone(), fleet.clone());
        thread::spawn(move || beating.send_heartbeats(&fleet, address, number));
        Ok(engine)
    }

    /// Whether it was not killed.
    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Has the engine say from now on that it drains; true once that is acknowledged.
    pub fn drain(&self) -> bool {
        self.is_draining.store(true, Ordering::SeqCst);
        crate::fleet::wait_until(Duration::from_secs(5), |_| {
            self.is_drain_acknowledged.load(Ordering::SeqCst)
        })
    }

    /// Crashes the engine: its connections end and it says nothing any more.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().expect("not poisoned").iter() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn send_heartbeats(&self, fleet: &Fleet, address: SocketAddr, number: usize) {
        let mut node = number;
        let mut call = 0;
        while self.is_alive() {
            call += 1;
            let head = format!(
                "POST /anisedyke/Instances.Heartbeat/{} HTTP/1.1\r\nContent-Type: application/json\r\n",
                self.id
            );
            let is_draining = self.is_draining.load(Ordering::SeqCst);
            let state = if is_draining { "draining" } else { "ready" };
            let (slots, version) = (self.slots, self.version.load(Ordering::SeqCst));
            let body = format!(
                "{{\"service\":\"oracle\",\"address\":\"{address}\",\"zone\":\"z1\",\"revision\":\"v1\",\"slots\":{slots},\
                 \"state\":\"{state}\",\"coldLeftMs\":0,\"phase\":\"combined\",\
                 \"models\":[{{\"name\":\"m0\",\"revision\":{version},\"adapters\":[]}}],\"callSeq\":{call}}}"
            );
            let answer = http::call(fleet.control(node), &head, &body, Duration::from_secs(1));
            if answer.is_none_or(|(status, _)| status != 200) {
                node += 1;
                thread::sleep(Duration::from_millis(100));
                continue;
            }
            if is_draining && !self.is_drain_acknowledged.swap(true, Ordering::SeqCst) {
                fleet.record.add(&format!("engine {}: draining is acknowledged", self.id));
            }
            self.pause_between_heartbeats(is_draining);
        }
    }

    /// Waits for the next heartbeat: one that says something new is sent at once.
    fn pause_between_heartbeats(&self, was_draining: bool) {
        for _ in 0..24 {
            thread::sleep(Duration::from_millis(50));
            if self.is_draining.load(Ordering::SeqCst) != was_draining {
                return;
            }
        }
    }
}

/// Whether a request is a client's; others are calls of controllers, which an engine without reports answers with 404.
pub fn is_client_request(head: &Head) -> bool {
    head.header("x-attempt-id").is_some()
}

/// The answer to a call that this engine doesn't offer.
pub const NOT_FOUND: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// The head of a stream that answers this request.
pub fn stream_head(request: &Head) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: 3e1b.07.5a2\r\nX-Weight-Versions: 1\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        request.header("x-attempt-id").unwrap_or("")
    )
}

/// One event of a stream, `length` bytes long.
pub fn event(id: usize, length: usize) -> String {
    let start = format!("id: {id}\ndata: ");
    let padding = "x".repeat(length.saturating_sub(start.len() + 2));
    format!("{start}{padding}\n\n")
}
