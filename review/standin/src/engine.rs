//! A stand-in for an engine: it sends heartbeats, answers reports, orders and requests, and records what it runs.

use crate::http::{self, Message};
use crate::record::Record;
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// What a stand-in is like.
#[derive(Clone)]
pub struct Manner {
    pub slots: usize,
    pub queue: usize,
    /// Events of an answer, and the pause between two.
    pub events: usize,
    pub pause: Duration,
    /// Whether a request is dropped once its connection closes, as most engines do.
    pub drops: bool,
    /// Whether the answer is one body at the end of the work in place of a stream.
    pub whole: bool,
    /// Time that new weights take.
    pub load: Duration,
}

#[derive(Default)]
pub struct State {
    pub version: u64,
    pub running: usize,
    pub ordered: Option<u64>,
    pub orders: u64,
    pub fence: u64,
    pub next_ticket: u64,
    /// Those that wait, in the order in which they came.
    pub queue: VecDeque<u64>,
}

/// A run that began.
#[derive(Clone)]
pub struct Run {
    pub at: f64,
    pub engine: String,
    pub attempt: String,
    pub version: u64,
    /// When the request came.
    pub came: f64,
}

pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub model: String,
    pub service: String,
    pub manner: Manner,
    pub state: Mutex<State>,
    changed: Condvar,
    pub call_seq: AtomicU64,
    pub beats: AtomicBool,
    pub record: Arc<Record>,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

