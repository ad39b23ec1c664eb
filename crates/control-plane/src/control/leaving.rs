//! Giving keys back: a controller that is told to stop decides nothing more, and voters elect another
//! owner at once instead of waiting until this one has been silent for long enough.

use crate::Controller;
use fleet_core::constants;
use fleet_core::wire::{Ballot, Body, Empty};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Ballots whose owner has left, by key. An owner that comes back prepares a higher one.
#[derive(Debug, Default)]
pub struct LeftBallots {
    ballots: hashbrown::HashMap<String, Ballot>,
}

impl LeftBallots {
    /// The owner of this ballot decides nothing more under it.
    pub fn insert(&mut self, key: &str, promised: Ballot) {
        let left = self.ballots.entry_ref(key).or_default();
        *left = promised.max(*left);
    }

    /// Whether the owner of this ballot has left.
    pub fn contains(&self, key: &str, promised: Ballot) -> bool {
        self.ballots.get(key).is_some_and(|left| promised.epoch() <= left.epoch())
    }
}

/// Ends what is under way as an owner, and tells the other voters that the keys are free.
pub async fn give_keys_back(controller: &Arc<Controller>) {
    controller.owners.release_all().await;
    heard_leaving(controller, controller.node.ip);
    let members = controller.acceptor.lock().membership().members.clone();
    let calls = controller.peers(&members).into_iter().map(|(_, link)| async move {
        // one that can't be told waits until this owner has been silent
        let _ = link.call(Body::OwnerResigned(Empty {}), constants::PHASE_LIMIT).await;
    });
    futures_util::future::join_all(calls).await;
}

/// The controller at this address owns nothing any more: its keys may be taken over at once.
pub fn heard_leaving(controller: &Controller, from: Ipv4Addr) {
    let owner = u64::from(u32::from(from));
    let acceptor = controller.acceptor.lock();
    for register in acceptor.registers().filter(|register| register.promised.node == owner) {
        controller.owners.owner_left(&register.key, register.promised);
    }
}

#[cfg(test)]
#[path = "leaving_tests.rs"]
mod tests;
