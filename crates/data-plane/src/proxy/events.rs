//! Splits a server-sent event stream at event boundaries, so that it can be resumed after the last complete event.

use bytes::{Bytes, BytesMut};
use fleet_core::byte_budget::Reservation;

/// Splits a stream into complete events, and keeps the id of the last one.
pub struct EventSplitter {
    buffered: BytesMut,
    /// Covers `buffered`.
    reservation: Reservation,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Starts with a stream that is resumed after the event `last_id`, if there is one. A partial event is kept under
    /// `reservation`.
    pub fn new(last_id: Option<String>, reservation: Reservation) -> Self {
        EventSplitter { buffered: BytesMut::new(), reservation, last_id }
    }

    /// Adds received bytes and returns all events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        let search_start = self.buffered.len().saturating_sub(1);
        self.buffered.extend_from_slice(bytes);
        let end = self.buffered[search_start..].windows(2).rposition(|w| w == b"\n\n");
        let complete = end.map(|end| self.buffered.split_to(end + search_start + 2).freeze());
        let _ = self.reservation.resize(self.buffered.len());
        let complete = complete?;
        for line in complete.split(|c| *c == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:")
                && let Ok(id) = std::str::from_utf8(id)
            {
                self.last_id = Some(id.trim().to_owned());
            }
        }
        Some(complete)
    }

    /// Discards a partial event, as after a truncated response; it is received again when the stream is resumed.
    pub fn discard_partial(&mut self) {
        self.buffered.clear();
        self.reservation.clear();
    }

    /// The bytes after the last complete event, at the end of a stream.
    pub fn remainder(&mut self) -> Option<Bytes> {
        (!self.buffered.is_empty()).then(|| self.buffered.split().freeze())
    }

    /// The id of the last complete event; `None` before the first id.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
