//! Bringing a change to the owner of its key, wherever it comes in.

use super::Consensus;
use super::proposer::ProposalError;
use super::state_machine;
use crate::membership::peer_links::MemberLink;
use fleet_core::constants;
use fleet_core::wire::{Body, ChangeKind, ChangeRequest, ChangeResponse, Outcome};
use std::sync::Arc;
use tokio::time::Instant;

fn value_bytes(change: &ChangeKind) -> usize {
    match change {
        ChangeKind::Replace(r) => r.packed.len(),
        ChangeKind::RecordDepartures(_) => constants::DEPARTURES_VALUE_BYTES,
        ChangeKind::Name(_) | ChangeKind::Raise(_) | ChangeKind::Confirm(_) => 0,
    }
}

/// The node that owns a key, as far as this node knows: it may be behind.
fn believed_owner(consensus: &Consensus, key: &str) -> Option<u64> {
    let promised = consensus.acceptor.lock().promised(key);
    let learned = consensus.learned(key).map(|known| known.ballot).unwrap_or_default();
    let highest = promised.max(learned).max(consensus.key_owners.observed_ballot(key));
    (highest.node != 0 && !consensus.key_owners.has_resigned(key, highest)).then_some(highest.node)
}

/// Has a change decided by the owner of its key, which is elected anew if it has timed out.
///
/// An outcome of `Unknown` says that the change may yet be chosen.
pub async fn submit(consensus: &Arc<Consensus>, change: ChangeKind) -> ChangeResponse {
    let limit = constants::change_timeout(value_bytes(&change));
    let run = forward_or_decide(consensus, &change, 0);
    tokio::time::timeout(limit, run).await.unwrap_or_else(|_| state_machine::unknown())
}

/// A change that another consensus passed here.
pub async fn submit_forwarded(
    consensus: &Arc<Consensus>,
    change: &ChangeRequest,
) -> ChangeResponse {
    let Some(kind) = &change.kind else { return state_machine::unknown() };
    let limit = constants::change_timeout(value_bytes(kind));
    let run = forward_or_decide(consensus, kind, change.hops);
    tokio::time::timeout(limit, run).await.unwrap_or_else(|_| state_machine::unknown())
}

/// Passes the change to the owner or decides it here, and goes on to a new owner when one was elected.
async fn forward_or_decide(
    consensus: &Arc<Consensus>,
    change: &ChangeKind,
    hops: u32,
) -> ChangeResponse {
    let key = state_machine::key_of(change);
    let own = consensus.process.node.id();
    let until = Instant::now() + constants::change_timeout(value_bytes(change));
    let mut forwarded_to = None;
    loop {
        let owner = believed_owner(consensus, &key).filter(|o| *o != own);
        if let Some(owner) =
            owner.filter(|o| forwarded_to != Some(*o) && hops < constants::CHANGE_HOPS)
        {
            forwarded_to = Some(owner);
            if let Some(changed) = forward_to(consensus, change, owner, hops).await {
                return changed;
            }
        }
        if !can_decide(consensus) {
            return forward_to_any(consensus, change, forwarded_to, hops).await;
        }
        // Boxed: its state is large, and every message's task would have room for it, changes or not.
        let proposing =
            Box::pin(consensus.propose_and_commit(&key, |now| state_machine::decide(change, now)));
        let proposed = proposing.await;
        match proposed {
            Ok(changed) => return changed,
            Err(ProposalError::NoOwnVote) => {
                return forward_to_any(consensus, change, forwarded_to, hops).await;
            }
            Err(ProposalError::Preempted(_) | ProposalError::OwnerActive) => forwarded_to = None,
            Err(ProposalError::NoQuorum) => return state_machine::unknown(),
        }
        let wait = consensus.process.random_backoff(constants::ELECTION_BACKOFF_MS);
        if Instant::now() + wait >= until {
            return state_machine::unknown();
        }
        tokio::time::sleep(wait).await;
    }
}

fn can_decide(consensus: &Consensus) -> bool {
    consensus.may_own() && consensus.acceptor.lock().votes()
}

/// For a node without a vote: one member after the other brings the change to its owner.
async fn forward_to_any(
    consensus: &Arc<Consensus>,
    change: &ChangeKind,
    forwarded_to: Option<u64>,
    hops: u32,
) -> ChangeResponse {
    if hops >= constants::CHANGE_HOPS {
        return state_machine::unknown();
    }
    for member in &consensus.membership().members {
        let Some(id) = member.id() else { continue };
        if id == consensus.process.node.id() || forwarded_to == Some(id) {
            continue;
        }
        if let Some(changed) = forward_to(consensus, change, id, hops).await {
            return changed;
        }
    }
    state_machine::unknown()
}

/// The answer of the node that the change was passed to, unless it is unknown there.
async fn forward_to(
    consensus: &Arc<Consensus>,
    change: &ChangeKind,
    to: u64,
    hops: u32,
) -> Option<ChangeResponse> {
    let links = consensus.links_to_voters();
    let MemberLink { link, .. } = links.into_iter().find(|link| link.member == to)?;
    let body = Body::ChangeRequest(ChangeRequest { kind: Some(change.clone()), hops: hops + 1 });
    match link.call(body, constants::owner_timeout(value_bytes(change))).await {
        Ok(Body::ChangeResponse(changed)) if changed.outcome() != Outcome::Unknown => Some(changed),
        _ => None,
    }
}
