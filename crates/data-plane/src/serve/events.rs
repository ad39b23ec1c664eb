//! The events of a stream, parsed just enough to go on at the last whole one.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use bytes::{Bytes, BytesMut};

#[derive(Default)]
pub struct Cutter {
    held: BytesMut,
    last: Option<String>,
}

impl Cutter {
    pub fn starting_after(last: Option<String>) -> Self {
        Cutter { held: BytesMut::new(), last }
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

    pub fn rest(&mut self) -> Option<Bytes> {
        (!self.held.is_empty()).then(|| self.held.split().freeze())
    }

    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

#[cfg(test)]
#[path = "events_tests.rs"]
mod tests;
