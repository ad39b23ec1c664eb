//! Resignation: a node that shuts down releases its keys, so that voters elect new owners at once instead of after the
//! election timeout.

use super::Consensus;
use crate::membership::peer_links::MemberLink;
use fleet_core::constants;
use fleet_core::node::node_id_of;
use fleet_core::wire::{Ballot, Body, Empty};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The highest ballot of each key whose owner has resigned. An owner that returns prepares a higher one.
#[derive(Debug, Default)]
pub struct ResignedBallots {
    ballots: hashbrown::HashMap<String, Ballot>,
}

impl ResignedBallots {
    /// Records that the owner of this ballot has resigned, so that it commits nothing more under it.
    pub fn insert(&mut self, key: &str, promised: Ballot) {
        let resigned = self.ballots.entry_ref(key).or_default();
        *resigned = promised.max(*resigned);
    }

    /// Whether the owner of this ballot has resigned: its epoch is not above the resigned one.
    pub fn contains(&self, key: &str, promised: Ballot) -> bool {
        self.ballots.get(key).is_some_and(|resigned| promised.epoch() <= resigned.epoch())
    }
}

/// Finishes the current rounds, releases all owned keys and notifies the other voters.
pub async fn release_keys(consensus: &Arc<Consensus>) {
    consensus.key_owners.release_keys().await;
    record_resignation(consensus, consensus.process.node.ip);
    let calls = consensus.links_to_voters().into_iter().map(|MemberLink { link, .. }| async move {
        // A voter that can't be reached waits for the election timeout instead.
        let _ = link.call(Body::OwnerResigned(Empty {}), constants::PHASE_TIMEOUT).await;
    });
    futures_util::future::join_all(calls).await;
}

/// Records that the node at this address owns no keys any more, so that they may be taken over at once.
pub fn record_resignation(consensus: &Consensus, from: Ipv4Addr) {
    let owner = node_id_of(from);
    let acceptor = consensus.acceptor.lock();
    for register in acceptor.registers().filter(|register| register.promised.node == owner) {
        consensus.key_owners.record_resigned_ballot(&register.key, register.promised);
    }
}

#[cfg(test)]
#[path = "resignation_tests.rs"]
mod tests;
