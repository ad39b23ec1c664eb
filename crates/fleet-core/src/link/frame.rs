//! Frames on a connection: four bytes of length, then the message.

use super::LinkError;
use crate::constants;
use crate::transport::ByteReader;
use crate::wire::{Body, Frame};
use prost::Message;
use tokio::io::{AsyncReadExt, BufReader};

/// The number of a message that is no call: nobody waits for an answer to it.
pub(super) const NO_CALL: u64 = 0;

/// The reading half of a connection, with the buffer that its small frames are read from.
pub(super) fn buffered(reader: ByteReader) -> BufReader<ByteReader> {
    BufReader::with_capacity(constants::LINK_READ_BUFFER, reader)
}

/// Reads the next frame.
///
/// # Errors
///
/// [`LinkError::Socket`] where the connection ended, [`LinkError::TooLarge`] and [`LinkError::Malformed`] for bytes
/// that are no frame. The connection can't be read on after any of them.
///
/// # Cancel safety
///
/// Not cancel safe: a frame that was read in part is lost.
pub(super) async fn read_frame(reader: &mut BufReader<ByteReader>) -> Result<Frame, LinkError> {
    let length = reader.read_u32().await? as usize;
    if length > constants::FRAME_MAX {
        return Err(LinkError::TooLarge(length));
    }
    let mut bytes = bytes::BytesMut::zeroed(length);
    reader.read_exact(&mut bytes).await?;
    Frame::decode(bytes.freeze()).map_err(|_| LinkError::Malformed)
}

/// Appends a frame as it goes over the connection.
pub(super) fn encode(frame: &Frame, out: &mut Vec<u8>) {
    out.extend_from_slice(&(frame.encoded_len() as u32).to_be_bytes());
    frame.encode_raw(out);
}

/// A call, or with [`NO_CALL`] a message that needs no answer.
///
/// # Errors
///
/// [`LinkError::TooLarge`] where the other side would not take it.
pub(super) fn request(call: u64, body: Body) -> Result<Frame, LinkError> {
    within_limit(Frame { call, answer: false, body: Some(body) })
}

/// The answer to a call.
///
/// # Errors
///
/// [`LinkError::TooLarge`] where the other side would not take it.
pub(super) fn response(call: u64, body: Body) -> Result<Frame, LinkError> {
    within_limit(Frame { call, answer: true, body: Some(body) })
}

fn within_limit(frame: Frame) -> Result<Frame, LinkError> {
    match frame.encoded_len() {
        length if length > constants::FRAME_MAX => Err(LinkError::TooLarge(length)),
        _ => Ok(frame),
    }
}
