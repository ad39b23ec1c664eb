//! Framing of messages on a connection: a length of four bytes, then the message.

use super::LinkError;
use super::budgets::reserve_when_available;
use crate::byte_budget::{ByteBudget, Reservation};
use crate::constants;
use crate::transport::ByteReader;
use crate::wire::{Body, Frame};
use prost::Message;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, BufReader};

/// Call number of a message that expects no answer.
pub(super) const NO_CALL: u64 = 0;

/// Wraps the reading half of a connection in a buffer, since most frames are small.
pub(super) fn buffered(reader: ByteReader) -> BufReader<ByteReader> {
    BufReader::with_capacity(constants::LINK_READ_BUFFER_BYTES, reader)
}

/// A frame that was received, and what it takes of the budget until it is handled.
pub(super) struct ReceivedFrame {
    pub(super) frame: Frame,
    pub(super) reservation: Reservation,
}

/// Reads the next frame, of at most `max_bytes` bytes. A large one is read once `budget` has room for it.
///
/// # Errors
///
/// [`LinkError::Io`] if the connection ended, [`LinkError::TooLarge`] and [`LinkError::Malformed`] if the bytes
/// are not a valid frame, [`LinkError::Timeout`] if the rest of a frame did not arrive in time. The connection cannot be
/// used any more after any of them.
///
/// # Cancel safety
///
/// Not cancel safe: a partially read frame is lost.
pub(super) async fn read_frame(
    reader: &mut BufReader<ByteReader>,
    max_bytes: usize,
    budget: &Arc<ByteBudget>,
) -> Result<ReceivedFrame, LinkError> {
    let length = reader.read_u32().await? as usize;
    if length > max_bytes {
        return Err(LinkError::TooLarge(length));
    }
    let reservation = reserve_when_available(budget, length, constants::SMALL_FRAME_BYTES).await;
    let mut bytes = bytes::BytesMut::zeroed(length);
    let reading = reader.read_exact(&mut bytes);
    let received = tokio::time::timeout(constants::frame_timeout(length), reading).await;
    received.map_err(|_| LinkError::Timeout)??;
    let frame = Frame::decode(bytes.freeze()).map_err(|_| LinkError::Malformed)?;
    Ok(ReceivedFrame { frame, reservation })
}

/// Appends the encoded frame with its length prefix.
pub(super) fn encode(frame: &Frame, out: &mut Vec<u8>) {
    out.extend_from_slice(&(frame.encoded_len() as u32).to_be_bytes());
    frame.encode_raw(out);
}

/// Creates a call, or a message without an answer if `call` is [`NO_CALL`].
///
/// # Errors
///
/// [`LinkError::TooLarge`] if the remote side would reject it.
pub(super) fn request(call: u64, body: Body) -> Result<Frame, LinkError> {
    check_frame_size(Frame { call, answer: false, body: Some(body) })
}

/// Creates the answer to a call.
///
/// # Errors
///
/// [`LinkError::TooLarge`] if the remote side would reject it.
pub(super) fn response(call: u64, body: Body) -> Result<Frame, LinkError> {
    check_frame_size(Frame { call, answer: true, body: Some(body) })
}

fn check_frame_size(frame: Frame) -> Result<Frame, LinkError> {
    match frame.encoded_len() {
        length if length > constants::FRAME_MAX_BYTES => Err(LinkError::TooLarge(length)),
        _ => Ok(frame),
    }
}
