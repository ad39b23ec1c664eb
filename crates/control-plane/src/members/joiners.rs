//! Controllers that ask to be taken in.

use super::exchange::Joiner;
use fleet_core::constants;
use fleet_core::wire::{JoinRequest, Membership};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Who asked lately, by address: the order can change what is sent.
#[derive(Debug, Default)]
pub struct Joiners {
    asks: BTreeMap<String, Ask>,
}

#[derive(Debug)]
struct Ask {
    join: JoinRequest,
    heard: Instant,
}

impl Ask {
    fn joiner(&self, now: Instant) -> Joiner {
        let running = Duration::from_millis(self.join.running_ms);
        Joiner { member: self.join.member.clone(), running: running + (now - self.heard) }
    }
}

impl Joiners {
    /// One asks, for the first time or again.
    pub fn hear(&mut self, join: JoinRequest, now: Instant) {
        self.asks.insert(join.member.ip.clone(), Ask { join, heard: now });
    }

    /// Those outside this membership that still ask.
    pub fn waiting(&mut self, membership: &Membership, now: Instant) -> Vec<Joiner> {
        self.asks.retain(|_, ask| now - ask.heard < constants::JOIN_PAUSE * 6);
        let outside = |ip: &str| membership.members.iter().all(|member| member.ip != ip);
        let waiting = self.asks.iter().filter(|(ip, _)| outside(ip));
        waiting.map(|(_, ask)| ask.joiner(now)).collect()
    }
}

#[cfg(test)]
#[path = "joiners_tests.rs"]
mod tests;