/// The whole number behind a name in JSON text.
pub fn number(body: &[u8], name: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let at = text.find(&format!("\"{name}\":"))? + name.len() + 3;
    let digits: String = text[at..].trim_start().chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl Engine {
    pub fn start(
        id: &str,
        address: SocketAddr,
        model: &str,
        service: &str,
        manner: Manner,
        record: &Arc<Record>,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> Arc<Engine> {
        let engine = Arc::new(Engine {
            id: id.to_owned(),
            address,
            model: model.to_owned(),
            service: service.to_owned(),
            manner,
            state: Mutex::new(State { version: 1, ..State::default() }),
            changed: Condvar::new(),
            call_seq: AtomicU64::new(0),
            beats: AtomicBool::new(true),
            record: record.clone(),
            runs: runs.clone(),
        });
        let listener = TcpListener::bind(address).expect("the engine's address is free");
        let serving = engine.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = serving.clone();
                std::thread::spawn(move || {
                    let _ = engine.serve(stream);
                });
            }
        });
        engine
    }

    pub fn next_call(&self) -> u64 {
        self.call_seq.fetch_add(1, Ordering::SeqCst) + 1
    }

    pub fn beat_body(&self, state: &str, call_seq: u64) -> String {
        let version = self.state.lock().unwrap().version;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z1\",\"revision\":\"v1\",\"slots\":{},\"state\":\"{state}\",\"coldLeftMs\":0,\"phase\":\"combined\",\"models\":[{{\"name\":\"{}\",\"revision\":{version},\"adapters\":[]}}],\"callSeq\":{call_seq}}}",
            self.service, self.address, self.manner.slots, self.model
        )
    }

    /// A beat to one node after the other, until one acknowledges it within a second.
    pub fn beat(&self, controls: &[SocketAddr], first: usize) -> bool {
        for turn in 0..controls.len() {
            let to = controls[(first + turn) % controls.len()];
            let body = self.beat_body("ready", self.next_call());
            if self.call_control(to, "Instances.Heartbeat", &body) == Some(200) {
                return true;
            }
        }
        false
    }

    pub fn call_control(&self, to: SocketAddr, call: &str, body: &str) -> Option<u16> {
        let path = format!("/anisedyke/{call}/{}", self.id);
        let json = [("Content-Type", "application/json".to_owned())];
        let limit = Duration::from_secs(1);
        http::call(to, "POST", &path, &json, body.as_bytes(), limit).ok().map(|a| a.status())
    }

    /// Sends a beat about every 1.2 s while it is to.
    pub fn keep_beating(self: &Arc<Engine>, controls: Vec<SocketAddr>, offset: usize) {
        let engine = self.clone();
        std::thread::spawn(move || {
            let mut turn = offset;
            while engine.beats.load(Ordering::SeqCst) {
                engine.beat(&controls, turn);
                turn += 1;
                std::thread::sleep(Duration::from_millis(1200));
            }
        });
    }

    fn serve(self: &Arc<Engine>, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut out = stream;
        loop {
            let mut request = http::read_head(&mut reader)?;
            http::read_body(&mut reader, &mut request)?;
            let target = request.header("x-target-instance");
            if target.is_some_and(|target| target != self.id) {
                plain(&mut out, &request, "421 Misdirected Request", "", &[])?;
                continue;
            }
            let path = request.path().split('?').next().unwrap_or("").to_owned();
            match path.as_str() {
                "/anisedyke/report" => {
                    let body = self.report();
                    plain(&mut out, &request, "200 OK", &body, &[])?;
                }
                "/anisedyke/order" => {
                    let status = self.order(&request);
                    plain(&mut out, &request, status, "", &[])?;
                }
                "/anisedyke/kv-events" => {
                    let wait = request.header("wait-ms").and_then(|v| v.parse().ok()).unwrap_or(0);
                    std::thread::sleep(Duration::from_millis(wait));
                    let body = "{\"epoch\":1,\"nextToken\":0,\"lost\":false,\"events\":[]}";
                    plain(&mut out, &request, "200 OK", body, &[])?;
                }
                "/anisedyke/kv-list" => {
                    let body = "{\"epoch\":1,\"nextToken\":0,\"held\":[]}";
                    plain(&mut out, &request, "200 OK", body, &[])?;
                }
                "/healthz" => {
                    let id = [("X-Instance-Id", self.id.clone())];
                    plain(&mut out, &request, "200 OK", "", &id)?;
                }
                _ => self.run(&mut out, &request)?,
            }
        }
    }

    fn report(&self) -> String {
        let state = self.state.lock().unwrap();
        format!(
            "{{\"phase\":\"combined\",\"models\":[{{\"name\":\"{}\",\"revision\":{},\"adapters\":[]}}],\"busy\":{},\"callSeq\":{},\"queued\":{},\"active\":{},\"kvUsed\":0,\"kvTotal\":100000,\"handles\":0}}",
            self.model,
            state.version,
            state.ordered.is_some(),
            state.orders,
            state.queue.len(),
            state.running
        )
    }

    /// Method `defer`: what runs finishes first; what has not begun is turned away until the order is done.
    fn order(self: &Arc<Engine>, request: &Message) -> &'static str {
        let (Some(revision), Some(fence)) =
            (number(&request.body, "revision"), number(&request.body, "fence"))
        else {
            return "400 Bad Request";
        };
        let mut state = self.state.lock().unwrap();
        if fence < state.fence {
            return "412 Precondition Failed";
        }
        state.fence = fence;
        if state.version == revision {
            return "200 OK";
        }
        let expected = number(&request.body, "expected");
        if state.ordered.is_some() || expected.is_some_and(|expected| expected != state.orders) {
            return "409 Conflict";
        }
        state.orders += 1;
        state.ordered = Some(revision);
        self.record.line(&format!("engine {} ordered to version {revision}", self.id));
        self.changed.notify_all();
        let engine = self.clone();
        std::thread::spawn(move || {
            let mut state = engine.state.lock().unwrap();
            while state.running > 0 {
                state = engine.changed.wait(state).unwrap();
            }
            drop(state);
            std::thread::sleep(engine.manner.load);
            let mut state = engine.state.lock().unwrap();
            state.version = revision;
            state.ordered = None;
            engine.record.line(&format!("engine {} has version {revision}", engine.id));
            engine.changed.notify_all();
        });
        "202 Accepted"
    }

    fn run(&self, out: &mut TcpStream, request: &Message) -> std::io::Result<()> {
        let came = self.record.now();
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        let expected: Option<u64> =
            request.header("x-expected-version").and_then(|v| v.parse().ok());
        let refused = [("X-Attempt-Id", attempt.clone()), ("X-Not-Executed", "1".to_owned())];
        self.record.line(&format!(
            "engine {} gets {attempt} for {} ms, expected version {expected:?}",
            self.id,
            request.header("x-deadline-ms").unwrap_or("?")
        ));
        let mut state = self.state.lock().unwrap();
        if expected.is_some_and(|expected| expected != state.version) {
            let mut headers = refused.to_vec();
            headers.push(("X-Weight-Versions", state.version.to_string()));
            drop(state);
            return plain(out, request, "421 Misdirected Request", "", &headers);
        }
        if state.ordered.is_some() || state.queue.len() >= self.manner.queue {
            drop(state);
            return plain(out, request, "503 Service Unavailable", "", &refused);
        }
        let deadline: f64 =
            request.header("x-deadline-ms").and_then(|v| v.parse().ok()).unwrap_or(30_000.0);
        let ticket = state.next_ticket;
        state.next_ticket += 1;
        state.queue.push_back(ticket);
        let turned_away = loop {
            let past = (self.record.now() - came) * 1000.0 >= deadline;
            let is_gone = self.manner.drops && is_closed(out);
            if state.ordered.is_some() || past || is_gone {
                break true;
            }
            if state.running < self.manner.slots && state.queue.front() == Some(&ticket) {
                break false;
            }
            state = self.changed.wait_timeout(state, Duration::from_millis(20)).unwrap().0;
        };
        state.queue.retain(|other| *other != ticket);
        if turned_away {
            drop(state);
            self.changed.notify_all();
            return plain(out, request, "503 Service Unavailable", "", &refused);
        }
        state.running += 1;
        let version = state.version;
        drop(state);
        self.changed.notify_all();
        let at = self.record.now();
        self.record.line(&format!("engine {} begins {attempt} on version {version}", self.id));
        self.runs.lock().unwrap().push(Run {
            at,
            engine: self.id.clone(),
            attempt: attempt.clone(),
            version,
            came,
        });
        let until = came + deadline / 1000.0;
        let sent = if self.manner.whole {
            self.work(out, request, &attempt, version, until)
        } else {
            self.stream(out, &attempt, version, until)
        };
        self.state.lock().unwrap().running -= 1;
        self.changed.notify_all();
        self.record.line(&format!("engine {} ends {attempt}", self.id));
        sent
    }

    fn work(
        &self,
        out: &mut TcpStream,
        request: &Message,
        attempt: &str,
        version: u64,
        until: f64,
    ) -> std::io::Result<()> {
        for _ in 0..self.manner.events {
            if self.record.now() >= until || (self.manner.drops && is_closed(out)) {
                return Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe));
            }
            std::thread::sleep(self.manner.pause);
        }
        let headers = [
            ("X-Attempt-Id", attempt.to_owned()),
            ("X-Server-Seal", format!("s.{attempt}")),
            ("X-Weight-Versions", version.to_string()),
        ];
        plain(out, request, "200 OK", "{\"done\":true}", &headers)
    }

    fn stream(
        &self,
        out: &mut TcpStream,
        attempt: &str,
        version: u64,
        until: f64,
    ) -> std::io::Result<()> {
        let (running, waiting) = {
            let state = self.state.lock().unwrap();
            (state.running, state.queue.len())
        };
        let mut sent = out.write_all(
            format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s.{attempt}\r\nX-Weight-Versions: {version}\r\nX-Instance-Load: {running},{waiting},{}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                self.manner.slots
            )
            .as_bytes(),
        );
        for event in 1..=self.manner.events {
            if self.record.now() >= until || (sent.is_err() && self.manner.drops) {
                return Err(std::io::Error::from(std::io::ErrorKind::BrokenPipe));
            }
            let text = format!("id: {event}\ndata: {attempt}\n\n");
            if sent.is_ok() {
                sent = out.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
            }
            std::thread::sleep(self.manner.pause);
        }
        sent?;
        out.write_all(b"0\r\n\r\n")
    }
}

/// Whether the other side has closed.
fn is_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let looked = stream.peek(&mut [0u8; 1]);
    let _ = stream.set_nonblocking(false);
    match looked {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    }
}

fn plain(
    out: &mut TcpStream,
    request: &Message,
    status: &str,
    body: &str,
    headers: &[(&str, String)],
) -> std::io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    if let Some(attempt) = request.header("x-attempt-id")
        && !headers.iter().any(|(name, _)| *name == "X-Attempt-Id")
    {
        head.push_str(&format!("X-Attempt-Id: {attempt}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str("Content-Type: application/json\r\n");
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    out.write_all(head.as_bytes())
}
