//! Tells a body that goes on without an end from a long one.
//!
//! A stream of events is measured since its last event was complete, so that it may be of any length; another body is
//! measured as a whole. A body that exceeds the measure is relayed on, since it may be valid; its engine is ejected
//! while it goes on if it is a stream of events, and otherwise if it has not ended at the deadline.

use fleet_core::constants;

/// How much of a body arrived since it last showed that it is valid.
#[derive(Debug)]
pub struct BodyProgress {
    is_event_stream: bool,
    unfinished_bytes: usize,
    ends_with_line_feed: bool,
    total_bytes: usize,
}

impl BodyProgress {
    /// Starts with an empty body.
    pub fn new(is_event_stream: bool) -> BodyProgress {
        BodyProgress {
            is_event_stream,
            unfinished_bytes: 0,
            ends_with_line_feed: false,
            total_bytes: 0,
        }
    }

    /// Adds received bytes.
    pub fn record(&mut self, data: &[u8]) {
        self.total_bytes = self.total_bytes.saturating_add(data.len());
        let boundary = self.is_event_stream.then(|| self.last_boundary(data)).flatten();
        self.unfinished_bytes = match boundary {
            Some(end) => data.len() - end,
            None => self.unfinished_bytes.saturating_add(data.len()),
        };
        self.ends_with_line_feed = data.last() == Some(&b'\n');
    }

    /// The end of the last event that is complete with these bytes.
    fn last_boundary(&self, data: &[u8]) -> Option<usize> {
        let within = data.windows(2).rposition(|pair| pair == b"\n\n").map(|at| at + 2);
        let is_across = self.ends_with_line_feed && data.first() == Some(&b'\n');
        within.or_else(|| is_across.then_some(1))
    }

    /// Whether an event has been going on for longer than any valid one.
    pub fn has_endless_event(&self) -> bool {
        self.is_event_stream && self.is_endless()
    }

    /// Whether a body that has not ended by now will not end.
    pub fn is_endless(&self) -> bool {
        self.unfinished_bytes > constants::ENDLESS_BODY_BYTES
    }

    /// Whether so much has been received that other responses go first.
    pub fn is_bulk(&self) -> bool {
        self.total_bytes > constants::BULK_BODY_BYTES
    }
}

#[cfg(test)]
#[path = "body_progress_tests.rs"]
mod tests;
