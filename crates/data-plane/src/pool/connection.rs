//! One connection to an engine: Idle, Leased, Streaming, then Reusable (idle again) or Spent (dropped).

use super::EngineHandle;
use super::idle_timeout::IdleTimeout;
use crate::Router;
use fleet_core::constants;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The body of a request as it goes out: whole.
pub type Sent = http_body_util::Full<bytes::Bytes>;

/// Why there is no connection to an engine.
#[derive(Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ConnectionError {
    /// no connection came up: {0}
    Connect(fleet_core::transport::TransportError),
    /// no connection is left for this router
    Full,
    /// the engine closed it at once
    Closed,
}

/// Proof that not a byte of a request went out.
#[derive(Debug)]
pub struct NotSent(());

/// Why a send has no answer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SendError {
    /// the engine had closed before anything was sent
    NotSent(NotSent),
    /// broke off after the request, or a part of it, was sent
    Uncertain,
    /// reset by an engine that had perhaps forgotten the idle connection; the request may have run
    IdleReset,
}

/// Counts an open connection until dropped.
struct Open(Arc<EngineHandle>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Since when a connection is idle; none while it is used, and once we close it ourselves.
#[derive(Default)]
struct Resting(parking_lot::Mutex<Option<Instant>>);

struct Wire {
    sender: SendRequest<Sent>,
    open: Open,
    resting: Arc<Resting>,
    idle_timeout: Arc<IdleTimeout>,
}

impl Drop for Wire {
    fn drop(&mut self) {
        self.resting.0.lock().take();
    }
}

/// A connection that nobody uses.
pub struct Idle {
    wire: Wire,
    since: Instant,
    until: Instant,
}

/// A connection for one request.
pub struct PooledConnection {
    wire: Wire,
    /// how long it was idle before; none for a new one
    idle_time: Option<Duration>,
}

/// A connection that an answer has begun on.
pub struct Streaming {
    wire: Wire,
    keep: Option<Duration>,
}

impl Idle {
    /// Neither closed by the engine nor idle for as long as it was to be kept.
    pub fn is_open(&self, now: Instant) -> bool {
        now < self.until && !self.wire.sender.is_closed()
    }

    /// Whatever went over it before is over.
    pub fn is_ready(&self) -> bool {
        self.wire.sender.is_ready()
    }

    /// How long it has been idle.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.duration_since(self.since)
    }

    fn checkout(self, now: Instant) -> PooledConnection {
        self.wire.resting.0.lock().take();
        PooledConnection { idle_time: Some(self.idle_time(now)), wire: self.wire }
    }
}

/// What a connection is wanted for.
pub struct Checkout<'a> {
    /// the service that the engine belongs to
    pub service: &'a str,
    /// connections to the engine that this router may have open
    pub share: u32,
    /// whether the request may run twice
    pub repeatable: bool,
}

/// The idle connection that was used last, if it is fit, else a new one within the router's share.
///
/// # Errors
///
/// No connection came up, or the router's share is used up; nothing was sent.
pub async fn checkout(
    router: &Router,
    engine: &Arc<EngineHandle>,
    checkout: Checkout<'_>,
) -> Result<PooledConnection, ConnectionError> {
    let now = Instant::now();
    let idle_timeout = router.idle_timeouts.of(checkout.service);
    let longest =
        if checkout.repeatable { Duration::MAX } else { idle_timeout.safe_idle_time(now) };
    if let Some(idle) = engine.checkout_idle(now, longest) {
        return Ok(idle.checkout(now));
    }
    connect(router, engine, idle_timeout, checkout.share).await
}

