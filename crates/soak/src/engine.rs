//! Simulated engines.
//!
//! An engine queues each request for the time given in its path, and then runs it; it drops a queued request whose
//! connection closes, and turns the queue away when it is ordered to load other weights. It continues to serve after its
//! departure, so that requests which arrive too late are recorded.

use crate::constants;
use crate::engine_model::EngineModel;
use crate::history::{Departure, EngineEvent, Kind, ModelRun, Recorder};
use crate::http::{self, Message, Reader};
use crate::machine::RunContext;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// How an engine announces its departure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announcement {
    /// By heartbeats with the state `draining`.
    Drain,
    /// By a deregistration without a drain.
    Deregister,
}

/// A simulated engine.
pub struct Engine {
    id: String,
    recorder: Arc<Recorder>,
    calls: Arc<Heartbeats>,
    model: Arc<EngineModel>,
    is_departing: AtomicBool,
}

/// What became of a request in the queue.
enum Admission {
    /// It may begin.
    Admitted,
    /// The engine turned it away with this status, and will not run it.
    TurnedAway(&'static str),
    /// Its connection closed.
    Dropped,
}

impl Engine {
    /// Starts an engine with weights of this version.
    ///
    /// # Errors
    ///
    /// If it cannot listen on its address.
    pub async fn start(
        number: usize,
        version: u64,
        context: &RunContext,
    ) -> std::io::Result<Arc<Engine>> {
        let address = context.engine_address(number);
        let listener = TcpListener::bind(address).await?;
        let id = format!("i-{number:08x}");
        let model = EngineModel::new(version);
        let controllers = context.control_addresses();
        let engine = Arc::new(Engine {
            calls: Heartbeats::new(id.clone(), address, controllers, Some(model.clone())),
            model,
            id,
            recorder: context.recorder.clone(),
            is_departing: AtomicBool::new(false),
        });
        let serving = engine.clone();
        tokio::spawn(async move {
            while let Ok((connection, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(connection));
            }
        });
        Ok(engine)
    }

    async fn serve(self: Arc<Engine>, connection: TcpStream) {
        let (read, mut write) = connection.into_split();
        let mut reader = Reader::new(read);
        while let Ok(request) = reader.message().await {
            let responded = if request.path().starts_with("/anisedyke/") {
                self.answer_controller(&mut write, &request).await
            } else {
                let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
                self.recorder.add(|history| history.arrivals.push(self.event(&attempt)));
                match self.wait_in_queue(&mut reader, &request).await {
                    Admission::Admitted => self.execute(&mut write, &request, &attempt).await,
                    Admission::TurnedAway(status) => turn_away(&mut write, status, &attempt).await,
                    Admission::Dropped => return,
                }
            };
            if responded.is_err() {
                return;
            }
        }
    }

    /// Waits for the time that the request gives; drops it when its connection closes.
    async fn wait_in_queue(
        &self,
        reader: &mut Reader<OwnedReadHalf>,
        request: &Message,
    ) -> Admission {
        if !self.model.accepts(request) {
            return Admission::TurnedAway("421 Misdirected Request");
        }
        tokio::select! {
            biased;
            () = self.model.loading() => Admission::TurnedAway("503 Loading"),
            () = tokio::time::sleep(Duration::from_millis(queue_ms(request))) => Admission::Admitted,
            () = reader.wait_for_activity() => Admission::Dropped,
        }
    }

    async fn execute(
        &self,
        write: &mut OwnedWriteHalf,
        request: &Message,
        attempt: &str,
    ) -> std::io::Result<()> {
        let (_running, begun) = self.model.begin(request);
        let run = ModelRun {
            attempt: attempt.to_owned(),
            engine: self.id.clone(),
            at: self.recorder.now(),
            tenant: request.header("x-tenant").unwrap_or("").to_owned(),
            begun,
        };
        self.recorder.add(|history| {
            history.executions.push(self.event(attempt));
            history.model_runs.push(run);
        });
        self.respond(write, request, attempt).await
    }

