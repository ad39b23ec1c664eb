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
pub type RequestBody = http_body_util::Full<bytes::Bytes>;

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
struct ConnectionPermit(Arc<EngineHandle>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Since when a connection is idle; none while it is used, and once we close it ourselves.
#[derive(Default)]
struct IdleSince(parking_lot::Mutex<Option<Instant>>);

struct EngineConnection {
    sender: SendRequest<RequestBody>,
    permit: ConnectionPermit,
    idle_since: Arc<IdleSince>,
    idle_timeout: Arc<IdleTimeout>,
}

impl Drop for EngineConnection {
    fn drop(&mut self) {
        self.idle_since.0.lock().take();
    }
}

/// A connection that nobody uses.
pub struct IdleConnection {
    inner: EngineConnection,
    since: Instant,
    until: Instant,
}

/// A connection for one request.
pub struct PooledConnection {
    inner: EngineConnection,
    /// how long it was idle before; none for a new one
    idle_time: Option<Duration>,
}

/// A connection that an answer has begun on.
pub struct RespondingConnection {
    inner: EngineConnection,
    idle_limit: Option<Duration>,
}

impl IdleConnection {
    /// Neither closed by the engine nor idle for as long as it was to be kept.
    pub fn is_open(&self, now: Instant) -> bool {
        now < self.until && !self.inner.sender.is_closed()
    }

    /// Whatever went over it before is over.
    pub fn is_ready(&self) -> bool {
        self.inner.sender.is_ready()
    }

    /// How long it has been idle.
    pub fn idle_time(&self, now: Instant) -> Duration {
        now.duration_since(self.since)
    }

    fn checkout(self, now: Instant) -> PooledConnection {
        self.inner.idle_since.0.lock().take();
        PooledConnection { idle_time: Some(self.idle_time(now)), inner: self.inner }
    }
}

/// What a connection is wanted for.
pub struct CheckoutOptions<'a> {
    /// the service that the engine belongs to
    pub service: &'a str,
    /// connections to the engine that this router may have open
    pub max_connections: u32,
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
    options: CheckoutOptions<'_>,
) -> Result<PooledConnection, ConnectionError> {
    let now = Instant::now();
    let idle_timeout = router.idle_timeouts.of(options.service);
    let max_idle_time =
        if options.repeatable { Duration::MAX } else { idle_timeout.safe_idle_time(now) };
    if let Some(idle) = engine.checkout_idle(now, max_idle_time) {
        return Ok(idle.checkout(now));
    }
    connect(router, engine, idle_timeout, options.max_connections).await
}

async fn connect(
    router: &Router,
    engine: &Arc<EngineHandle>,
    idle_timeout: Arc<IdleTimeout>,
    max_connections: u32,
) -> Result<PooledConnection, ConnectionError> {
    let permit = acquire_permit(engine, max_connections).ok_or(ConnectionError::Full)?;
    let io = fleet_core::link::connect(router.node.ip, engine.address, constants::CONNECT_TIMEOUT)
        .await
        .map_err(ConnectionError::Connect)?;
    router.counters.engine_connections.fetch_add(1, Ordering::Relaxed);
    let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(constants::ENGINE_READ_BUFFER)
        .handshake(TokioIo::new(io))
        .await
        .map_err(|_| ConnectionError::Closed)?;
    let idle_since = Arc::<IdleSince>::default();
    tokio::spawn(drive_connection(connection, idle_since.clone(), engine.clone()));
    sender.ready().await.map_err(|_| ConnectionError::Closed)?;
    Ok(PooledConnection {
        inner: EngineConnection { sender, permit, idle_since, idle_timeout },
        idle_time: None,
    })
}

/// Counts one more connection; an idle one that is not fit gives way where there is no room.
fn acquire_permit(engine: &Arc<EngineHandle>, max_connections: u32) -> Option<ConnectionPermit> {
    loop {
        let before = engine.open_connections.fetch_add(1, Ordering::Relaxed);
        let permit = ConnectionPermit(engine.clone());
        if before < max_connections {
            return Some(permit);
        }
        drop(permit);
        if !engine.drop_oldest_idle() {
            return None;
        }
    }
}

/// Moves the bytes, and notes an end that the engine made while nobody used the connection.
async fn drive_connection(
    connection: Connection<TokioIo<TcpStream>, RequestBody>,
    idle_since: Arc<IdleSince>,
    engine: Arc<EngineHandle>,
) {
    let _ = connection.await;
    let since = idle_since.0.lock().take();
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
        request: http::Request<RequestBody>,
    ) -> Result<(RespondingConnection, http::Response<Incoming>), SendError> {
        if self.inner.sender.ready().await.is_err() {
            return Err(SendError::NotSent(NotSent(())));
        }
        match self.inner.sender.try_send_request(request).await {
            Ok(response) => {
                if let Some(idle_time) = self.idle_time {
                    self.inner.idle_timeout.record_reuse(idle_time, Instant::now());
                }
                let idle_limit = keep_alive_limit(response.headers());
                Ok((RespondingConnection { inner: self.inner, idle_limit }, response))
            }
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(SendError::NotSent(NotSent(()))),
                None => Err(self.uncertain_send_error()),
            },
        }
    }

    /// A break after an idle time is blamed on that time; all that were idle for longer are then dropped too.
    fn uncertain_send_error(self) -> SendError {
        let Some(idle_time) =
            self.idle_time.filter(|idle_time| *idle_time >= constants::IDLE_TIMEOUT_MIN)
        else {
            return SendError::Uncertain;
        };
        let engine = &self.inner.permit.0;
        engine.suspect_idle_close(idle_time);
        engine.drop_all_idle();
        SendError::IdleReset
    }
}

/// How long the engine lets it idle; none if it closes.
fn keep_alive_limit(h: &http::HeaderMap) -> Option<Duration> {
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
    let idle_limit = Duration::from_secs(s).mul_f64(0.6).min(constants::IDLE_CONNECTION_TIMEOUT);
    (!idle_limit.is_zero()).then_some(idle_limit)
}

impl RespondingConnection {
    /// The answer ended exactly: the connection may serve again. Dropping it instead spends it.
    pub fn release(self) {
        let Some(idle_limit) = self.idle_limit else { return };
        if self.inner.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        *self.inner.idle_since.0.lock() = Some(now);
        let engine = self.inner.permit.0.clone();
        engine.put_idle(IdleConnection { inner: self.inner, since: now, until: now + idle_limit });
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
