//! Taking a key from an owner that has timed out: a pre-vote, then a ballot above all that was seen.
//!
//! The pre-vote only keeps nodes from taking keys from owners at work; safety rests on ballots alone.

use super::Consensus;
use super::proposer::{ProposalError, Proposer, Scope};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Body, PreVoteRequest, PreVoteResponse};
use std::sync::Arc;
use tokio::time::Instant;

impl Consensus {
    /// Answers whether this voter would take part in electing another owner for the key.
    pub fn pre_vote(&self, request: &PreVoteRequest) -> PreVoteResponse {
        let key = &request.key;
        let (is_eligible, promised, value_bytes) = self.with_acceptor(|acceptor| {
            let votes = acceptor.votes() && !self.is_disk_broken();
            let is_eligible = votes && acceptor.membership().epoch == request.membership;
            let value_bytes = acceptor.register(key).map_or(0, |register| register.value.len());
            (is_eligible, acceptor.promised(key), value_bytes)
        });
        let has_resigned = self.key_owners.has_resigned(key, promised);
        let is_free = has_resigned || self.key_owners.is_quiet(key, value_bytes);
        PreVoteResponse { ok: is_eligible && is_free, promised }
    }

    /// Takes a key over: once its owner has timed out, prepares above all that was seen and completes what was open.
    ///
    /// # Errors
    /// [`ProposalError::NoOwnVote`] and [`ProposalError::Preempted`] at once, others after attempts for
    /// [`constants::CHANGE_TIMEOUT`].
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
            let wait = self.process.random_backoff(backoff_ms);
            let is_final = matches!(error, ProposalError::NoOwnVote | ProposalError::Preempted(_));
            if is_final || Instant::now() + wait >= deadline {
                return Err(error);
            }
            tokio::time::sleep(wait).await;
            backoff_ms *= 2;
        }
    }

    async fn elect(self: &Arc<Self>, key: &str) -> Result<Proposer, ProposalError> {
        let (scope, own_highest) = self.scope(key)?;
        if !self.owner_timed_out(key).await {
            return Err(ProposalError::OwnerActive);
        }
        let above = self.epoch_to_exceed(key, own_highest);
        let (mut proposer, first) = Proposer::prepare(self.process.node.id(), key, scope, above);
        self.run_round(key, &mut proposer, first).await?;
        fleet_core::log_event!(self.process.log, Event::KeyOwnershipAcquired,
            "key" => key, "epoch" => proposer.ballot().n);
        Ok(proposer)
    }

    /// The scope that a campaign's votes must belong to, and the highest epoch seen here when it began.
    fn scope(&self, key: &str) -> Result<(Scope, u64), ProposalError> {
        self.with_acceptor(|acceptor| {
            if !acceptor.votes() || !self.may_own() {
                return Err(ProposalError::NoOwnVote);
            }
            let scope = Scope {
                membership: acceptor.membership().epoch,
                recovery_epoch: acceptor.recovery_epoch(),
                voters: acceptor.membership().members.len(),
            };
            Ok((scope, acceptor.highest(key)))
        })
    }

    /// The epoch that a new ballot has to be above: what is held here or was seen in answers of others, unless
    /// that is absurdly far ahead.
    fn epoch_to_exceed(&self, key: &str, own_highest: u64) -> u64 {
        let observed = self.key_owners.observed_ballot(key);
        if self.with_acceptor(|acceptor| acceptor.is_plausible(key, observed)) {
            own_highest.max(observed.n)
        } else {
            own_highest
        }
    }

    /// Whether a majority has seen no progress of the key's owner for a while.
    async fn owner_timed_out(self: &Arc<Self>, key: &str) -> bool {
        let membership = self.membership();
        let request = PreVoteRequest { key: key.to_owned(), membership: membership.epoch };
        let own_answer = self.pre_vote(&request).ok;
        let is_willing = |answer| {
            let Body::PreVoteResponse(answer) = answer else { return false };
            self.key_owners.observe_ballot(key, answer.promised);
            answer.ok
        };
        let timeout = constants::PHASE_TIMEOUT;
        let body = Body::PreVoteRequest(request);
        self.majority_agrees(&membership, timeout, body, own_answer, is_willing).await
    }
}
