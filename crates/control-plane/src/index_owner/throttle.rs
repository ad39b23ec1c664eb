//! Limits the rate at which snapshots are sent: bandwidth and memory suffice for only a few of them at a time.

use fleet_core::constants;
use tokio::time::Instant;

/// Tracks the estimated snapshot bytes in flight, assuming that they are sent at
/// [`constants::SNAPSHOT_BYTES_PER_MS`].
#[derive(Debug, Default)]
pub struct SnapshotThrottle {
    in_flight_bytes: usize,
    updated_at: Option<Instant>,
}

impl SnapshotThrottle {
    /// Whether a snapshot of this many bytes may be sent now; if so, it is counted as sent. One that is larger than the
    /// limit is sent only when none is in flight.
    pub fn try_acquire(&mut self, now: Instant, bytes: usize) -> bool {
        let elapsed_ms = self
            .updated_at
            .map_or(0, |updated_at| now.saturating_duration_since(updated_at).as_millis() as usize);
        self.in_flight_bytes = self
            .in_flight_bytes
            .saturating_sub(elapsed_ms.saturating_mul(constants::SNAPSHOT_BYTES_PER_MS));
        self.updated_at = Some(now);
        if self.in_flight_bytes > 0
            && self.in_flight_bytes + bytes > constants::SNAPSHOT_BYTES_IN_FLIGHT
        {
            return false;
        }
        self.in_flight_bytes += bytes;
        true
    }
}

#[cfg(test)]
#[path = "throttle_tests.rs"]
mod tests;
