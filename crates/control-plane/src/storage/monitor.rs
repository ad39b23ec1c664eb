//! Monitors how long records wait: a hanging disk reports no errors, but its member can't vote either.

use super::format::Record;
use super::{DiskError, RecordQueue};
use fleet_core::constants;
use fleet_core::log::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::oneshot;

/// A record queue that detects overdue writes.
pub struct MonitoredDisk {
    queue: Arc<dyn RecordQueue>,
    pending: Arc<PendingWrites>,
}

/// The records that were queued and are not written yet.
struct PendingWrites {
    /// Total size of their values.
    bytes: AtomicUsize,
    /// Number of records that have waited longer than their timeout.
    overdue: AtomicUsize,
    log: slog::Logger,
}

impl MonitoredDisk {
    /// Monitors the records of this queue.
    pub fn new(queue: Arc<dyn RecordQueue>, log: slog::Logger) -> MonitoredDisk {
        let (bytes, overdue) = (AtomicUsize::new(0), AtomicUsize::new(0));
        MonitoredDisk { queue, pending: Arc::new(PendingWrites { bytes, overdue, log }) }
    }

    /// Queues a record at once. It is written even if the returned future is dropped.
    ///
    /// # Errors
    ///
    /// The record is not durable, or it is unknown whether it is: see [`DiskError`].
    pub fn append(
        &self,
        record: Record,
    ) -> impl Future<Output = Result<(), DiskError>> + Send + 'static {
        let bytes = record.registers.iter().map(|register| register.value.len()).sum();
        let written = self.queue.append(record);
        let (result_tx, result_rx) = oneshot::channel();
        let pending = self.pending.clone();
        tokio::spawn(async move {
            // Fails if the caller has dropped its future.
            let _ = result_tx.send(pending.track(written, bytes).await);
        });
        async move { result_rx.await.map_err(|_| DiskError::WriterTerminated)? }
    }

    /// Whether the last write failed or a write is overdue.
    pub fn is_broken(&self) -> bool {
        self.queue.is_broken() || self.pending.overdue.load(Ordering::Relaxed) > 0
    }

    /// Whether the machine has no disk.
    pub fn is_absent(&self) -> bool {
        self.queue.is_absent()
    }
}

impl PendingWrites {
    /// Waits until a record is written, and counts it as overdue once its timeout has passed. The timeout depends on
    /// the size of all pending records.
    async fn track(
        &self,
        written: impl Future<Output = Result<(), DiskError>>,
        bytes: usize,
    ) -> Result<(), DiskError> {
        let pending_bytes = self.bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        tokio::pin!(written);
        let timely_outcome =
            tokio::time::timeout(constants::disk_timeout(pending_bytes), &mut written).await;
        let outcome = match timely_outcome {
            Ok(outcome) => outcome,
            Err(_) => self.track_overdue(written).await,
        };
        self.bytes.fetch_sub(bytes, Ordering::Relaxed);
        outcome
    }

    async fn track_overdue(
        &self,
        written: impl Future<Output = Result<(), DiskError>>,
    ) -> Result<(), DiskError> {
        if self.overdue.fetch_add(1, Ordering::Relaxed) == 0 {
            fleet_core::log_event!(self.log, Event::DiskError, "error" => "write timed out and is still pending");
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
