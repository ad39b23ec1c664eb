//! Serves values in chunks to members in recovery. All chunks of one transfer come from the same version of the value.

use fleet_core::constants;
use fleet_core::wire::{Register, ValueChunk, ValueChunkRequest};
use tokio::time::Instant;

/// Address of the reading member, and the key that it reads.
type TransferId = (String, String);

/// Transfers in progress. The value being read is retained when it is replaced during the transfer, so that a register
/// that changes often can be read completely.
#[derive(Default)]
pub struct StateTransfers {
    in_progress: parking_lot::Mutex<hashbrown::HashMap<TransferId, StateTransfer>>,
}

struct StateTransfer {
    register: Register,
    last_requested: Instant,
}

impl StateTransfers {
    /// The requested chunk for the member at address `peer`; `current` is the register's current value on this node.
    /// The chunk is empty if the register is unknown here.
    pub fn chunk(
        &self,
        peer: &str,
        request: &ValueChunkRequest,
        current: Option<&Register>,
    ) -> ValueChunk {
        let mut in_progress = self.in_progress.lock();
        in_progress.retain(|_, transfer| {
            transfer.last_requested.elapsed() < constants::STATE_TRANSFER_RETENTION
        });
        let id = (peer.to_owned(), request.key.clone());
        let retained =
            in_progress.get(&id).filter(|transfer| transfer.register.accepted == request.ballot);
        let Some(register) = retained.map(|transfer| &transfer.register).or(current) else {
            return ValueChunk::default();
        };
        let register = register.clone();
        let chunk = chunk_at(&register, request);
        if chunk.offset + (chunk.bytes.len() as u64) < chunk.total_bytes {
            in_progress.insert(id, StateTransfer { register, last_requested: Instant::now() });
        } else {
            in_progress.remove(&id);
        }
        chunk
    }
}

/// The chunk at the requested offset, or the first chunk if the value has another ballot than the requested one.
fn chunk_at(register: &Register, request: &ValueChunkRequest) -> ValueChunk {
    let total_bytes = register.value.len();
    let is_requested_ballot = register.accepted == request.ballot;
    let from = if is_requested_ballot { total_bytes.min(request.offset as usize) } else { 0 };
    let to = total_bytes.min(from + constants::CHUNK_BYTES);
    ValueChunk {
        ballot: register.accepted,
        offset: from as u64,
        total_bytes: total_bytes as u64,
        bytes: register.value.slice(from..to),
    }
}

#[cfg(test)]
#[path = "state_transfer_tests.rs"]
mod tests;
