//! The holder's side of catching up: values in pieces, each from one version to its end.

use fleet_core::constants;
use fleet_core::wire::{Register, ValueChunk, ValueChunkRequest};
use tokio::time::Instant;

/// Who reads which key.
type Reader = (String, String);

/// Values that members are reading; one that is replaced midway is kept for its reader, so that
/// a key that changes often can be read to its end.
#[derive(Default)]
pub struct StateTransfers {
    open: parking_lot::Mutex<hashbrown::HashMap<Reader, StateTransfer>>,
}

struct StateTransfer {
    register: Register,
    last_requested: Instant,
}

impl StateTransfers {
    /// The next piece for the member at `peer`; `current` is what is held of the key now.
    pub fn chunk(
        &self,
        peer: &str,
        request: &ValueChunkRequest,
        current: Option<&Register>,
    ) -> ValueChunk {
        let mut open = self.open.lock();
        open.retain(|_, transfer| {
            transfer.last_requested.elapsed() < constants::STATE_TRANSFER_RETENTION
        });
        let reader = (peer.to_owned(), request.key.clone());
        let begun =
            open.get(&reader).filter(|transfer| transfer.register.accepted == request.ballot);
        let Some(register) = begun.map(|transfer| &transfer.register).or(current) else {
            return ValueChunk::default();
        };
        let register = register.clone();
        let chunk = chunk_at(&register, request);
        if chunk.offset + (chunk.bytes.len() as u64) < chunk.total {
            open.insert(reader, StateTransfer { register, last_requested: Instant::now() });
        } else {
            open.remove(&reader);
        }
        chunk
    }
}

/// A value of another ballot than the one asked for begins at its start.
fn chunk_at(register: &Register, request: &ValueChunkRequest) -> ValueChunk {
    let total = register.value.len();
    let same = register.accepted == request.ballot;
    let from = if same { total.min(request.offset as usize) } else { 0 };
    let to = total.min(from + constants::CHUNK_BYTES);
    ValueChunk {
        ballot: register.accepted,
        offset: from as u64,
        total: total as u64,
        bytes: register.value.slice(from..to),
    }
}

#[cfg(test)]
#[path = "state_transfer_tests.rs"]
mod tests;
