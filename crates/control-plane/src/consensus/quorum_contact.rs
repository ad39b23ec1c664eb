//! Contact with a majority of the voters, without which a node must not answer on behalf of the cluster.

use super::Consensus;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::Member;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// When each voter last answered. Pure state: the time is passed in. An answer counts from the start of its call,
/// because the voter may have sent it at any time since then, and its state after that is not known.
#[derive(Debug, Default)]
pub struct QuorumContact {
    last_answers: hashbrown::HashMap<u64, Instant>,
}

impl QuorumContact {
    /// Records that a voter of the current membership answered a call that started at this time. Answers may arrive out
    /// of order.
    pub fn record_answer(&mut self, voter: u64, call_start: Instant) {
        let latest = self.last_answers.entry(voter).or_insert(call_start);
        *latest = call_start.max(*latest);
    }

    /// When contact with a majority of these voters expires, if each answer is valid for `span`; `None` if fewer than a
    /// majority have ever answered.
    pub fn expires_at(&self, voters: &[u64], span: Duration) -> Option<Instant> {
        let mut call_starts: Vec<Instant> =
            voters.iter().filter_map(|voter| self.last_answers.get(voter).copied()).collect();
        call_starts.sort_unstable_by(|a, b| b.cmp(a));
        let majority = voters.len() / 2 + 1;
        call_starts.get(majority - 1).map(|oldest| *oldest + span)
    }

    /// Start of the latest call that this voter answered.
    pub fn last_answer(&self, voter: u64) -> Option<Instant> {
        self.last_answers.get(&voter).copied()
    }

    /// Removes all nodes except these voters.
    pub fn retain(&mut self, voters: &[u64]) {
        self.last_answers.retain(|voter, _| voters.contains(voter));
    }
}

impl Consensus {
    fn contact_span(&self) -> Duration {
        let bound =
            self.process.settings().bounds.contact.mul_f64(constants::CONTACT_MAX_BOUND_RATIO);
        bound.min(constants::CONTACT_TIMEOUT)
    }

    fn contact_expires_at(&self) -> Option<Instant> {
        let voters: Vec<u64> = {
            let acceptor = self.acceptor.lock();
            acceptor.membership().members.iter().filter_map(Member::id).collect()
        };
        let mut contact = self.contact.lock();
        contact.retain(&voters);
        contact.expires_at(&voters, self.contact_span())
    }

    /// Whether a majority of the current voters answered recently. Without contact this node must not acknowledge,
    /// reject or return anything, and callers have to try another node.
    pub fn in_contact(&self) -> bool {
        self.contact_expires_at().is_some_and(|expiry| Instant::now() < expiry)
    }

    /// Time since the start of the latest call that this voter answered; `None` if it has not answered since this
    /// process started.
    pub fn last_answer_age(&self, voter: u64) -> Option<Duration> {
        self.contact.lock().last_answer(voter).map(|call_start| call_start.elapsed())
    }
}

/// Checks the contact periodically and logs when it is gained or lost. The anti-entropy queries normally renew it; this
/// task queries the voters itself only when contact is about to expire.
pub async fn run_contact_check(consensus: Arc<Consensus>) {
    let mut was_in_contact = false;
    loop {
        tokio::time::sleep(constants::CONTACT_CHECK_INTERVAL).await;
        let remaining = consensus
            .contact_expires_at()
            .map(|expiry| expiry.saturating_duration_since(Instant::now()));
        if remaining.is_some_and(|left| {
            left < consensus.contact_span().mul_f64(constants::CONTACT_RENEWAL_RATIO)
        }) {
            consensus.renew_contact().await;
        }
        let is_in_contact = consensus.in_contact();
        if is_in_contact != was_in_contact {
            let event = if is_in_contact { Event::ContactGained } else { Event::ContactLost };
            fleet_core::log_event!(consensus.process.log, event);
        }
        was_in_contact = is_in_contact;
    }
}

#[cfg(test)]
#[path = "quorum_contact_tests.rs"]
mod tests;
