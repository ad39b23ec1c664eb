//! Identifies configurations by the revision in their body and by a digest of the body's bytes.

/// Distinguishes configurations that have the same revision.
pub fn digest(body: &[u8]) -> u64 {
    fleet_core::node::stable_hash(&[body])
}

/// The revision in a configuration's body; `None` if the body is invalid.
pub fn number_of(body: &[u8]) -> Option<u64> {
    let read = fleet_core::configuration::Configuration::parse(body);
    read.ok().map(|configuration| configuration.revision)
}
