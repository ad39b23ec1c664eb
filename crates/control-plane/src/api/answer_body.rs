//! The body of a large answer, which stays reserved until its caller's connection has taken it.

use bytes::Bytes;
use fleet_core::byte_budget::ReservedBytes;
use fleet_core::constants;
use http_body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// An answer that is handed over in parts.
pub struct AnswerBody(pub ReservedBytes);

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.0.bytes.is_empty() {
            return Poll::Ready(None);
        }
        let part = self.0.take_part(constants::ANSWER_PART_BYTES);
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.0.bytes.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.0.bytes.len() as u64)
    }
}
