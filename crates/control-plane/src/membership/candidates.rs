//! Controllers that ask to be taken in.

use super::replacement::Candidate;
use fleet_core::constants;
use fleet_core::wire::{JoinRequest, Membership};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Who asked lately, by address: the order can change what is sent.
#[derive(Debug, Default)]
pub struct Candidates {
    attempts: BTreeMap<String, JoinAttempt>,
}

#[derive(Debug)]
struct JoinAttempt {
    join: JoinRequest,
    last_attempt: Instant,
}

impl JoinAttempt {
    fn candidate(&self, now: Instant) -> Candidate {
        let running = Duration::from_millis(self.join.running_ms);
        Candidate { member: self.join.member.clone(), running: running + (now - self.last_attempt) }
    }
}

impl Candidates {
    /// One asks, for the first time or again.
    pub fn record(&mut self, join: JoinRequest, now: Instant) {
        self.attempts.insert(join.member.ip.clone(), JoinAttempt { join, last_attempt: now });
    }

    /// Those outside this membership that still ask.
    pub fn waiting(&mut self, membership: &Membership, now: Instant) -> Vec<Candidate> {
        self.attempts
            .retain(|_, attempt| now - attempt.last_attempt < constants::JOIN_INTERVAL * 6);
        let outside = |ip: &str| membership.members.iter().all(|member| member.ip != ip);
        let waiting = self.attempts.iter().filter(|(ip, _)| outside(ip));
        waiting.map(|(_, attempt)| attempt.candidate(now)).collect()
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
