//! How fast digests may be given: a line and a memory hold few of them at once.

use fleet_core::constants;
use tokio::time::Instant;

/// Bytes of digests that may still be on their way: they go out at the rate of the line at most.
#[derive(Debug, Default)]
pub struct Pace {
    underway: usize,
    at: Option<Instant>,
}

impl Pace {
    /// Whether a digest of so many bytes may go out now; it counts as given if so. One that is larger
    /// than the bound goes out alone.
    pub fn give(&mut self, now: Instant, bytes: usize) -> bool {
        let passed = self.at.map_or(0, |at| now.saturating_duration_since(at).as_millis() as usize);
        self.underway =
            self.underway.saturating_sub(passed.saturating_mul(constants::REFILL_BYTES_PER_MS));
        self.at = Some(now);
        if self.underway > 0 && self.underway + bytes > constants::REFILL_UNDERWAY {
            return false;
        }
        self.underway += bytes;
        true
    }
}

#[cfg(test)]
#[path = "pace_tests.rs"]
mod tests;
