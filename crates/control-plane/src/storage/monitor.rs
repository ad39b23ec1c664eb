//! Watches how long records wait: a disk that hangs refuses nothing, and its member can't vote
//! all the same.

use super::format::Record;
use super::{DiskError, RecordQueue};
use fleet_core::constants;
use fleet_core::log::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::oneshot;

/// A queue of records that knows whether one of them is overdue.
pub struct MonitoredDisk {
    queue: Arc<dyn RecordQueue>,
    waiting: Arc<Waiting>,
}

/// Records that were queued and are not through.
struct Waiting {
    /// bytes of all of them
    bytes: AtomicUsize,
    /// how many have waited longer than a disk that works takes
    overdue: AtomicUsize,
    log: slog::Logger,
}

impl MonitoredDisk {
    /// Watches the records of this queue.
    pub fn new(queue: Arc<dyn RecordQueue>, log: slog::Logger) -> MonitoredDisk {
        let (bytes, overdue) = (AtomicUsize::new(0), AtomicUsize::new(0));
        MonitoredDisk { queue, waiting: Arc::new(Waiting { bytes, overdue, log }) }
    }

    /// Queues a record at once. It is written also when the caller stops waiting for it.
    ///
    /// # Errors
    ///
    /// The record is not durable, or nobody knows: see [`DiskError`].
    pub fn append(
        &self,
        record: Record,
    ) -> impl Future<Output = Result<(), DiskError>> + Send + 'static {
        let bytes = record.registers.iter().map(|register| register.value.len()).sum();
        let written = self.queue.append(record);
        let (done, outcome) = oneshot::channel();
        let waiting = self.waiting.clone();
        tokio::spawn(async move {
            // the caller may have given up
            let _ = done.send(waiting.watch(written, bytes).await);
        });
        async move { outcome.await.map_err(|_| DiskError::Ended)? }
    }

    /// Whether the last write failed, or one hangs.
    pub fn is_broken(&self) -> bool {
        self.queue.is_broken() || self.waiting.overdue.load(Ordering::Relaxed) > 0
    }

    /// Whether there is no disk at all.
    pub fn is_absent(&self) -> bool {
        self.queue.is_absent()
    }
}

impl Waiting {
    /// Waits until a record is through, and counts it as overdue from the time when it should be.
    async fn watch(
        &self,
        written: impl Future<Output = Result<(), DiskError>>,
        bytes: usize,
    ) -> Result<(), DiskError> {
        let queued = self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        tokio::pin!(written);
        let in_time = tokio::time::timeout(constants::disk_timeout(queued), &mut written).await;
        let outcome = match in_time {
            Ok(outcome) => outcome,
            Err(_) => self.watch_overdue(written).await,
        };
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        outcome
    }

    async fn watch_overdue(
        &self,
        written: impl Future<Output = Result<(), DiskError>>,
    ) -> Result<(), DiskError> {
        if self.overdue.fetch_add(1, Ordering::Relaxed) == 0 {
            fleet_core::log_event!(self.log, Event::DiskError, "error" => "a write hangs");
        }
        let outcome = written.await;
        let was_last = self.overdue.fetch_sub(1, Ordering::Relaxed) == 1;
        if was_last && outcome.is_ok() {
            fleet_core::log_event!(self.log, Event::DiskRecovered);
        }
        outcome
    }
}

#[cfg(test)]
#[path = "monitor_tests.rs"]
mod tests;
