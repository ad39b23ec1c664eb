//! How fast digests may be given: a line and a memory hold few of them at once.

use fleet_core::constants;
use tokio::time::Instant;

/// Bytes of digests that may still be on their way: they go out at the rate of the line at most.
#[derive(Debug, Default)]
pub struct SnapshotThrottle {
    in_flight_bytes: usize,
    at: Option<Instant>,
}

impl SnapshotThrottle {
    /// Whether a digest of so many bytes may go out now; it counts as given if so. One that is larger
    /// than the bound goes out alone.
    pub fn try_acquire(&mut self, now: Instant, bytes: usize) -> bool {
        let passed = self.at.map_or(0, |at| now.saturating_duration_since(at).as_millis() as usize);
        self.in_flight_bytes = self
            .in_flight_bytes
            .saturating_sub(passed.saturating_mul(constants::REFILL_BYTES_PER_MS));
        self.at = Some(now);
        if self.in_flight_bytes > 0 && self.in_flight_bytes + bytes > constants::REFILL_UNDERWAY {
            return false;
        }
        self.in_flight_bytes += bytes;
        true
    }
}

#[cfg(test)]
#[path = "throttle_tests.rs"]
mod tests;
