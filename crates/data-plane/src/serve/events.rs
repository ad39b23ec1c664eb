//! The events of a stream, parsed just enough to go on at the last whole one.

use bytes::{Bytes, BytesMut};

/// Parts a stream into whole events, and knows the id of the last one.
#[derive(Default)]
pub struct EventSplitter {
    held: BytesMut,
    last: Option<String>,
}

impl EventSplitter {
    /// For a stream that goes on behind this event.
    pub fn starting_after(last: Option<String>) -> Self {
        EventSplitter { held: BytesMut::new(), last }
    }

    /// Takes bytes as they come and gives the whole events among them.
    pub fn take(&mut self, b: &[u8]) -> Option<Bytes> {
        let from = self.held.len().saturating_sub(1);
        self.held.extend_from_slice(b);
        let end = self.held[from..].windows(2).rposition(|w| w == b"\n\n")? + from + 2;
        let whole = self.held.split_to(end).freeze();
        for line in whole.split(|c| *c == b'\n') {
            if let Some(id) = line.strip_prefix(b"id:")
                && let Ok(id) = std::str::from_utf8(id)
            {
                self.last = Some(id.trim().to_owned());
            }
        }
        Some(whole)
    }

    /// Half an event, as when an answer breaks off: it counts as not come.
    pub fn drop_half(&mut self) {
        self.held.clear();
    }

    /// What the stream ended with behind its last whole event.
    pub fn rest(&mut self) -> Option<Bytes> {
        (!self.held.is_empty()).then(|| self.held.split().freeze())
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
