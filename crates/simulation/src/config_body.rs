//! How workloads tell configurations apart: by the number in the body, and by the bytes of the body.

/// What tells a configuration from others of its number.
pub fn digest(body: &[u8]) -> u64 {
    fleet_core::node::stable_hash(&[body])
}

/// The number that a configuration's body bears.
pub fn number_of(body: &[u8]) -> Option<u64> {
    let read = fleet_core::configuration::Configuration::read(body);
    read.ok().map(|configuration| configuration.revision)
}
