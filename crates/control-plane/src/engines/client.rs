//! HTTP client for engines, the KV store and controllers, with one persistent connection per client.

use fleet_core::body_collector::{BodyCollector, BodyLimits, CollectError};
use fleet_core::byte_budget::{ByteBudget, Reservation, ReservedBytes};
use fleet_core::constants;
use fleet_core::transport::{Tcp, Transport, TransportError};
use http_body_util::BodyExt;
use hyper::client::conn::http1::SendRequest;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Why a call failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CallError {
    /// cannot connect: {0}
    Connect(TransportError),
    /// connection lost during the call
    ConnectionLost,
    /// call timed out
    Timeout,
    /// the request is malformed, or the response is too large
    InvalidMessage,
    /// other responses take all the memory that there is for them
    Overloaded,
}

type Body = http_body_util::Full<bytes::Bytes>;

/// An HTTP/1 connection that is reset when dropped. Bytes not delivered by then are discarded, so that a call abandoned
/// during a network partition cannot arrive later. The same holds if the process is killed.
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
        local: Ipv4Addr,
        remote: SocketAddr,
    ) -> Result<Connection, CallError> {
        let io = transport
            .connect(local, remote, constants::CONNECT_TIMEOUT)
            .await
            .map_err(CallError::Connect)?;
        io.reset_on_close().map_err(|_| CallError::ConnectionLost)?;
        let (sender, conn) = hyper::client::conn::http1::Builder::new()
            .max_buf_size(constants::ENGINE_CLIENT_BUFFER)
            .handshake(hyper_util::rt::TokioIo::new(io))
            .await
            .map_err(|_| CallError::ConnectionLost)?;
        let task = tokio::spawn(async move {
            let _ = conn.await;
        });
        Ok(Connection { sender, task: task.abort_handle() })
    }
}

/// Client of one engine, KV store or controller; makes one call at a time.
pub struct HttpClient {
    transport: Arc<dyn Transport>,
    local: Ipv4Addr,
    remote: SocketAddr,
    connection: Option<Connection>,
    max_response_bytes: usize,
    response_budget: Arc<ByteBudget>,
}

/// A complete response.
pub struct HttpResponse {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Complete body.
    pub body: bytes::Bytes,
    /// The `Location` header, by which a node redirects to the one that can answer.
    pub location: Option<String>,
    /// Covers `body` until the response is dropped.
    pub reservation: Option<Reservation>,
}

impl HttpClient {
    /// Creates a client that connects over TCP from the address `local` to `remote`. It connects on the first call.
    pub fn new(local: Ipv4Addr, remote: SocketAddr) -> Self {
        Self::with_transport(Tcp::shared(), local, remote)
    }

    /// As [`HttpClient::new`], over a given transport.
    pub fn with_transport(
        transport: Arc<dyn Transport>,
        local: Ipv4Addr,
        remote: SocketAddr,
    ) -> Self {
        HttpClient {
            transport,
            local,
            remote,
            connection: None,
            max_response_bytes: constants::FRAME_MAX_BYTES,
            response_budget: ByteBudget::new(usize::MAX),
        }
    }

    /// Limits the size of response bodies. A larger one fails with [`CallError::InvalidMessage`].
    pub fn with_max_response_bytes(self, max_response_bytes: usize) -> Self {
        HttpClient { max_response_bytes, ..self }
    }

    /// Takes what bodies have beyond [`constants::SMALL_RESPONSE_BYTES`] from a budget that other
    /// clients share, until their responses are dropped. A body that exceeds it fails with [`CallError::Overloaded`].
    pub fn with_response_budget(self, response_budget: Arc<ByteBudget>) -> Self {
        HttpClient { response_budget, ..self }
    }

    /// Opens a connection for [`HttpClient::send`], unless one is open already.
    ///
    /// # Errors
    ///
    /// The connection could not be established in time; nothing was sent.
    pub async fn open(&mut self) -> Result<(), CallError> {
        if let Some(mut connection) = self.connection.take()
            && connection.sender.ready().await.is_ok()
        {
            self.connection = Some(connection);
            return Ok(());
        }
        self.connection = Some(Connection::open(&*self.transport, self.local, self.remote).await?);
        Ok(())
    }

    /// Makes a call over the open connection, or over a new one if there is none.
    ///
    /// # Errors
    ///
    /// As [`HttpClient::send`], or the connection could not be established.
    pub async fn call(
        &mut self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let response = async {
            self.open().await?;
            self.exchange(method, path, headers, body).await
        };
        tokio::time::timeout(timeout, response).await.map_err(|_| CallError::Timeout)?
    }

    /// Makes a call over the connection opened before, and never over a new one, so that a condition the caller checked
    /// before the call cannot become outdated while a connection is established. After the timeout nothing more of the
    /// call is sent.
    ///
    /// # Errors
    ///
    /// The connection was lost, the call timed out, or the response is too large. The remote end may have executed the
    /// call nevertheless.
    pub async fn send(
        &mut self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        tokio::time::timeout(timeout, self.exchange(method, path, headers, body))
            .await
            .map_err(|_| CallError::Timeout)?
    }

    async fn exchange(
        &mut self,
        method: http::Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Vec<u8>,
    ) -> Result<HttpResponse, CallError> {
        let mut connection = self.connection.take().ok_or(CallError::ConnectionLost)?;
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, self.remote.to_string());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        if !body.is_empty() {
            request = request.header(http::header::CONTENT_TYPE, "application/json");
        }
        let request =
            request.body(Body::new(body.into())).map_err(|_| CallError::InvalidMessage)?;
        let response =
            connection.sender.send_request(request).await.map_err(|_| CallError::ConnectionLost)?;
        let status = response.status();
        let location = response.headers().get(http::header::LOCATION);
        let location = location.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let ReservedBytes { bytes: body, reservation } =
            self.receive_body(response.into_body()).await?;
        self.connection = Some(connection);
        Ok(HttpResponse { status, body, location, reservation })
    }

    async fn receive_body(
        &self,
        mut incoming: hyper::body::Incoming,
    ) -> Result<ReservedBytes, CallError> {
        let limits = BodyLimits {
            max_bytes: self.max_response_bytes,
            free_bytes: constants::SMALL_RESPONSE_BYTES,
        };
        let mut collector = BodyCollector::new(Some(&self.response_budget), limits);
        while let Some(frame) = incoming.frame().await {
            let frame = frame.map_err(|_| CallError::ConnectionLost)?;
            if let Ok(data) = frame.into_data() {
                collector.push(&data)?;
            }
        }
        Ok(collector.finish()?)
    }
}

impl From<CollectError> for CallError {
    fn from(error: CollectError) -> CallError {
        match error {
            CollectError::TooLarge => CallError::InvalidMessage,
            CollectError::Overloaded => CallError::Overloaded,
        }
    }
}

#[cfg(test)]
#[path = "client_tests.rs"]
mod tests;
