//! Calls to engines and the store: one kept connection each.

use fleet_core::constants;
use fleet_core::transport::{Tcp, Transport, TransportError};
use http_body_util::BodyExt;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Why a call gave no answer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum OutsideError {
    /// cannot connect: {0}
    Connect(TransportError),
    /// the call broke off
    Broken,
    /// no answer in time
    Late,
    /// the answer can't be read
    Unreadable,
}

type Body = http_body_util::Full<bytes::Bytes>;

/// A connection to one address that is kept between calls.
pub struct Line {
    transport: Arc<dyn Transport>,
    own: Ipv4Addr,
    to: SocketAddr,
    sender: Option<hyper::client::conn::http1::SendRequest<Body>>,
}

/// What was answered, read whole.
pub struct Answer {
    /// the answer's status
    pub status: http::StatusCode,
    /// the answer's body
    pub body: bytes::Bytes,
    /// where a node that doesn't answer itself points to
    pub location: Option<String>,
}

impl Line {
    /// A line over TCP; it connects with the first call.
    pub fn new(own: Ipv4Addr, to: SocketAddr) -> Self {
        Self::over(Tcp::shared(), own, to)
    }

    /// As `new`, over any transport.
    pub fn over(transport: Arc<dyn Transport>, own: Ipv4Addr, to: SocketAddr) -> Self {
        Line { transport, own, to, sender: None }
    }

    async fn sender(
        &mut self,
    ) -> Result<hyper::client::conn::http1::SendRequest<Body>, OutsideError> {
        if let Some(mut s) = self.sender.take()
            && s.ready().await.is_ok()
        {
            return Ok(s);
        }
        let io = self
            .transport
            .connect(self.own, self.to, constants::CONNECT_LIMIT)
            .await
            .map_err(OutsideError::Connect)?;
        let (s, conn) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(64 << 10)
            .handshake(hyper_util::rt::TokioIo::new(io))
            .await
            .map_err(|_| OutsideError::Broken)?;
        tokio::spawn(conn);
        Ok(s)
    }

    /// Sends one request and reads its answer whole, both within the limit.
    pub async fn call(
        &mut self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Answer, OutsideError> {
        tokio::time::timeout(limit, self.exchange(method, path, headers, body))
            .await
            .map_err(|_| OutsideError::Late)?
    }

    async fn exchange(
        &mut self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Answer, OutsideError> {
        let mut sender = self.sender().await?;
        let mut req = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.to.to_string());
        for (n, v) in headers {
            req = req.header(*n, *v);
        }
        if !body.is_empty() {
            req = req.header(http::header::CONTENT_TYPE, "application/json");
        }
        let req = req.body(Body::new(body.into())).map_err(|_| OutsideError::Unreadable)?;
        let res = sender.send_request(req).await.map_err(|_| OutsideError::Broken)?;
        let status = res.status();
        let location = res.headers().get(http::header::LOCATION);
        let location = location.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = res.into_body().collect().await.map_err(|_| OutsideError::Broken)?.to_bytes();
        self.sender = Some(sender);
        Ok(Answer { status, body, location })
    }
}
