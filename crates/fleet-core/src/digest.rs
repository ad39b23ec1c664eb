//! The digest that names the body of a configuration.

use sha2::Digest;

/// The first 128 bits of SHA-256 over the bytes of a body, as the operator sent them.
///
/// Two different bodies with one digest don't come up by chance, and can't be made on purpose
/// with any effort that counts here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct BodyDigest([u8; BodyDigest::BYTES]);

impl BodyDigest {
    /// Length of a digest on the wire and on the disk.
    pub const BYTES: usize = 16;

    /// The digest of these bytes.
    pub fn of(body: &[u8]) -> BodyDigest {
        let complete: [u8; 32] = sha2::Sha256::digest(body).into();
        let mut first = [0; BodyDigest::BYTES];
        first.copy_from_slice(&complete[..BodyDigest::BYTES]);
        BodyDigest(first)
    }

    /// A digest as it was sent; none where it has another length.
    pub fn from_bytes(bytes: &[u8]) -> Option<BodyDigest> {
        bytes.try_into().ok().map(BodyDigest)
    }

    /// The digest as it is sent.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}
