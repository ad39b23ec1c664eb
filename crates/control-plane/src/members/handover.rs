//! The holder's side of catching up: values in pieces, each from one version to its end.

use fleet_core::constants;
use fleet_core::wire::{Register, ValueChunk, ValueChunkRequest};
use tokio::time::Instant;

/// Who reads which key.
type Reader = (String, String);

/// Values that members are reading; one that is replaced midway is kept for its reader, so that
/// a key that changes often can be read to its end.
#[derive(Default)]
pub struct Handovers {
    open: parking_lot::Mutex<hashbrown::HashMap<Reader, Handover>>,
}

struct Handover {
    register: Register,
    asked: Instant,
}

impl Handovers {
    /// The next piece for the member at `peer`; `current` is what is held of the key now.
    pub fn piece(
        &self,
        peer: &str,
        ask: &ValueChunkRequest,
        current: Option<&Register>,
    ) -> ValueChunk {
        let mut open = self.open.lock();
        open.retain(|_, handover| handover.asked.elapsed() < constants::HANDOVER_KEPT);
        let reader = (peer.to_owned(), ask.key.clone());
        let begun = open.get(&reader).filter(|handover| handover.register.accepted == ask.ballot);
        let Some(register) = begun.map(|handover| &handover.register).or(current) else {
            return ValueChunk::default();
        };
        let register = register.clone();
        let piece = cut(&register, ask);
        if piece.offset + (piece.bytes.len() as u64) < piece.total {
            open.insert(reader, Handover { register, asked: Instant::now() });
        } else {
            open.remove(&reader);
        }
        piece
    }
}

/// A value of another ballot than the one asked for begins at its start.
fn cut(register: &Register, ask: &ValueChunkRequest) -> ValueChunk {
    let total = register.value.len();
    let same = register.accepted == ask.ballot;
    let from = if same { total.min(ask.offset as usize) } else { 0 };
    let to = total.min(from + constants::PIECE_BYTES);
    ValueChunk {
        ballot: register.accepted,
        offset: from as u64,
        total: total as u64,
        bytes: register.value.slice(from..to),
    }
}

#[cfg(test)]
#[path = "handover_tests.rs"]
mod tests;
