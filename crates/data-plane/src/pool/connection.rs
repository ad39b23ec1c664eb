//! A connection to an engine and its states: [`IdleConnection`], [`PooledConnection`] (checked out for one request)
//! and [`RespondingConnection`]; then it is idle again, or closed by being dropped.

use super::EngineHandle;
use super::engine_stream::{EngineBody, EngineStream, IdleBytes};
use super::idle_timeout::IdleTimeout;
use crate::Router;
use fleet_core::constants;
use hyper::client::conn::http1::{Connection, SendRequest};
use hyper_util::rt::TokioIo;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// The body of an outgoing request, in one piece.
pub type RequestBody = http_body_util::Full<bytes::Bytes>;

/// Why there is no connection to an engine.
#[derive(Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum ConnectionError {
    /// could not connect: {0}
    Connect(fleet_core::transport::TransportError),
    /// all connections of this router's share are in use
    Full,
    /// the engine closed the connection at once
    Closed,
}

/// Proof that no byte of a request was sent.
#[derive(Debug)]
pub struct NotSent(());

/// Why sending a request gave no response.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SendError {
    /// the engine had closed the connection before anything was sent
    NotSent(NotSent),
    /// the connection failed after the request, or a part of it, was sent
    Uncertain,
    /// a reused idle connection was reset, perhaps closed by the engine before; the request may have run
    IdleReset,
    /// the engine sent bytes that are no response; the request may have run
    Malformed,
}

/// Counts an open connection to an engine until dropped.
struct ConnectionPermit(Arc<EngineHandle>);

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Since when a connection is idle; `None` while it is in use, and once this router closes it.
#[derive(Default)]
struct IdleSince(parking_lot::Mutex<Option<Instant>>);

struct EngineConnection {
    sender: SendRequest<RequestBody>,
    idle_bytes: Arc<IdleBytes>,
    permit: ConnectionPermit,
    idle_since: Arc<IdleSince>,
    idle_timeout: Arc<IdleTimeout>,
}

impl Drop for EngineConnection {
    fn drop(&mut self) {
        self.idle_since.0.lock().take();
    }
}

/// A connection that is kept open for reuse.
pub struct IdleConnection {
    inner: EngineConnection,
    since: Instant,
    expires_at: Instant,
}

/// A connection that is checked out for one request.
pub struct PooledConnection {
    inner: EngineConnection,
    /// How long it was idle before; `None` for a new connection.
    idle_time: Option<Duration>,
}

/// A connection on which a response has begun.
pub struct RespondingConnection {
    inner: EngineConnection,
    idle_limit: Option<Duration>,
}

impl IdleConnection {
    /// Whether the engine has not closed it and its idle time limit has not passed.
    pub fn is_open(&self, now: Instant) -> bool {
        now < self.expires_at && !self.inner.sender.is_closed()
    }

    /// Whether the previous exchange is complete, so that a request can be sent.
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

/// The requirements of a request on its connection.
pub struct CheckoutOptions<'a> {
    /// The service to which the engine belongs.
    pub service: &'a str,
    /// How many connections this router may have open to the engine.
    pub max_connections: u32,
    /// Whether the request may run more than once; if not, a connection that was idle for long is not reused.
    pub repeatable: bool,
}

/// Checks out the most recently used idle connection if it is suitable, otherwise opens a new one within the router's
/// share.
///
/// # Errors
///
/// The connection could not be opened, or the router's share is in use. Nothing was sent.
pub async fn checkout(
    router: &Router,
    engine: &Arc<EngineHandle>,
    options: CheckoutOptions<'_>,
) -> Result<PooledConnection, ConnectionError> {
    let now = Instant::now();
    let idle_timeout = router.idle_timeouts.for_service(options.service);
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
    let idle_bytes = Arc::<IdleBytes>::default();
    let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(constants::ENGINE_READ_BUFFER)
        .handshake(TokioIo::new(EngineStream::new(io, idle_bytes.clone())))
        .await
        .map_err(|_| ConnectionError::Closed)?;
    let idle_since = Arc::<IdleSince>::default();
    tokio::spawn(drive_connection(connection, idle_since.clone(), engine.clone()));
    sender.ready().await.map_err(|_| ConnectionError::Closed)?;
    Ok(PooledConnection {
        inner: EngineConnection { sender, idle_bytes, permit, idle_since, idle_timeout },
        idle_time: None,
    })
}

