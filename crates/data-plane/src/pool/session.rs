//! One connection to an engine: Idle, Leased, Streaming, then Reusable (idle again) or Spent (dropped).

use super::Seat;
use crate::Delivery;
use fleet_core::constants as k;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

pub type Sent = http_body_util::Full<bytes::Bytes>;

#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SessionProblem {
    /// no connection came up: {0}
    Connect(fleet_core::link::LinkProblem),
    /// no connection is left for this router
    Full,
    /// the engine closed before anything was sent
    Unsent,
    /// broke off after the request was sent
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

pub struct Idle {
    wire: Wire,
    until: Instant,
}

pub struct Leased {
    wire: Wire,
}

/// An answer has begun on it.
pub struct Streaming {
    wire: Wire,
    keep: Option<Duration>,
}

impl Idle {
    pub fn is_usable(&self, now: Instant) -> bool {
        now < self.until && !self.wire.sender.is_closed() && self.wire.sender.is_ready()
    }
}

/// An idle connection if there is one, else a new one within this router's share.
pub async fn lease(d: &Delivery, seat: &Arc<Seat>, share: u32) -> Result<Leased, SessionProblem> {
    if let Some(i) = seat.take_idle(Instant::now()) {
        return Ok(Leased { wire: i.wire });
    }
    let open = Open(seat.clone());
    if seat.open.fetch_add(1, Ordering::Relaxed) >= share {
        return Err(SessionProblem::Full);
    }
    let io = fleet_core::link::connect(d.node.ip, seat.address, k::CONNECT_LIMIT)
        .await
        .map_err(SessionProblem::Connect)?;
    d.counters.sessions.fetch_add(1, Ordering::Relaxed);
    let (sender, conn) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(32 << 10)
        .handshake(hyper_util::rt::TokioIo::new(io))
        .await
        .map_err(|_| SessionProblem::Unsent)?;
    tokio::spawn(conn);
    Ok(Leased { wire: Wire { sender, open } })
}

impl Leased {
    /// Gives the answer's head, or says whether the request may have been read.
    pub async fn send(
        mut self,
        rq: http::Request<Sent>,
    ) -> Result<(Streaming, http::Response<Incoming>), SessionProblem> {
        if self.wire.sender.ready().await.is_err() {
            return Err(SessionProblem::Unsent);
        }
        match self.wire.sender.try_send_request(rq).await {
            Ok(res) => {
                let keep = keep_for(res.headers());
                Ok((Streaming { wire: self.wire, keep }, res))
            }
            Err(mut e) => match e.take_message() {
                Some(_) => Err(SessionProblem::Unsent),
                None => Err(SessionProblem::Uncertain),
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
    let Some(s) = told else { return Some(k::IDLE_LIMIT) };
    let keep = Duration::from_secs(s).mul_f64(0.6).min(k::IDLE_LIMIT);
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
mod tests {
    use super::*;

    #[test]
    fn keeps_as_long_as_the_engine_says() {
        let h = |pairs: &[(&'static str, &'static str)]| {
            let mut m = http::HeaderMap::new();
            for (n, v) in pairs {
                m.insert(*n, http::HeaderValue::from_static(v));
            }
            keep_for(&m)
        };
        assert_eq!(h(&[]), Some(k::IDLE_LIMIT));
        assert_eq!(h(&[("connection", "x, Close")]), None);
        assert_eq!(h(&[("keep-alive", "timeout=2, max=5")]), Some(Duration::from_millis(1200)));
        assert_eq!(h(&[("keep-alive", "timeout=0")]), None);
        assert_eq!(h(&[("keep-alive", "garbage")]), Some(k::IDLE_LIMIT));
    }
}
