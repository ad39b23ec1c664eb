//! Responses to clients: those that the router itself makes, and the bodies relayed from engines.

use bytes::Bytes;
use fleet_core::byte_budget::ReservedBytes;
use fleet_core::constants;
use http::{HeaderValue, Response, StatusCode, header};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Why a response body ends early.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ResponseBodyError {
    /// response body truncated: it must not look complete to the client
    Truncated,
}

/// A chunk of an engine's response body on its way to the client.
#[derive(Debug)]
pub enum BodyChunk {
    /// Bytes to relay.
    Data(ReservedBytes),
    /// The body is complete. A channel that closes without this marks a truncated body.
    End,
}

/// A response body that is relayed from an engine.
#[derive(Debug)]
pub struct RelayedBody {
    chunks: mpsc::Receiver<BodyChunk>,
    /// What is left of the chunk that was received last; may be empty.
    unsent: ReservedBytes,
}

impl RelayedBody {
    /// Relays what arrives on the channel.
    pub fn new(chunks: mpsc::Receiver<BodyChunk>) -> Box<RelayedBody> {
        Box::new(RelayedBody { chunks, unsent: ReservedBytes::default() })
    }

    fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ResponseBodyError>>> {
        if self.unsent.bytes.is_empty() {
            match std::task::ready!(self.chunks.poll_recv(cx)) {
                Some(BodyChunk::Data(data)) => self.unsent = data,
                Some(BodyChunk::End) => return Poll::Ready(None),
                None => return Poll::Ready(Some(Err(ResponseBodyError::Truncated))),
            }
        }
        Poll::Ready(Some(Ok(self.unsent.take_part(constants::ENGINE_READ_BYTES))))
    }
}

/// The body of a response to a client.
pub enum ResponseBody {
    /// A response made by the router, which has no body.
    Empty,
    /// An engine's body, relayed as it arrives.
    Relayed(Box<RelayedBody>),
}

impl http_body::Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, ResponseBodyError>>> {
        let ResponseBody::Relayed(body) = self.get_mut() else { return Poll::Ready(None) };
        body.poll_data(cx).map(|data| data.map(|data| data.map(http_body::Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Empty)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            ResponseBody::Empty => http_body::SizeHint::with_exact(0),
            ResponseBody::Relayed(_) => http_body::SizeHint::default(),
        }
    }
}

/// Why a request is rejected before any engine has received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No configuration is in force, or the route has no service.
    NotReady,
    /// This router exits before the response could be complete; another router may take the request at once.
    ShuttingDown,
    /// No route matches the host and path.
    NoRoute,
    /// The route requires an API key, and the request has no known one.
    Unauthorized,
    /// A required header is missing or malformed.
    BadRequest,
    /// The request has ambiguous framing, or its body is malformed or truncated.
    Unreadable,
    /// A version before HTTP/1.1, whose clients could not tell a truncated stream from a complete one.
    UnsupportedVersion,
    /// The body exceeds the configured limit.
    BodyTooLarge,
    /// The body did not arrive before the deadline.
    BodyTimeout,
    /// Requests that are in flight take all the memory that there is for them.
    Overloaded,
}

impl Rejection {
    /// The response to the client. Closes the connection where the request was not read completely.
    pub fn into_response(self) -> Response<ResponseBody> {
        match self {
            Rejection::NotReady => retry_later(),
            Rejection::ShuttingDown => retry_elsewhere(),
            Rejection::NoRoute => empty(StatusCode::NOT_FOUND),
            Rejection::Unauthorized => empty(StatusCode::UNAUTHORIZED),
            Rejection::BadRequest => empty(StatusCode::BAD_REQUEST),
            Rejection::Unreadable => empty_and_close(StatusCode::BAD_REQUEST),
            Rejection::UnsupportedVersion => {
                empty_and_close(StatusCode::HTTP_VERSION_NOT_SUPPORTED)
            }
            Rejection::BodyTooLarge => empty_and_close(StatusCode::PAYLOAD_TOO_LARGE),
            Rejection::BodyTimeout => empty_and_close(StatusCode::REQUEST_TIMEOUT),
            Rejection::Overloaded => retry_later(),
        }
    }
}

/// Why a request failed that an engine may have run. These responses promise nothing about whether it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The engine sent no response that could be relayed.
    BadGateway,
    /// The engine sent no response before the deadline.
    GatewayTimeout,
    /// The engine sent no response before this router had to shut down.
    ShuttingDown,
}

impl Failure {
    /// The status of the response to the client.
    pub fn status(self) -> StatusCode {
        match self {
            Failure::BadGateway | Failure::ShuttingDown => StatusCode::BAD_GATEWAY,
            Failure::GatewayTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The response to the client.
    pub fn into_response(self) -> Response<ResponseBody> {
        match self {
            Failure::BadGateway | Failure::GatewayTimeout => empty(self.status()),
            Failure::ShuttingDown => empty_and_close(self.status()),
        }
    }
}

/// A response made by the router, without a body.
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Empty);
    *response.status_mut() = status;
    response
}

/// A 503 that promises that the request has not run and never will, with the time after which to retry.
pub(super) fn retry_later() -> Response<ResponseBody> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = HeaderValue::from_static(constants::RETRY_AFTER);
    response.headers_mut().insert(header::RETRY_AFTER, retry_after);
    response
}

/// A 503 that promises that the request has not run and never will at this router, and may be sent to another one at
/// once.
fn retry_elsewhere() -> Response<ResponseBody> {
    let mut response = empty_and_close(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("0"));
    response
}

fn empty_and_close(status: StatusCode) -> Response<ResponseBody> {
    let mut response = empty(status);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}

#[cfg(test)]
#[path = "response_tests.rs"]
mod tests;
