//! Answers to clients: those of our own, and the bodies that an engine sends through us.

use bytes::Bytes;
use fleet_core::constants;
use http::{HeaderValue, Response, StatusCode, header};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Why the body of an answer ends before its end.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AnswerError {
    /// the engine broke off; the answer must not look complete
    BrokenOff,
}

/// A piece of an engine's body on its way to the client.
#[derive(Debug)]
pub enum BodyChunk {
    /// bytes to pass on
    Data(Bytes),
    /// the body is whole; a channel that closes without this was broken off
    End,
}

/// The body of an answer.
pub enum Out {
    /// one of our own, which has none
    Empty,
    /// an engine's, as it comes
    Relayed(mpsc::Receiver<BodyChunk>),
}

impl http_body::Body for Out {
    type Data = Bytes;
    type Error = AnswerError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<http_body::Frame<Bytes>, AnswerError>>> {
        let Out::Relayed(chunks) = self.get_mut() else { return Poll::Ready(None) };
        chunks.poll_recv(cx).map(|chunk| match chunk {
            Some(BodyChunk::Data(data)) => Some(Ok(http_body::Frame::data(data))),
            Some(BodyChunk::End) => None,
            None => Some(Err(AnswerError::BrokenOff)),
        })
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Out::Empty)
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Out::Empty => http_body::SizeHint::with_exact(0),
            Out::Relayed(_) => http_body::SizeHint::default(),
        }
    }
}

/// Why a request ends before any engine was given it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// no configuration, or a route that leads nowhere
    NotReady,
    /// This router ends before the response could be complete; another one may take the request at once.
    ShuttingDown,
    /// no route for this host and path
    NoRoute,
    /// a key is needed, and this is none
    Unauthorized,
    /// a header that is needed is missing or malformed
    BadRequest,
    /// where the request ends can't be told, or it broke off
    Unreadable,
    /// an older protocol, whose client could not tell a break from an end
    OldProtocol,
    /// the body is over the limit
    BodyTooLarge,
    /// the body did not come in time
    BodyLate,
}

impl Rejection {
    /// The answer to the client; what was not read whole closes the connection.
    pub fn write(self) -> Response<Out> {
        match self {
            Rejection::NotReady => refusal(),
            Rejection::ShuttingDown => elsewhere(),
            Rejection::NoRoute => empty(StatusCode::NOT_FOUND),
            Rejection::Unauthorized => empty(StatusCode::UNAUTHORIZED),
            Rejection::BadRequest => empty(StatusCode::BAD_REQUEST),
            Rejection::Unreadable => closing(StatusCode::BAD_REQUEST),
            Rejection::OldProtocol => closing(StatusCode::HTTP_VERSION_NOT_SUPPORTED),
            Rejection::BodyTooLarge => closing(StatusCode::PAYLOAD_TOO_LARGE),
            Rejection::BodyLate => closing(StatusCode::REQUEST_TIMEOUT),
        }
    }
}

/// How a request ends that an engine may have run. None of these promises anything.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// the engine gave no answer that could be passed on
    BadGateway,
    /// no answer before the deadline
    GatewayTimeout,
    /// no answer before this router ends
    ShuttingDown,
}

impl Failure {
    /// The status that the client gets.
    pub fn status(self) -> StatusCode {
        match self {
            Failure::BadGateway | Failure::ShuttingDown => StatusCode::BAD_GATEWAY,
            Failure::GatewayTimeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer to the client.
    pub fn write(self) -> Response<Out> {
        match self {
            Failure::BadGateway | Failure::GatewayTimeout => empty(self.status()),
            Failure::ShuttingDown => closing(self.status()),
        }
    }
}

/// An answer of our own, with no body.
pub fn empty(status: StatusCode) -> Response<Out> {
    let mut response = Response::new(Out::Empty);
    *response.status_mut() = status;
    response
}

/// The promise that the request has not run and never will, and when to come back.
pub(super) fn refusal() -> Response<Out> {
    let mut response = empty(StatusCode::SERVICE_UNAVAILABLE);
    let retry_after = HeaderValue::from_static(constants::RETRY_AFTER);
    response.headers_mut().insert(header::RETRY_AFTER, retry_after);
    response
}

/// The promise that the request has not run and never will here, and that it may be sent elsewhere now.
fn elsewhere() -> Response<Out> {
    let mut response = closing(StatusCode::SERVICE_UNAVAILABLE);
    response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from_static("0"));
    response
}

fn closing(status: StatusCode) -> Response<Out> {
    let mut response = empty(status);
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
