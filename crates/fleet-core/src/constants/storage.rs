//! The disk of a voter.

use super::VALUE_BYTES_PER_MS;
use std::time::Duration;

/// ms; a record that waits longer counts as one that hangs: below the limit of a phase, so that an owner
/// whose own vote didn't come in time knows why. A slowed disk takes half of it for the sync under way and
/// half for the record's own.
pub const DISK_TIMEOUT: Duration = Duration::from_millis(350);
/// ms; how often a refused disk is tried again.
pub const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// records; further ones than the first that are written with one sync.
pub const DISK_BATCH: usize = 64;
/// bytes; a slot is preallocated in full at first start so that a full disk stops nothing; it is
/// preallocated to twice the state once the state fills two thirds of it.
pub const SLOT_BYTES: usize = 1 << 20;
/// bytes; zeros written at once while a file is preallocated.
pub const PREALLOCATE_CHUNK_BYTES: usize = 64 << 10;
/// bytes; the log between two slots, preallocated at first start; small so that recovery is short.
pub const LOG_BYTES: usize = 2 << 20;

/// ms; longest that a working disk takes for this many bytes of queued records.
pub fn disk_timeout(bytes: usize) -> Duration {
    DISK_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}
