//! Disk storage of a voter.

use super::VALUE_BYTES_PER_MS;
use std::time::Duration;

/// A record that waits longer than this indicates a hung disk. It is below the phase timeout, so that an owner whose
/// own vote was late knows the reason. A slow disk takes half of it for the sync in progress and half for the
/// record's own sync.
pub const DISK_TIMEOUT: Duration = Duration::from_millis(350);
/// Interval at which a disk that refused a write is retried.
pub const DISK_RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Number of additional records that are written with the same sync as the first.
pub const DISK_BATCH: usize = 64;
/// Size of a slot in bytes. It is preallocated in full at the first start, so that a full disk does not block writes;
/// it is preallocated to twice the size of the state once the state fills two thirds of it.
pub const SLOT_BYTES: usize = 1 << 20;
/// Number of zero bytes written at once while a file is preallocated.
pub const PREALLOCATE_CHUNK_BYTES: usize = 64 << 10;
/// Size in bytes of the log between two slots, preallocated at the first start; small so that recovery is short.
pub const LOG_BYTES: usize = 2 << 20;

/// Timeout of a working disk for this many bytes of queued records.
pub fn disk_timeout(bytes: usize) -> Duration {
    DISK_TIMEOUT + Duration::from_millis(bytes as u64 / VALUE_BYTES_PER_MS)
}
