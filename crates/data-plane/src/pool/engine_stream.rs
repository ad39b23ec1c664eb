//! The byte stream of a connection to an engine, which ends when the engine sends too much that is no response.
//!
//! Interim responses, the size of a chunk or bytes between responses need no memory, but an engine that sends them
//! without end takes the processor until the deadline of a request.

use fleet_core::constants;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes received since a response last made progress: a request was sent, its head was complete, or a part
/// of its body arrived.
#[derive(Debug, Default)]
pub struct IdleBytes(AtomicUsize);

impl IdleBytes {
    /// Records that the response made progress.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Whether bytes were received without progress.
    fn is_progress_pending(&self) -> bool {
        self.0.load(Ordering::Relaxed) > 0
    }

    /// Adds received bytes; false if they are too many.
    fn add(&self, bytes: usize) -> bool {
        let before = self.0.fetch_add(bytes, Ordering::Relaxed);
        before.saturating_add(bytes) <= constants::IDLE_BYTES_MAX
    }
}

/// A connection to an engine. While a response makes no progress, all other tasks run between two reads; reading fails
/// with [`io::ErrorKind::InvalidData`] after [`constants::IDLE_BYTES_MAX`] such bytes.
pub struct EngineStream {
    stream: TcpStream,
    idle_bytes: Arc<IdleBytes>,
    /// Whether other tasks have run since the last bytes were read without progress.
    has_yielded: bool,
}

impl EngineStream {
    /// Wraps a connection on which nothing was received yet.
    pub fn new(stream: TcpStream, idle_bytes: Arc<IdleBytes>) -> EngineStream {
        EngineStream { stream, idle_bytes, has_yielded: false }
    }
}

impl AsyncRead for EngineStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.idle_bytes.is_progress_pending() && !std::mem::replace(&mut self.has_yielded, true)
        {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.has_yielded = false;
        let part_length = buffer.remaining().min(constants::ENGINE_READ_BYTES);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(part_length));
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        if !self.idle_bytes.add(received) {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for EngineStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// The body of an engine's response; each part that is read from it is progress.
#[derive(Debug)]
pub struct EngineBody {
    incoming: Incoming,
    idle_bytes: Arc<IdleBytes>,
}

impl EngineBody {
    /// Wraps the body of a response whose head is complete.
    pub(super) fn new(incoming: Incoming, idle_bytes: Arc<IdleBytes>) -> EngineBody {
        EngineBody { incoming, idle_bytes }
    }
}

impl Body for EngineBody {
    type Data = bytes::Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<bytes::Bytes>, hyper::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        self.idle_bytes.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
