//! One connection to an engine: Idle, Leased, Streaming, then Reusable (idle again) or Spent (dropped).

use super::Seat;
use crate::Router;
use fleet_core::constants;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
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
}

/// Counts an open connection until dropped.
struct Open(Arc<Seat>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

struct Wire {
    sender: SendRequest<Sent>,
    open: Open,
}

/// A connection that nobody uses.
pub struct Idle {
    wire: Wire,
    until: Instant,
}

/// A connection for one request.
pub struct Leased {
    wire: Wire,
    is_new: bool,
}

/// A connection that an answer has begun on.
pub struct Streaming {
    wire: Wire,
    keep: Option<Duration>,
}

impl Idle {
    /// May the next request go out on it?
    pub fn is_usable(&self, now: Instant) -> bool {
        now < self.until && !self.wire.sender.is_closed() && self.wire.sender.is_ready()
    }
}

/// An idle connection if there is one, else a new one within this router's share.
pub async fn lease(d: &Router, seat: &Arc<Seat>, share: u32) -> Result<Leased, ConnectionError> {
    if let Some(idle) = seat.take_idle(Instant::now()) {
        return Ok(Leased { wire: idle.wire, is_new: false });
    }
    connect(d, seat, share).await
}

async fn connect(d: &Router, seat: &Arc<Seat>, share: u32) -> Result<Leased, ConnectionError> {
    let open = Open(seat.clone());
    if seat.open.fetch_add(1, Ordering::Relaxed) >= share {
        return Err(ConnectionError::Full);
    }
    let io = fleet_core::link::connect(d.node.ip, seat.address, constants::CONNECT_LIMIT)
        .await
        .map_err(ConnectionError::Connect)?;
    d.counters.connections.fetch_add(1, Ordering::Relaxed);
    let (mut sender, conn) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(32 << 10)
        .handshake(hyper_util::rt::TokioIo::new(io))
        .await
        .map_err(|_| ConnectionError::Closed)?;
    tokio::spawn(conn);
    sender.ready().await.map_err(|_| ConnectionError::Closed)?;
    Ok(Leased { wire: Wire { sender, open }, is_new: true })
}

impl Leased {
    /// No request went out on it before.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Gives the answer's head, or says whether the request may have been read.
    pub async fn send(
        mut self,
        rq: http::Request<Sent>,
    ) -> Result<(Streaming, http::Response<Incoming>), SendError> {
        if self.wire.sender.ready().await.is_err() {
            return Err(SendError::NotSent(NotSent(())));
        }
        match self.wire.sender.try_send_request(rq).await {
            Ok(res) => {
                let keep = keep_for(res.headers());
                Ok((Streaming { wire: self.wire, keep }, res))
            }
            Err(mut error) => match error.take_message() {
                Some(_unsent) => Err(SendError::NotSent(NotSent(()))),
                None => Err(SendError::Uncertain),
            },
        }
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
    let told = h.get("keep-alive").and_then(|v| v.to_str().ok()).and_then(|v| {
        v.split(',').find_map(|p| p.trim().strip_prefix("timeout=")?.parse::<u64>().ok())
    });
    let Some(s) = told else { return Some(constants::IDLE_LIMIT) };
    let keep = Duration::from_secs(s).mul_f64(0.6).min(constants::IDLE_LIMIT);
    (!keep.is_zero()).then_some(keep)
}

impl Streaming {
    /// The answer ended exactly: the connection may serve again. Dropping it instead spends it.
    pub fn end(self) {
        let Some(keep) = self.keep else { return };
        if self.wire.sender.is_closed() {
            return;
        }
        let seat = self.wire.open.0.clone();
        seat.put_idle(Idle { wire: self.wire, until: Instant::now() + keep });
    }
}

#[cfg(test)]
#[path = "connection_tests.rs"]
mod tests;
