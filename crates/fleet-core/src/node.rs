//! Who a process is.

use std::hash::{BuildHasher, Hasher};

/// Which of the two programs a process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Role {
    /// Control plane.
    Controller = 0,
    /// Data plane.
    Router = 1,
}

/// Who a process is, for as long as it runs.
#[derive(Debug, Clone)]
pub struct Node {
    /// Name of the node; both programs of a machine share it.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address of the machine.
    pub ip: std::net::Ipv4Addr,
    /// Which program this is.
    pub role: Role,
    /// Random number of this start; never 0.
    pub incarnation: u64,
}

impl Node {
    /// The node that a process is, in a new incarnation.
    pub fn start(settings: &crate::settings::Settings, role: Role) -> Node {
        Self::seeded(settings, role, fresh())
    }

    /// A process whose incarnation follows from a seed; another start needs another seed.
    pub fn seeded(settings: &crate::settings::Settings, role: Role, seed: u64) -> Node {
        let name = settings.node_name.as_bytes();
        Node {
            name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            ip: settings.ip,
            role,
            incarnation: stable_hash(&[b"incarnation", name, &seed.to_le_bytes()]) | 1,
        }
    }

    /// The machine's address as a number, which names it in ballots.
    pub fn id(&self) -> u64 {
        id_of(self.ip)
    }
}

/// The number that names the node at an address in ballots.
pub fn id_of(ip: std::net::Ipv4Addr) -> u64 {
    u64::from(u32::from(ip))
}

/// A random number, never 0, which no other process is likely to have. Not for secrets.
pub fn fresh() -> u64 {
    let mut hasher = std::hash::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    if let Ok(now) = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH) {
        hasher.write_u128(now.as_nanos());
    }
    hasher.finish() | 1
}

/// Hash of these parts, which differs between `ab, c` and `a, bc`. The same on every machine and in every
/// incarnation, unlike the tables' own hashes. Not for secrets.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for part in parts {
        for byte in *part {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        hash = (hash ^ 0xff).wrapping_mul(0x0000_0100_0000_01b3);
    }
    hash ^= hash >> 32;
    hash = hash.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}

#[cfg(test)]
#[path = "node_tests.rs"]
mod tests;
