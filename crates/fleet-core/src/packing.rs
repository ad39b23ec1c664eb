//! Compression of the bodies of configurations, for links, disks and memory.

use std::io::{Read, Write};

/// Why bytes can't be unpacked.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum UnpackError {
    /// not a whole deflate stream
    Damaged,
    /// more than {0} bytes
    TooLarge(usize),
}

/// Deflates these bytes. Fast rather than small: it is done while the operator waits.
pub fn pack(plain: &[u8]) -> bytes::Bytes {
    let level = flate2::Compression::new(crate::constants::PACKING_LEVEL);
    let mut encoder = flate2::write::DeflateEncoder::new(Vec::new(), level);
    let written = encoder.write_all(plain).and_then(|()| encoder.finish());
    // a Vec takes every write
    written.unwrap_or_default().into()
}

/// Inflates what `pack` gave, up to `most` bytes.
///
/// # Errors
///
/// The bytes are not what `pack` gives, or hold more than `most` bytes.
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