/// Counts one more connection. At the limit, closes the oldest idle connection to make room; `None` if there is none.
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

/// Drives the connection's I/O, and records if the engine closed it while it was idle.
async fn drive_connection(
    connection: Connection<TokioIo<EngineStream>, RequestBody>,
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
    /// Whether no request was sent on it before.
    pub fn is_new(&self) -> bool {
        self.idle_time.is_none()
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    ///
    /// The error states whether the engine may have read the request.
    pub async fn send(
        mut self,
        request: http::Request<RequestBody>,
    ) -> Result<(RespondingConnection, http::Response<EngineBody>), SendError> {
        if self.inner.sender.ready().await.is_err() {
            return Err(SendError::NotSent(NotSent(())));
        }
        self.inner.idle_bytes.reset();
        match self.inner.sender.try_send_request(request).await {
            Ok(response) => {
                if let Some(idle_time) = self.idle_time {
                    self.inner.idle_timeout.record_reuse(idle_time, Instant::now());
                }
                self.inner.idle_bytes.reset();
                let idle_limit = keep_alive_limit(response.headers());
                let idle_bytes = self.inner.idle_bytes.clone();
                let response = response.map(|body| EngineBody::new(body, idle_bytes));
                Ok((RespondingConnection { inner: self.inner, idle_limit }, response))
            }
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(SendError::NotSent(NotSent(()))),
                None if is_malformed(error.error()) => Err(SendError::Malformed),
                None => Err(self.uncertain_send_error()),
            },
        }
    }

    /// Attributes a failure on a reused connection to its idle time, unless that was too short, and closes all idle
    /// connections to the engine, which may have closed them as well.
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

/// Whether the engine sent bytes that are no response, or too many before a response head was complete.
fn is_malformed(error: &hyper::Error) -> bool {
    let cause = std::error::Error::source(error).and_then(|cause| cause.downcast_ref());
    error.is_parse()
        || cause
            .is_some_and(|cause: &std::io::Error| cause.kind() == std::io::ErrorKind::InvalidData)
}

/// How long the connection may be idle by the response headers, with a margin; `None` if the engine closes it.
fn keep_alive_limit(headers: &http::HeaderMap) -> Option<Duration> {
    let text =
        |name: http::HeaderName| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    let closes =
        text(http::header::CONNECTION).split(',').any(|t| t.trim().eq_ignore_ascii_case("close"));
    if closes {
        return None;
    }
    let timeout_s = headers.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|value| {
        value
            .split(',')
            .find_map(|param| param.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let Some(timeout_s) = timeout_s else { return Some(constants::IDLE_CONNECTION_TIMEOUT) };
    let idle_limit =
        Duration::from_secs(timeout_s).mul_f64(0.6).min(constants::IDLE_CONNECTION_TIMEOUT);
    (!idle_limit.is_zero()).then_some(idle_limit)
}

impl RespondingConnection {
    /// Returns the connection to the pool, after a response whose end was verified. Dropping it instead closes the
    /// connection.
    pub fn release(self) {
        let Some(idle_limit) = self.idle_limit else { return };
        if self.inner.sender.is_closed() {
            return;
        }
        let now = Instant::now();
        *self.inner.idle_since.0.lock() = Some(now);
        let engine = self.inner.permit.0.clone();
        engine.put_idle(IdleConnection {
            inner: self.inner,
            since: now,
            expires_at: now + idle_limit,
        });
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
