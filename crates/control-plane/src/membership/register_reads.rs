//! Answers other controllers that ask for a value by its key.

use crate::Controller;
use fleet_core::wire::{
    Register, RegisterRequest, RegisterResponse, ValueChunk, ValueChunkRequest,
};
use std::sync::Arc;

/// The newest value that is known here: accepted by this member, or learned as committed.
pub fn newest_register(controller: &Arc<Controller>, request: RegisterRequest) -> RegisterResponse {
    let learned = controller.learned.lock().get(&request.key).cloned();
    let accepted = controller.acceptor.lock().register(&request.key).cloned();
    let register = match (accepted, learned) {
        (Some(own), Some((ballot, value))) if ballot > own.accepted => {
            Some(Register { accepted: ballot, value, ..own })
        }
        (None, Some((ballot, value))) => {
            Some(Register { key: request.key, accepted: ballot, value, ..Default::default() })
        }
        (own, _) => own,
    };
    RegisterResponse { is_known: register.is_some(), register }
}

impl Controller {
    /// The value of [`newest_register`], if the key is known here.
    pub(crate) fn newest_value(self: &Arc<Self>, key: &str) -> Option<bytes::Bytes> {
        let register = newest_register(self, RegisterRequest { key: key.to_owned() }).register?;
        Some(register.value)
    }
}

/// Part of an accepted value, for the member at `peer` that reads its state back.
pub fn chunk(controller: &Arc<Controller>, peer: &str, request: &ValueChunkRequest) -> ValueChunk {
    let current = controller.acceptor.lock().register(&request.key).cloned();
    controller.peers.state_transfers.chunk(peer, request, current.as_ref())
}
