//! Splits a server-sent event stream at event boundaries, so that it can be resumed after the last complete event.
//!
//! Only a partial event is kept. One that is too large to be kept is relayed as it arrives; its stream can't be resumed
//! any more.

use bytes::{Bytes, BytesMut};
use fleet_core::byte_budget::{Reservation, ReservedBytes};
use fleet_core::constants;

/// Splits a stream into complete events, and keeps the id of the last one.
pub struct EventSplitter {
    buffered: BytesMut,
    /// Covers `buffered`, which is at most [`constants::PARTIAL_EVENT_MAX_BYTES`] long.
    reservation: Reservation,
    /// False once a part of an event was relayed; `buffered` is empty from then on.
    is_resumable: bool,
    last_id: Option<String>,
}

impl EventSplitter {
    /// Starts with a stream that is resumed after the event `last_id`, if there is one. A partial event is kept under
    /// `reservation`.
    pub fn new(last_id: Option<String>, reservation: Reservation) -> Self {
        EventSplitter { buffered: BytesMut::new(), reservation, is_resumable: true, last_id }
    }

    /// Adds received bytes and returns those that can be relayed now: all events that are complete, or all bytes once
    /// the stream can't be resumed any more.
    pub fn push(&mut self, bytes: Bytes) -> Option<ReservedBytes> {
        if !self.is_resumable {
            return Some(bytes.into());
        }
        let search_start = self.buffered.len().saturating_sub(1);
        self.buffered.extend_from_slice(&bytes);
        let boundary = self.buffered[search_start..].windows(2).rposition(|w| w == b"\n\n");
        let complete_len = boundary.map_or(0, |at| search_start + at + 2);
        let partial_len = self.buffered.len() - complete_len;
        // What was kept before is the start of what is complete now.
        let completed = (complete_len > 0).then(|| self.reservation.split_off(usize::MAX));
        let is_kept = partial_len <= constants::PARTIAL_EVENT_MAX_BYTES
            && self.reservation.resize(partial_len);
        if !is_kept {
            self.is_resumable = false;
            let reservation = completed.unwrap_or_else(|| self.reservation.split_off(usize::MAX));
            return Some(self.take_all(reservation));
        }
        let reservation = completed?;
        let bytes = self.buffered.split_to(complete_len).freeze();
        self.record_last_id(&bytes);
        Some(ReservedBytes { bytes, reservation: Some(reservation) })
    }

    fn take_all(&mut self, reservation: Reservation) -> ReservedBytes {
        let bytes = std::mem::take(&mut self.buffered).freeze();
        ReservedBytes { bytes, reservation: Some(reservation) }
    }

    fn record_last_id(&mut self, events: &[u8]) {
        for line in events.split(|c| *c == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:")
                && let Ok(id) = std::str::from_utf8(id)
            {
                self.last_id = Some(id.trim().to_owned());
            }
        }
    }

    /// Whether the stream can go on at another engine after the last complete event.
    pub fn is_resumable(&self) -> bool {
        self.is_resumable
    }

    /// Discards a partial event, as after a truncated response; it is received again when the stream is resumed.
    pub fn discard_partial(&mut self) {
        self.buffered = BytesMut::new();
        self.reservation.clear();
    }

    /// The bytes after the last complete event, at the end of a stream.
    pub fn remainder(&mut self) -> Option<ReservedBytes> {
        let reservation = self.reservation.split_off(usize::MAX);
        (!self.buffered.is_empty()).then(|| self.take_all(reservation))
    }

    /// The id of the last complete event; `None` before the first id.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
