//! Resignation: a node that is stopped decides nothing more, and voters elect another
//! owner at once instead of waiting for the election time-out.

use super::Consensus;
use crate::membership::peer_links::MemberLink;
use fleet_core::constants;
use fleet_core::node::id_of;
use fleet_core::wire::{Ballot, Body, Empty};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Ballots whose owner has left, by key. An owner that comes back prepares a higher one.
#[derive(Debug, Default)]
pub struct ResignedBallots {
    ballots: hashbrown::HashMap<String, Ballot>,
}

impl ResignedBallots {
    /// The owner of this ballot decides nothing more under it.
    pub fn insert(&mut self, key: &str, promised: Ballot) {
        let resigned = self.ballots.entry_ref(key).or_default();
        *resigned = promised.max(*resigned);
    }

    /// Whether the owner of this ballot has left.
    pub fn contains(&self, key: &str, promised: Ballot) -> bool {
        self.ballots.get(key).is_some_and(|resigned| promised.epoch() <= resigned.epoch())
    }
}

/// Ends what is under way as an owner, and notifies the other voters that the keys are free.
pub async fn release_keys(consensus: &Arc<Consensus>) {
    consensus.key_owners.release_keys().await;
    record_resignation(consensus, consensus.process.node.ip);
    let calls = consensus.links_to_voters().into_iter().map(|MemberLink { link, .. }| async move {
        // one that can't be reached waits for the election time-out
        let _ = link.call(Body::OwnerResigned(Empty {}), constants::PHASE_TIMEOUT).await;
    });
    futures_util::future::join_all(calls).await;
}

/// The consensus at this address owns nothing any more: its keys may be taken over at once.
pub fn record_resignation(consensus: &Consensus, from: Ipv4Addr) {
    let owner = id_of(from);
    let acceptor = consensus.acceptor.lock();
    for register in acceptor.registers().filter(|register| register.promised.node == owner) {
        consensus.key_owners.owner_resigned(&register.key, register.promised);
    }
}

#[cfg(test)]
#[path = "resignation_tests.rs"]
mod tests;
