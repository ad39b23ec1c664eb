//! Answers other controllers that ask for a value by its key.

use crate::Controller;
use fleet_core::wire::{
    Register, RegisterRequest, RegisterResponse, ValueChunk, ValueChunkRequest,
};
use std::sync::Arc;

/// The newest value that is known here: accepted by this member, or learned as committed.
pub fn fetched(s: &Arc<Controller>, ask: RegisterRequest) -> RegisterResponse {
    let learned = s.learned.lock().get(&ask.key).cloned();
    let accepted = s.acceptor.lock().register(&ask.key).cloned();
    let register = match (accepted, learned) {
        (Some(own), Some((ballot, value))) if ballot > own.accepted => {
            Some(Register { accepted: ballot, value, ..own })
        }
        (None, Some((ballot, value))) => {
            Some(Register { key: ask.key, accepted: ballot, value, ..Default::default() })
        }
        (own, _) => own,
    };
    RegisterResponse { known: register.is_some(), register }
}

impl Controller {
    /// The value of [`fetched`], if the key is known here.
    pub(crate) fn newest_value(self: &Arc<Self>, key: &str) -> Option<bytes::Bytes> {
        let register = fetched(self, RegisterRequest { key: key.to_owned() }).register?;
        Some(register.value)
    }
}

/// Part of an accepted value, for the member at `peer` that reads its state back.
pub fn piece(s: &Arc<Controller>, peer: &str, ask: &ValueChunkRequest) -> ValueChunk {
    let current = s.acceptor.lock().register(&ask.key).cloned();
    s.members.handovers.piece(peer, ask, current.as_ref())
}
