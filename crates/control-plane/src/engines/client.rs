//! Calls to engines and the store: one kept connection each.

use fleet_core::constants;
use fleet_core::transport::{Tcp, Transport, TransportError};
use http_body_util::BodyExt;
use hyper::client::conn::http1::SendRequest;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Why a call got no answer.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CallError {
    /// cannot connect: {0}
    Connect(TransportError),
    /// the call broke off
    Broken,
    /// no answer in time
    Timeout,
    /// the answer can't be read
    Unreadable,
}

type Body = http_body_util::Full<bytes::Bytes>;

/// Ends with a reset when dropped: bytes that have not got through by then never do, be it that the call
/// was given up behind a cut or that the process was killed.
struct Connection {
    sender: SendRequest<Body>,
    task: tokio::task::AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    async fn open(
        transport: &dyn Transport,
        own: Ipv4Addr,
        to: SocketAddr,
    ) -> Result<Connection, CallError> {
        let io = transport
            .connect(own, to, constants::CONNECT_TIMEOUT)
            .await
            .map_err(CallError::Connect)?;
        io.reset_on_close().map_err(|_| CallError::Broken)?;
        let (sender, conn) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(constants::ENGINE_CLIENT_BUFFER)
            .handshake(hyper_util::rt::TokioIo::new(io))
            .await
            .map_err(|_| CallError::Broken)?;
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }
}

/// A way to one engine or store, or to a controller; one call at a time.
pub struct EngineClient {
    transport: Arc<dyn Transport>,
    own: Ipv4Addr,
    to: SocketAddr,
    connection: Option<Connection>,
    most: usize,
}

/// A whole answer.
pub struct Answer {
    /// its status
    pub status: http::StatusCode,
    /// its body
    pub body: bytes::Bytes,
    /// where a node that doesn't answer itself points to
    pub location: Option<String>,
}

impl EngineClient {
    /// To this address over TCP, from the machine's own; connects with the first call.
    pub fn new(own: Ipv4Addr, to: SocketAddr) -> Self {
        Self::over(Tcp::shared(), own, to)
    }

    /// As `new`, over any transport.
    pub fn over(transport: Arc<dyn Transport>, own: Ipv4Addr, to: SocketAddr) -> Self {
        EngineClient { transport, own, to, connection: None, most: constants::FRAME_MAX }
    }

    /// Reads no answer of more bytes than this.
    pub fn with_most(self, most: usize) -> Self {
        EngineClient { most, ..self }
    }

    /// Has a connection ready for [`EngineClient::send`].
    ///
    /// # Errors
    ///
    /// No connection came up within the limit; nothing was sent.
    pub async fn open(&mut self) -> Result<(), CallError> {
        if let Some(mut c) = self.connection.take()
            && c.sender.ready().await.is_ok()
        {
            self.connection = Some(c);
            return Ok(());
        }
        self.connection = Some(Connection::open(&*self.transport, self.own, self.to).await?);
        Ok(())
    }

    /// Calls over a connection that stands, or over a new one.
    ///
    /// # Errors
    ///
    /// As [`EngineClient::send`], and where no connection came up.
    pub async fn call(
        &mut self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        let done = async {
            self.open().await?;
            self.exchange(method, path, headers, body).await
        };
        tokio::time::timeout(limit, done).await.map_err(|_| CallError::Timeout)?
    }

    /// Calls over the connection that was opened, and never over another: what was found to hold before
    /// the call can't grow old while one comes up. Past the limit nothing of the call is sent any more.
    ///
    /// # Errors
    ///
    /// The connection broke, the time was over, or the answer can't be read. The engine may have carried the call out.
    pub async fn send(
        &mut self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Answer, CallError> {
        tokio::time::timeout(limit, self.exchange(method, path, headers, body))
            .await
            .map_err(|_| CallError::Timeout)?
    }

    async fn exchange(
        &mut self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<Answer, CallError> {
        let mut connection = self.connection.take().ok_or(CallError::Broken)?;
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.to.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if !body.is_empty() {
            request = request.header(http::header::CONTENT_TYPE, "application/json");
        }
        let request = request.body(Body::new(body.into())).map_err(|_| CallError::Unreadable)?;
        let answer =
            connection.sender.send_request(request).await.map_err(|_| CallError::Broken)?;
        let status = answer.status();
        let location = answer.headers().get(http::header::LOCATION);
        let location = location.and_then(|v| v.to_str().ok()).map(str::to_owned);
        let body = http_body_util::Limited::new(answer.into_body(), self.most);
        let body = body.collect().await.map_err(|error| {
            let too_long = error.is::<http_body_util::LengthLimitError>();
            if too_long { CallError::Unreadable } else { CallError::Broken }
        })?;
        self.connection = Some(connection);
        Ok(Answer { status, body: body.to_bytes(), location })
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
