//! Who a process is.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use std::hash::{BuildHasher, Hasher};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u16)]
pub enum Role {
    Controller = 0,
    Router = 1,
}

#[derive(Debug, Clone)]
pub struct Node {
    pub name: String,
    pub zone: String,
    pub ip: std::net::Ipv4Addr,
    pub role: Role,
    pub incarnation: u64,
}

impl Node {
    /// A process of a program: its incarnation is like no other.
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

    pub fn id(&self) -> u64 {
        u64::from(u32::from(self.ip))
    }
}

pub fn fresh() -> u64 {
    let mut h = std::hash::RandomState::new().build_hasher();
    h.write_u32(std::process::id());
    if let Ok(t) = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH) {
        h.write_u128(t.as_nanos());
    }
    h.finish() | 1
}

/// The same on every machine and in every incarnation, unlike the tables' own hashes.
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut h: u64 = 0xcbf2_9ce4_8422_2325;
    for p in parts {
        for b in *p {
            h = (h ^ u64::from(*b)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        h = (h ^ 0xff).wrapping_mul(0x0000_0100_0000_01b3);
    }
    h ^= h >> 32;
    h = h.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    h ^ (h >> 29)
}

#[cfg(test)]
#[path = "node_tests.rs"]
mod tests;