    /// Answers reports and orders; other calls of controllers get a 404.
    async fn answer_controller(
        &self,
        write: &mut OwnedWriteHalf,
        request: &Message,
    ) -> std::io::Result<()> {
        let is_other_instance =
            request.header("x-target-instance").is_some_and(|instance| instance != self.id);
        let (status, body) = match request.path() {
            "/anisedyke/report" => (200, self.model.report()),
            "/anisedyke/order" if is_other_instance => (421, "{}".to_owned()),
            "/anisedyke/order" => (self.model.order(&request.body), "{}".to_owned()),
            _ => (404, "{}".to_owned()),
        };
        let length = body.len();
        let response = format!(
            "HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        write.write_all(response.as_bytes()).await
    }

    fn event(&self, attempt: &str) -> EngineEvent {
        let at = self.recorder.now();
        EngineEvent { attempt: attempt.to_owned(), engine: self.id.clone(), at }
    }

    async fn respond(
        &self,
        write: &mut OwnedWriteHalf,
        request: &Message,
        attempt: &str,
    ) -> std::io::Result<()> {
        let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\n");
        let segment = request.path().split('/').nth(1);
        let is_stream = |kind: &Kind| kind.is_stream() && segment == Some(kind.path());
        if !Kind::VARIANTS.iter().any(is_stream) {
            let body = format!("{attempt} {}", self.id);
            let length = body.len();
            let response = format!("{head}Content-Length: {length}\r\n\r\n{body}");
            return write.write_all(response.as_bytes()).await;
        }
        let head =
            format!("{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        write.write_all(head.as_bytes()).await?;
        for number in 1..=constants::STREAM_EVENTS {
            let event = format!("id: {number}\ndata: {attempt} {}\n\n", self.id);
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            write.write_all(chunk.as_bytes()).await?;
            tokio::time::sleep(constants::EVENT_INTERVAL).await;
        }
        write.write_all(b"0\r\n\r\n").await
    }

    /// Sends heartbeats, some of them delayed, until the engine departs.
    pub async fn send_heartbeats(self: Arc<Engine>, mut rng: fastrand::Rng) {
        while !self.is_departing.load(Ordering::SeqCst) {
            let call = self.calls.next_call_seq();
            let controller = self.calls.random_controller(&mut rng);
            let is_delayed = rng.u8(0..5) == 0;
            let calls = self.calls.clone();
            let max_delay = constants::MAX_HEARTBEAT_DELAY.as_millis() as u64;
            let delay = if is_delayed {
                Duration::from_millis(rng.u64(1000..max_delay))
            } else {
                Duration::ZERO
            };
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                calls.heartbeat(controller, "ready", call).await;
            });
            tokio::time::sleep(constants::HEARTBEAT_INTERVAL).await;
        }
    }

    /// Announces the departure to random controllers until one acknowledges it.
    pub async fn depart(&self, announcement: Announcement, mut rng: fastrand::Rng) {
        self.is_departing.store(true, Ordering::SeqCst);
        loop {
            let call = self.calls.next_call_seq();
            let controller = self.calls.random_controller(&mut rng);
            let is_acknowledged = match announcement {
                Announcement::Drain => self.calls.heartbeat(controller, "draining", call).await,
                Announcement::Deregister => self.calls.deregister(controller, call).await,
            };
            if is_acknowledged {
                let acknowledged = self.recorder.now();
                let departure = Departure { engine: self.id.clone(), acknowledged };
                return self.recorder.add(|history| history.departures.push(departure));
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Calls of an engine to controllers.
pub struct Heartbeats {
    id: String,
    address: SocketAddr,
    control_addresses: Vec<SocketAddr>,
    /// `None` for an engine that names no model.
    model: Option<Arc<EngineModel>>,
    call_seq: AtomicU64,
}

impl Heartbeats {
    /// Prepares the calls of an engine that has made none.
    pub fn new(
        id: String,
        address: SocketAddr,
        control_addresses: Vec<SocketAddr>,
        model: Option<Arc<EngineModel>>,
    ) -> Arc<Heartbeats> {
        let call_seq = AtomicU64::new(0);
        Arc::new(Heartbeats { id, address, control_addresses, model, call_seq })
    }

    /// Sends heartbeats, each to a random controller, for as long as the run lasts.
    pub async fn send_forever(self: Arc<Heartbeats>, mut rng: fastrand::Rng) {
        loop {
            let controller = self.random_controller(&mut rng);
            self.heartbeat(controller, "ready", self.next_call_seq()).await;
            tokio::time::sleep(constants::HEARTBEAT_INTERVAL).await;
        }
    }

    fn random_controller(&self, rng: &mut fastrand::Rng) -> SocketAddr {
        self.control_addresses[rng.usize(0..self.control_addresses.len())]
    }

    fn next_call_seq(&self) -> u64 {
        self.call_seq.fetch_add(1, Ordering::SeqCst) + 1
    }

    async fn heartbeat(&self, controller: SocketAddr, state: &str, call: u64) -> bool {
        let models: Vec<_> =
            self.model.iter().map(|model| model.model_entry(model.version())).collect();
        let body = serde_json::json!({"service": constants::SERVICE, "address": self.address.to_string(),
            "zone": "z1", "revision": "v1", "slots": 64, "state": state, "coldLeftMs": 0, "models": models,
            "callSeq": call});
        self.call(controller, "Heartbeat", &body.to_string()).await
    }

    async fn deregister(&self, controller: SocketAddr, call: u64) -> bool {
        self.call(controller, "Deregister", &format!("{{\"callSeq\":{call}}}")).await
    }

    async fn call(&self, controller: SocketAddr, name: &str, body: &str) -> bool {
        let head = format!("POST /anisedyke/Instances.{name}/{} HTTP/1.1\r\n", self.id);
        let response = http::call(controller, &head, body, constants::CALLER_TIMEOUT).await;
        response.is_some_and(|response| response.status() == 200)
    }
}

/// Answers that the request has not been run, and never will be.
async fn turn_away(write: &mut OwnedWriteHalf, status: &str, attempt: &str) -> std::io::Result<()> {
    let response = format!(
        "HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    );
    write.write_all(response.as_bytes()).await
}

/// The time in milliseconds that a request spends in the queue, given by the last segment of its path.
fn queue_ms(request: &Message) -> u64 {
    request.path().rsplit('/').next().and_then(|part| part.parse().ok()).unwrap_or(0)
}
