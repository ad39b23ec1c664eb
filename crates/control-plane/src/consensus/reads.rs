//! Linearizable reads: the returned value was current at some time after the read began.
//!
//! A read queries all voters for their ballots. If a majority has accepted the same ballot, its value is chosen, and no
//! later one was chosen when the read began, because any two majorities intersect. A read never takes a key from its
//! owner: while a round is in progress it repeats the query, and finally has the owner complete the round.

use super::quorum_status::{KeyStatus, QuorumStatus};
use super::{ChosenValue, Consensus, forward};
use crate::membership::peer_links::MemberLink;
use fleet_core::constants;
use fleet_core::wire::{
    Ballot, BallotReport, Body, ChangeKind, Outcome, ReadBallots, RegisterRequest,
};
use std::sync::Arc;
use tokio::time::Instant;

impl Consensus {
    /// Queries all voters for their ballots until `is_enough` returns true or all have answered or timed out. The
    /// answers contain only durable ballots.
    pub(super) async fn query_voters(
        self: &Arc<Self>,
        is_enough: impl Fn(&QuorumStatus) -> bool,
    ) -> QuorumStatus {
        let membership = self.membership();
        let call_start = Instant::now();
        let mut status = QuorumStatus::new(&membership);
        let request = ReadBallots { membership: membership.epoch, values: false };
        let body = Body::ReadBallots(request);
        let timeout = constants::PHASE_TIMEOUT;
        let mut answers = self.call_members(&membership.members, timeout, |_| body.clone());
        let own_report = self.vote(|acceptor| acceptor.read_ballots(false));
        if let Ok(Some(answer)) = tokio::time::timeout(constants::PHASE_TIMEOUT, own_report).await {
            self.add_report(&mut status, self.process.node.id(), &answer, call_start);
        }
        while !is_enough(&status) {
            let Some((voter, answer)) = answers.recv().await else { break };
            let Some(Body::BallotReport(answer)) = answer else { continue };
            self.add_report(&mut status, voter, &answer, call_start);
        }
        status
    }

    fn add_report(
        &self,
        status: &mut QuorumStatus,
        voter: u64,
        report: &BallotReport,
        call_start: Instant,
    ) {
        if status.add_report(voter, report) {
            self.contact.lock().record_answer(voter, call_start);
        }
    }

    /// Queries all voters only to renew the contact with a majority.
    pub async fn renew_contact(self: &Arc<Self>) {
        self.query_voters(|_| false).await;
    }

    /// Whether a majority of the voters, queried after this call began, has accepted exactly this ballot for the key.
    pub(super) async fn is_accepted_by_majority(
        self: &Arc<Self>,
        key: &str,
        ballot: Ballot,
    ) -> bool {
        let status = self.query_voters(|status| status.has_quorum_at(key, ballot)).await;
        status.has_quorum_at(key, ballot)
    }

    /// Reads the chosen value of a key, confirmed by a majority after this call began; `None` if no majority confirms a
    /// value.
    pub async fn read(self: &Arc<Self>, key: &str) -> Option<ChosenValue> {
        let mut backoff_ms = constants::READ_BACKOFF_MS;
        for _ in 0..constants::MAX_READ_ATTEMPTS {
            if let Some(found) = self.read_once(key).await {
                return Some(found);
            }
            tokio::time::sleep(self.process.random_backoff(backoff_ms)).await;
            backoff_ms *= 2;
        }
        let confirmed = forward::submit(self, ChangeKind::Confirm(key.to_owned())).await;
        if confirmed.outcome() != Outcome::Committed {
            return None;
        }
        self.read_once(key).await
    }

    /// The value that a majority has accepted under the same ballot, if there is one; queries once.
    async fn read_once(self: &Arc<Self>, key: &str) -> Option<ChosenValue> {
        let is_chosen =
            |status: &QuorumStatus| matches!(status.key_status(key), Some(KeyStatus::Chosen(_)));
        let status = self.query_voters(is_chosen).await;
        let Some(KeyStatus::Chosen(ballot)) = status.key_status(key) else { return None };
        let value = self.value_at(key, ballot, &status).await?;
        Some(ChosenValue { ballot, value })
    }

    /// The value that was accepted under this ballot: from this node, or fetched from a voter that has accepted it.
    pub(super) async fn value_at(
        self: &Arc<Self>,
        key: &str,
        ballot: Ballot,
        status: &QuorumStatus,
    ) -> Option<bytes::Bytes> {
        let accepted = self.with_acceptor(|acceptor| {
            let register = acceptor.register(key).filter(|register| register.accepted == ballot);
            register.map(|register| register.value.clone())
        });
        let learned = || self.learned(key).filter(|known| known.ballot == ballot);
        if let Some(value) = accepted.or_else(|| learned().map(|known| known.value)) {
            return Some(value);
        }
        for MemberLink { member_id: voter, link } in self.links_to_voters() {
            if !status.is_accepted_by(key, voter, ballot) {
                continue;
            }
            let request = Body::RegisterRequest(RegisterRequest { key: key.to_owned() });
            let answer = link.call(request, constants::PHASE_TIMEOUT).await;
            if let Ok(Body::RegisterResponse(response)) = answer
                && let Some(register) = response.register.filter(|r| r.accepted == ballot)
            {
                return Some(register.value);
            }
        }
        None
    }
}
