//! Compression of configuration bodies for links, disks and memory.

use std::io::{Read, Write};

/// Why a body cannot be decompressed.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum DecompressError {
    /// not a complete deflate stream
    Corrupt,
    /// more than {0} bytes
    TooLarge(usize),
}

/// Compresses with deflate, optimized for speed rather than size because the operator waits for it.
pub fn compress(uncompressed: &[u8]) -> bytes::Bytes {
    let level = flate2::Compression::new(crate::constants::COMPRESSION_LEVEL);
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), level);
    let written = encoder.write_all(uncompressed).and_then(|()| encoder.finish());
    // Writing to a Vec cannot fail.
    written.unwrap_or_default().into()
}

/// Decompresses the output of `compress`, up to `max_bytes` bytes.
///
/// # Errors
///
/// The input is not the output of `compress`, or its content is larger than `max_bytes`.
pub fn decompress(compressed: &[u8], max_bytes: usize) -> Result<bytes::Bytes, DecompressError> {
    let mut uncompressed = Vec::new();
    let limit = max_bytes as u64 + 1;
    let mut decoder = flate2::read::DeflateDecoder::new(compressed).take(limit);
    decoder.read_to_end(&mut uncompressed).map_err(|_| DecompressError::Corrupt)?;
    if uncompressed.len() > max_bytes {
        return Err(DecompressError::TooLarge(max_bytes));
    }
    Ok(uncompressed.into())
}

#[cfg(test)]
#[path = "compression_tests.rs"]
mod tests;
