//! Elections: takes over a key whose owner has timed out, with a pre-vote and then a ballot above all known ones.
//!
//! The pre-vote only protects active owners from being preempted; safety rests on ballots alone.

use super::Consensus;
use super::proposer::{ProposalError, Proposer, Scope};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Body, PreVoteRequest, PreVoteResponse};
use std::sync::Arc;
use tokio::time::Instant;

impl Consensus {
    /// Answers whether this voter would currently support the election of another owner for the key.
    pub fn pre_vote(&self, request: &PreVoteRequest) -> PreVoteResponse {
        let key = &request.key;
        let (is_eligible, promised, value_bytes) = self.with_acceptor(|acceptor| {
            let votes = acceptor.votes() && !self.is_disk_broken();
            let is_eligible = votes && acceptor.membership().epoch == request.membership;
            let value_bytes = acceptor.register(key).map_or(0, |register| register.value.len());
            (is_eligible, acceptor.promised(key), value_bytes)
        });
        let has_resigned = self.key_owners.has_resigned(key, promised);
        let has_no_owner = has_resigned || self.key_owners.has_owner_timed_out(key, value_bytes);
        PreVoteResponse { granted: is_eligible && has_no_owner, promised }
    }

    /// Acquires the ownership of a key once its owner has timed out, and completes the value that was accepted last.
    ///
    /// # Errors
    /// [`ProposalError::NoLocalVote`] and [`ProposalError::Preempted`] are returned at once, other errors after retries
    /// for [`constants::CHANGE_TIMEOUT`].
    pub(super) async fn acquire_ownership(
        self: &Arc<Self>,
        key: &str,
    ) -> Result<Proposer, ProposalError> {
        let deadline = Instant::now() + constants::CHANGE_TIMEOUT;
        let mut backoff_ms = constants::ELECTION_BACKOFF_MS;
        loop {
            let error = match self.elect(key).await {
                Ok(proposer) => return Ok(proposer),
                Err(error) => error,
            };
            let backoff = self.process.random_backoff(backoff_ms);
            let is_final =
                matches!(error, ProposalError::NoLocalVote | ProposalError::Preempted(_));
            if is_final || Instant::now() + backoff >= deadline {
                return Err(error);
            }
            tokio::time::sleep(backoff).await;
            backoff_ms *= 2;
        }
    }

    async fn elect(self: &Arc<Self>, key: &str) -> Result<Proposer, ProposalError> {
        let (scope, local_highest) = self.election_scope(key)?;
        if !self.owner_timed_out(key).await {
            return Err(ProposalError::OwnerActive);
        }
        let highest_epoch = self.highest_known_epoch(key, local_highest);
        let (mut proposer, first) =
            Proposer::prepare(self.process.node.id(), key, scope, highest_epoch);
        self.run_round(key, &mut proposer, first).await?;
        fleet_core::log_event!(self.process.log, Event::KeyOwnershipAcquired,
            "key" => key, "epoch" => proposer.ballot().n);
        Ok(proposer)
    }

    /// The scope that the votes of an election must belong to, and the highest epoch in the local acceptor.
    fn election_scope(&self, key: &str) -> Result<(Scope, u64), ProposalError> {
        self.with_acceptor(|acceptor| {
            if !acceptor.votes() || !self.may_own() {
                return Err(ProposalError::NoLocalVote);
            }
            let scope = Scope {
                membership_epoch: acceptor.membership().epoch,
                recovery_epoch: acceptor.recovery_epoch(),
                voters: acceptor.membership().members.len(),
            };
            Ok((scope, acceptor.highest_epoch(key)))
        })
    }

    /// The epoch that a new ballot must exceed: the highest one in the local acceptor or in the answers of other
    /// voters. An implausibly high epoch of another voter is ignored.
    fn highest_known_epoch(&self, key: &str, local_highest: u64) -> u64 {
        let observed = self.key_owners.observed_ballot(key);
        if self.with_acceptor(|acceptor| acceptor.is_plausible(key, observed)) {
            local_highest.max(observed.n)
        } else {
            local_highest
        }
    }

    /// Pre-vote: whether a majority has seen no progress of the key's owner for the election timeout.
    async fn owner_timed_out(self: &Arc<Self>, key: &str) -> bool {
        let membership = self.membership();
        let request = PreVoteRequest { key: key.to_owned(), membership: membership.epoch };
        let own_answer = self.pre_vote(&request).granted;
        let is_willing = |answer| {
            let Body::PreVoteResponse(answer) = answer else { return false };
            self.key_owners.observe_ballot(key, answer.promised);
            answer.granted
        };
        let timeout = constants::PHASE_TIMEOUT;
        let body = Body::PreVoteRequest(request);
        self.majority_agrees(&membership, timeout, body, own_answer, is_willing).await
    }
}
