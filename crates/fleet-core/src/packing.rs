//! Compression of configuration bodies for links, disks and memory.

use std::io::{Read, Write};

/// Why a body cannot be decompressed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum UnpackError {
    /// not a complete deflate stream
    Damaged,
    /// more than {0} bytes
    TooLarge(usize),
}

/// Compresses with deflate, optimized for speed rather than size because the operator waits for it.
pub fn pack(plain: &[u8]) -> bytes::Bytes {
    let level = flate2::Compression::new(crate::constants::PACKING_LEVEL);
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), level);
    let written = encoder.write_all(plain).and_then(|()| encoder.finish());
    // Writing to a Vec cannot fail.
    written.unwrap_or_default().into()
}

/// Decompresses the output of `pack`, up to `max_bytes` bytes.
///
/// # Errors
///
/// The input is not the output of `pack`, or its content is larger than `max_bytes`.
pub fn unpack(packed: &[u8], most: usize) -> Result<bytes::Bytes, UnpackError> {
    let mut plain = Vec::new();
    let limit = most as u64 + 1;
    let mut decoder = flate2::read::DeflateDecoder::new(packed).take(limit);
    decoder.read_to_end(&mut plain).map_err(|_| UnpackError::Damaged)?;
    if plain.len() > most {
        return Err(UnpackError::TooLarge(most));
    }
    Ok(plain.into())
}

#[cfg(test)]
#[path = "packing_tests.rs"]
mod tests;
