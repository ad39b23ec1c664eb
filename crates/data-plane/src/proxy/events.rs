//! The events of a stream, parsed just enough to go on at the last whole one.

use bytes::{Bytes, BytesMut};

/// Parts a stream into whole events, and knows the id of the last one.
#[derive(Default)]
pub struct EventSplitter {
    buffered: BytesMut,
    last_id: Option<String>,
}

impl EventSplitter {
    /// For a stream that goes on behind this event.
    pub fn starting_after(last_id: Option<String>) -> Self {
        EventSplitter { buffered: BytesMut::new(), last_id }
    }

    /// Takes bytes as they come and gives the whole events among them.
    pub fn push(&mut self, b: &[u8]) -> Option<Bytes> {
        let from = self.buffered.len().saturating_sub(1);
        self.buffered.extend_from_slice(b);
        let end = self.buffered[from..].windows(2).rposition(|w| w == b"\n\n")? + from + 2;
        let complete = self.buffered.split_to(end).freeze();
        for line in complete.split(|c| *c == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:")
                && let Ok(id) = std::str::from_utf8(id)
            {
                self.last_id = Some(id.trim().to_owned());
            }
        }
        Some(complete)
    }

    /// Half an event, as when an answer breaks off: it counts as not come.
    pub fn drop_half(&mut self) {
        self.buffered.clear();
    }

    /// What the stream ended with behind its last whole event.
    pub fn remainder(&mut self) -> Option<Bytes> {
        (!self.buffered.is_empty()).then(|| self.buffered.split().freeze())
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
