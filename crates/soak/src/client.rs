//! Clients: each sends its requests one after another over a connection until it is closed.

use crate::constants;
use crate::history::{Ending, Kind, Recorder, Request};
use crate::http::{ReadError, Reader};
use crate::machine::Machine;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// A client, which sends requests to the routers of random machines.
pub struct Client {
    /// Number of the client.
    pub number: usize,
    /// The machines whose routers it may connect to.
    pub machines: Arc<Vec<Arc<Machine>>>,
    /// Records its requests.
    pub recorder: Arc<Recorder>,
    /// True once it must stop sending requests.
    pub stop: Arc<AtomicBool>,
}

impl Client {
    /// Sends requests until told to stop; returns after the last response.
    pub async fn run(self, mut rng: fastrand::Rng) {
        let mut sent = 0;
        while !self.stop.load(Ordering::SeqCst) {
            let machine = &self.machines[rng.usize(0..self.machines.len())];
            match TcpStream::connect(machine.front_address()).await {
                Ok(connection) => {
                    self.use_connection(connection, machine.number(), &mut sent, &mut rng).await;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(rng.u64(20..100))).await,
            }
        }
    }

    /// Sends one request after another, until the connection is closed or the client must stop.
    async fn use_connection(
        &self,
        connection: TcpStream,
        machine: usize,
        sent: &mut usize,
        rng: &mut fastrand::Rng,
    ) {
        let (read, mut write) = connection.into_split();
        let mut reader = Reader::new(read);
        while !self.stop.load(Ordering::SeqCst) {
            *sent += 1;
            let attempt = format!("c{}-{sent}", self.number);
            let kind = Kind::VARIANTS[rng.usize(0..Kind::VARIANTS.len())];
            let request = request(kind, queue_ms(rng), &attempt, rng);
            if write.write_all(request.as_bytes()).await.is_err() {
                return;
            }
            let sent_at = self.recorder.now();
            let (ending, closes) = read_ending(&mut reader).await;
            let is_open = matches!(ending, Ending::Answered { .. }) && !closes;
            let ended = self.recorder.now();
            let request = Request { attempt, kind, machine, sent: sent_at, ended, ending };
            self.recorder.add(|history| history.requests.push(request));
            if !is_open {
                return;
            }
            tokio::time::sleep(Duration::from_millis(rng.u64(0..60))).await;
        }
    }
}

/// Reads how a request ended, and whether the connection closes.
async fn read_ending<R: tokio::io::AsyncRead + Unpin>(reader: &mut Reader<R>) -> (Ending, bool) {
    match tokio::time::timeout(constants::CLIENT_TIMEOUT, reader.message()).await {
        Ok(Ok(message)) => {
            let body = String::from_utf8_lossy(&message.body).into_owned();
            let closes = message.header("connection") == Some("close");
            (Ending::Answered { status: message.status(), body }, closes)
        }
        Ok(Err(error)) => (Ending::Closed(error), error != ReadError::Malformed),
        Err(_) => (Ending::TimedOut, true),
    }
}

/// Draws the time for which a request is queued. Most are short; a few exceed a router's grace period.
fn queue_ms(rng: &mut fastrand::Rng) -> u64 {
    match rng.u8(0..100) {
        0..85 => rng.u64(1..30),
        85..95 => rng.u64(300..2000),
        _ => rng.u64(2000..constants::MAX_QUEUE_TIME.as_millis() as u64),
    }
}

/// A request of a random tenant; the first part of its prompt is common to many.
fn request(kind: Kind, queue_ms: u64, attempt: &str, rng: &mut fastrand::Rng) -> String {
    let tenant = constants::TENANTS[rng.usize(0..constants::TENANTS.len())];
    let (shared, own) = (rng.usize(0..constants::SHARED_PARTS), rng.u32(..));
    format!(
        "POST /{}/{queue_ms} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {}\r\nX-Key: key-{tenant}\r\n\
         X-Model: {}\r\nX-Token-Count: 120,20\r\nX-Prompt-Prefix: a{shared}:100,{own:08x}:20\r\nContent-Length: 2\r\n\r\nhi",
        kind.path(),
        constants::HOST,
        constants::DEADLINE_MS,
        constants::MODEL,
    )
}