async fn connect(
    router: &Router,
    engine: &Arc<EngineHandle>,
    idle_timeout: Arc<IdleTimeout>,
    share: u32,
) -> Result<PooledConnection, ConnectionError> {
    let open = open_within(engine, share).ok_or(ConnectionError::Full)?;
    let io = fleet_core::link::connect(router.node.ip, engine.address, constants::CONNECT_TIMEOUT)
        .await
        .map_err(ConnectionError::Connect)?;
    router.counters.connections.fetch_add(1, Ordering::Relaxed);
    let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(constants::ENGINE_READ_BUFFER)
        .handshake(TokioIo::new(io))
        .await
        .map_err(|_| ConnectionError::Closed)?;
    let resting = Arc::<Resting>::default();
    tokio::spawn(drive(connection, resting.clone(), engine.clone()));
    sender.ready().await.map_err(|_| ConnectionError::Closed)?;
    Ok(PooledConnection { wire: Wire { sender, open, resting, idle_timeout }, idle_time: None })
}

/// Counts one more connection; an idle one that is not fit gives way where there is no room.
fn open_within(engine: &Arc<EngineHandle>, share: u32) -> Option<Open> {
    loop {
        let before = engine.open.fetch_add(1, Ordering::Relaxed);
        let open = Open(engine.clone());
        if before < share {
            return Some(open);
        }
        drop(open);
        if !engine.drop_oldest_idle() {
            return None;
        }
    }
}

/// Moves the bytes, and notes an end that the engine made while nobody used the connection.
async fn drive(
    connection: Connection<TokioIo<TcpStream>, Sent>,
    resting: Arc<Resting>,
    engine: Arc<EngineHandle>,
) {
    let _ = connection.await;
    let since = resting.0.lock().take();
    if let Some(since) = since {
        engine.suspect_idle_close(since.elapsed());
    }
}

impl PooledConnection {
    /// No request went out on it before.
    pub fn is_new(&self) -> bool {
        self.idle_time.is_none()
    }

    /// Gives the answer's head, or says whether the request may have been read.
    ///
    /// # Errors
    ///
    /// Says whether the engine may have read the request.
    pub async fn send(
        mut self,
        request: http::Request<Sent>,
    ) -> Result<(Streaming, http::Response<Incoming>), SendError> {
        if self.wire.sender.ready().await.is_err() {
            return Err(SendError::NotSent(NotSent(())));
        }
        match self.wire.sender.try_send_request(request).await {
            Ok(response) => {
                if let Some(idle_time) = self.idle_time {
                    self.wire.idle_timeout.record_reuse(idle_time, Instant::now());
                }
                let keep = keep_for(response.headers());
                Ok((Streaming { wire: self.wire, keep }, response))
            }
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(SendError::NotSent(NotSent(()))),
                None => Err(self.uncertain_end()),
            },
        }
    }

    /// A break after an idle time is blamed on that time; all that were idle for longer are then dropped too.
    fn uncertain_end(self) -> SendError {
        let Some(idle_time) =
            self.idle_time.filter(|idle_time| *idle_time >= constants::IDLE_TIMEOUT_MIN)
        else {
            return SendError::Uncertain;
        };
        let engine = &self.wire.open.0;
        engine.suspect_idle_close(idle_time);
        engine.drop_all_idle();
        SendError::IdleReset
    }
}

/// How long the engine lets it idle; none if it closes.
fn keep_for(h: &http::HeaderMap) -> Option<Duration> {
    let text = |n: http::HeaderName| h.get(n).and_then(|v| v.to_str().ok()).unwrap_or("");
    let closes =
        text(http::header::CONNECTION).split(',').any(|t| t.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let reported = h.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|v| {
        v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let Some(s) = reported else { return Some(constants::IDLE_CONNECTION_TIMEOUT) };
    let keep = Duration::from_secs(s).mul_f64(0.6).min(constants::IDLE_CONNECTION_TIMEOUT);
    (!keep.is_zero()).then_some(keep)
}

impl Streaming {
    /// The answer ended exactly: the connection may serve again. Dropping it instead spends it.
    pub fn end(self) {
        let Some(keep) = self.keep else { return };
        if self.wire.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        *self.wire.resting.0.lock() = Some(now);
        let engine = self.wire.open.0.clone();
        engine.put_idle(Idle { wire: self.wire, since: now, until: now + keep });
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
