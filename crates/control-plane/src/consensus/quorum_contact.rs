//! Contact with a majority of the voters, which a consensus needs in order to answer for all of them.

use super::Consensus;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::Member;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// When each voter was last known to answer: pure state, with the time passed in. Counted from before the
/// call began, since what a voter did after its answer left is not known.
#[derive(Debug, Default)]
pub struct Contact {
    answered: hashbrown::HashMap<u64, Instant>,
}

impl Contact {
    /// A voter of the membership in force answered a call that began at this time.
    pub fn answered(&mut self, voter: u64, begun: Instant) {
        let at = self.answered.entry(voter).or_insert(begun);
        *at = begun.max(*at);
    }

    /// Until when this node counts as in contact with a majority of these voters.
    pub fn until(&self, voters: &[u64], span: Duration) -> Option<Instant> {
        let mut begun: Vec<Instant> =
            voters.iter().filter_map(|v| self.answered.get(v).copied()).collect();
        begun.sort_unstable_by(|a, b| b.cmp(a));
        let majority = voters.len() / 2 + 1;
        begun.get(majority - 1).map(|oldest| *oldest + span)
    }

    /// When the last call began that this voter answered.
    pub fn last_answer(&self, voter: u64) -> Option<Instant> {
        self.answered.get(&voter).copied()
    }

    /// Those that vote no longer are forgotten.
    pub fn retain(&mut self, voters: &[u64]) {
        self.answered.retain(|v, _| voters.contains(v));
    }
}

impl Consensus {
    fn contact_span(&self) -> Duration {
        let bound = self.process.settings().bounds.contact.mul_f64(constants::CONTACT_SHARE);
        bound.min(constants::CONTACT_SPAN)
    }

    fn contact_until(&self) -> Option<Instant> {
        let voters: Vec<u64> = {
            let acceptor = self.acceptor.lock();
            acceptor.membership().members.iter().filter_map(Member::id).collect()
        };
        let mut contact = self.contact.lock();
        contact.retain(&voters);
        contact.until(&voters, self.contact_span())
    }

    /// Whether this node may acknowledge, reject or return anything: it had answers of a majority of the voters in
    /// force a short time ago. Without it, callers have to go on to another node.
    pub fn in_contact(&self) -> bool {
        self.contact_until().is_some_and(|t| Instant::now() < t)
    }

    /// Age of the last answer of a voter; none if it has not answered since the start.
    pub fn last_answer_age(&self, voter: u64) -> Option<Duration> {
        self.contact.lock().last_answer(voter).map(|begun| begun.elapsed())
    }
}

/// Looks whether contact stands. The learner's rounds keep it up; only where these are late does this
/// task ask the voters itself.
pub async fn run_contact_check(consensus: Arc<Consensus>) {
    let mut was_in_contact = false;
    loop {
        tokio::time::sleep(constants::CONTACT_CHECK_INTERVAL).await;
        let remaining =
            consensus.contact_until().map(|t| t.saturating_duration_since(Instant::now()));
        if remaining.is_some_and(|l| l < consensus.contact_span().mul_f64(constants::CONTACT_RENEW))
        {
            consensus.contact_majority().await;
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
