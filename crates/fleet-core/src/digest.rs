//! Digest that identifies the body of a configuration.

use sha2::Digest;

/// The first 128 bits of SHA-256 over the bytes of a body, exactly as the operator sent them.
///
/// Collisions do not occur by chance, and constructing one takes an infeasible effort.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct BodyDigest([u8; BodyDigest::BYTES]);

impl BodyDigest {
    /// Length of a digest in messages and in stored data, in bytes.
    pub const BYTES: usize = 16;

    /// Computes the digest of a body.
    pub fn of(body: &[u8]) -> BodyDigest {
        let full_digest: [u8; 32] = sha2::Sha256::digest(body).into();
        let mut prefix = [0; BodyDigest::BYTES];
        prefix.copy_from_slice(&full_digest[..BodyDigest::BYTES]);
        BodyDigest(prefix)
    }

    /// Decodes a digest from a message; `None` if the length is wrong.
    pub fn from_bytes(bytes: &[u8]) -> Option<BodyDigest> {
        bytes.try_into().ok().map(BodyDigest)
    }

    /// The digest as it is encoded in messages.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}
