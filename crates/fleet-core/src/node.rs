//! Identity of a process.

use crate::link::LinkBudgets;
use std::hash::{BuildHasher, Hasher};

/// The program that a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Role {
    /// Control plane.
    Controller = 0,
    /// Data plane.
    Router = 1,
}

/// Identity of a process for its lifetime.
#[derive(Debug, Clone)]
pub struct Node {
    /// Name of the node; shared by both programs of a machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address of the machine.
    pub ip: std::net::Ipv4Addr,
    /// Program of this process.
    pub role: Role,
    /// Random number of this process start; never 0.
    pub incarnation: u64,
    /// Budgets of the frames of all links of this process.
    pub link_budgets: LinkBudgets,
}

impl Node {
    /// Creates the identity of this process with a new random incarnation.
    pub fn start(settings: &crate::settings::Settings, role: Role) -> Node {
        Self::seeded(settings, role, random_id())
    }

    /// Creates an identity whose incarnation is derived from a seed; each start needs a different seed.
    pub fn seeded(settings: &crate::settings::Settings, role: Role, seed: u64) -> Node {
        let name = settings.node_name.as_bytes();
        Node {
            name: settings.node_name.clone(),
            zone: settings.zone.clone(),
            ip: settings.ip,
            role,
            incarnation: stable_hash(&[b"incarnation", name, &seed.to_le_bytes()]) | 1,
            link_budgets: LinkBudgets::default(),
        }
    }

    /// Node number in ballots, derived from the machine's address.
    pub fn id(&self) -> u64 {
        node_id_of(self.ip)
    }
}

/// Number in ballots of the node with this address.
pub fn node_id_of(ip: std::net::Ipv4Addr) -> u64 {
    u64::from(u32::from(ip))
}

/// Returns a random number that is never 0 and unlikely to be used by another process. Not suitable for secrets.
pub fn random_id() -> u64 {
    let mut hasher = std::hash::RandomState::new().build_hasher();
    hasher.write_u32(std::process::id());
    if let Ok(now) = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH) {
        hasher.write_u128(now.as_nanos());
    }
    hasher.finish() | 1
}

/// Hashes these parts with their boundaries, so that `ab, c` and `a, bc` differ. Unlike the hashes of hash tables,
/// the result is the same on every machine and in every incarnation. Not suitable for secrets.
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
