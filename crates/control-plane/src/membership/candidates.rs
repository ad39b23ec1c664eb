//! Controllers that ask to become members.

use super::replacement::Candidate;
use fleet_core::constants;
use fleet_core::wire::{JoinRequest, Membership};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// Recent join requests by address. The map is ordered because the iteration order affects which membership is
/// proposed, and simulated runs have to be reproducible.
#[derive(Debug, Default)]
pub struct Candidates {
    requests: BTreeMap<String, ReceivedRequest>,
}

#[derive(Debug)]
struct ReceivedRequest {
    request: JoinRequest,
    received_at: Instant,
}

impl ReceivedRequest {
    fn candidate(&self, now: Instant) -> Candidate {
        let uptime = Duration::from_millis(self.request.running_ms);
        Candidate { member: self.request.member.clone(), uptime: uptime + (now - self.received_at) }
    }
}

impl Candidates {
    /// Records a join request, which replaces an earlier one from the same address.
    pub fn record(&mut self, request: JoinRequest, now: Instant) {
        self.requests
            .insert(request.member.ip.clone(), ReceivedRequest { request, received_at: now });
    }

    /// Candidates that are not members and have asked recently. Requests older than six join intervals are dropped.
    pub fn waiting(&mut self, membership: &Membership, now: Instant) -> Vec<Candidate> {
        self.requests.retain(|_, entry| now - entry.received_at < constants::JOIN_INTERVAL * 6);
        let is_outside = |ip: &str| membership.members.iter().all(|member| member.ip != ip);
        let waiting = self.requests.iter().filter(|(ip, _)| is_outside(ip));
        waiting.map(|(_, entry)| entry.candidate(now)).collect()
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
