//! Forwards a change from the node that received it to the owner of its key.

use super::Consensus;
use super::proposer::ProposalError;
use super::state_machine;
use crate::membership::peer_links::MemberLink;
use fleet_core::constants;
use fleet_core::wire::{Body, ChangeKind, ChangeRequest, ChangeResponse, Outcome};
use std::sync::Arc;
use tokio::time::Instant;

/// Size of the value that a change carries, for its timeouts; 0 for small values.
fn value_bytes(change: &ChangeKind) -> usize {
    match change {
        ChangeKind::ReplaceConfig(r) => r.compressed_body.len(),
        ChangeKind::RecordDepartures(_) => constants::DEPARTURES_VALUE_BYTES,
        ChangeKind::SetTargetVersion(_)
        | ChangeKind::RaiseFencingToken(_)
        | ChangeKind::Confirm(_) => 0,
    }
}

/// The node that owns a key as far as this node knows. The information may be outdated.
fn believed_owner(consensus: &Consensus, key: &str) -> Option<u64> {
    let promised = consensus.acceptor.lock().promised(key);
    let learned = consensus.learned(key).map(|known| known.ballot).unwrap_or_default();
    let highest = promised.max(learned).max(consensus.key_owners.observed_ballot(key));
    (highest.node != 0 && !consensus.key_owners.has_resigned(key, highest)).then_some(highest.node)
}

/// Submits a change to the owner of its key; a new owner is elected if the current one has timed out.
///
/// With the outcome `Unknown` the change may still be chosen.
pub async fn submit(consensus: &Arc<Consensus>, change: ChangeKind) -> ChangeResponse {
    let timeout = constants::change_timeout(value_bytes(&change));
    let decision = forward_or_decide(consensus, &change, 0);
    tokio::time::timeout(timeout, decision)
        .await
        .unwrap_or_else(|_| state_machine::unknown_outcome())
}

/// Submits a change that another node forwarded to this one.
pub async fn submit_forwarded(
    consensus: &Arc<Consensus>,
    change: &ChangeRequest,
) -> ChangeResponse {
    let Some(kind) = &change.kind else { return state_machine::unknown_outcome() };
    let timeout = constants::change_timeout(value_bytes(kind));
    let decision = forward_or_decide(consensus, kind, change.forward_count);
    tokio::time::timeout(timeout, decision)
        .await
        .unwrap_or_else(|_| state_machine::unknown_outcome())
}

/// Forwards the change to the owner or decides it here, and retries with the new owner after an election.
async fn forward_or_decide(
    consensus: &Arc<Consensus>,
    change: &ChangeKind,
    forward_count: u32,
) -> ChangeResponse {
    let key = state_machine::key_of(change);
    let own_id = consensus.process.node.id();
    let deadline = Instant::now() + constants::change_timeout(value_bytes(change));
    let mut forwarded_to = None;
    loop {
        let owner = believed_owner(consensus, &key).filter(|id| *id != own_id);
        if let Some(owner) = owner.filter(|id| {
            forwarded_to != Some(*id) && forward_count < constants::MAX_CHANGE_FORWARDS
        }) {
            forwarded_to = Some(owner);
            if let Some(response) = forward_to(consensus, change, owner, forward_count).await {
                return response;
            }
        }
        if !can_decide(consensus) {
            return forward_to_any(consensus, change, forwarded_to, forward_count).await;
        }
        // Boxed because the future is large, and the task of every message would reserve space for it.
        let proposal =
            Box::pin(consensus.propose_and_commit(&key, |now| state_machine::decide(change, now)));
        let result = proposal.await;
        match result {
            Ok(response) => return response,
            Err(ProposalError::NoLocalVote) => {
                return forward_to_any(consensus, change, forwarded_to, forward_count).await;
            }
            Err(ProposalError::Preempted(_) | ProposalError::OwnerActive) => forwarded_to = None,
            Err(ProposalError::NoQuorum) => return state_machine::unknown_outcome(),
        }
        let backoff = consensus.process.random_backoff(constants::ELECTION_BACKOFF_MS);
        if Instant::now() + backoff >= deadline {
            return state_machine::unknown_outcome();
        }
        tokio::time::sleep(backoff).await;
    }
}

fn can_decide(consensus: &Consensus) -> bool {
    consensus.may_own() && consensus.acceptor.lock().votes()
}

/// Forwards the change to one member after the other until one of them gets an answer. Used if this node can't vote.
async fn forward_to_any(
    consensus: &Arc<Consensus>,
    change: &ChangeKind,
    forwarded_to: Option<u64>,
    forward_count: u32,
) -> ChangeResponse {
    if forward_count >= constants::MAX_CHANGE_FORWARDS {
        return state_machine::unknown_outcome();
    }
    for member in &consensus.membership().members {
        let Some(id) = member.id() else { continue };
        if id == consensus.process.node.id() || forwarded_to == Some(id) {
            continue;
        }
        if let Some(response) = forward_to(consensus, change, id, forward_count).await {
            return response;
        }
    }
    state_machine::unknown_outcome()
}

/// Forwards the change to a node. Returns its answer, or `None` if the call fails or the outcome is unknown there.
async fn forward_to(
    consensus: &Arc<Consensus>,
    change: &ChangeKind,
    to: u64,
    forward_count: u32,
) -> Option<ChangeResponse> {
    let links = consensus.links_to_voters();
    let MemberLink { link, .. } = links.into_iter().find(|link| link.member_id == to)?;
    let body = Body::ChangeRequest(ChangeRequest {
        kind: Some(change.clone()),
        forward_count: forward_count + 1,
    });
    match link.call(body, constants::owner_timeout(value_bytes(change))).await {
        Ok(Body::ChangeResponse(response)) if response.outcome() != Outcome::Unknown => {
            Some(response)
        }
        _ => None,
    }
}
