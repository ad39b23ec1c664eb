//! A simulated disk: appends records in queue order, with delays, or refuses or loses them.

use crate::constants;
use control_plane::storage::DiskError;
use control_plane::storage::format::{Record, State};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// The faults that a disk has at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Condition {
    /// Syncs do not complete.
    pub hung: bool,
    /// Each sync is slow.
    pub slow: bool,
    /// Writes fail with `StorageFull`.
    pub full: bool,
}

/// A machine's disk, which survives restarts of its process.
#[derive(Clone)]
pub struct SimulatedDisk {
    image: Arc<Mutex<State>>,
    condition: watch::Sender<Condition>,
    rng: Arc<Mutex<fastrand::Rng>>,
    /// Whether the disk loses half of the writes that it acknowledges, an injected bug that the checker must detect.
    loses_writes: bool,
}

/// The write queue of one start of a process.
#[derive(Clone)]
pub struct WriteQueue {
    jobs: mpsc::UnboundedSender<Job>,
    is_write_refused: watch::Receiver<bool>,
    ended: watch::Sender<bool>,
}

struct Job {
    record: Record,
    done: oneshot::Sender<Result<(), DiskError>>,
}

impl SimulatedDisk {
    /// An empty disk.
    pub fn new(seed: u64, loses_writes: bool) -> SimulatedDisk {
        SimulatedDisk {
            image: Arc::default(),
            condition: watch::channel(Condition::default()).0,
            rng: Arc::new(Mutex::new(fastrand::Rng::with_seed(seed))),
            loses_writes,
        }
    }

    /// The stored state.
    pub fn state(&self) -> State {
        self.image.lock().clone()
    }

    /// Whether nothing has been written since it was new or wiped.
    pub fn is_empty(&self) -> bool {
        *self.image.lock() == State::default()
    }

    /// Erases the stored state.
    pub fn wipe(&self) {
        *self.image.lock() = State::default();
    }

    /// Changes the disk's faults.
    pub fn update_condition(&self, change: impl FnOnce(&mut Condition)) {
        self.condition.send_modify(change);
    }

    /// Opens the write queue of a newly started process.
    pub fn open(&self) -> WriteQueue {
        let (jobs, incoming) = mpsc::unbounded_channel();
        let (refused, is_write_refused) = watch::channel(false);
        let (ended, is_ended) = watch::channel(false);
        tokio::spawn(write_until_ended(self.clone(), incoming, refused, is_ended));
        WriteQueue { jobs, is_write_refused, ended }
    }

    fn sync_time(&self) -> Duration {
        let spread = self.rng.lock().u64(0..=constants::SYNC_JITTER_US);
        let normal = Duration::from_micros(constants::MIN_SYNC_US + spread);
        if self.condition.borrow().slow { normal + constants::SLOW_DISK_DELAY } else { normal }
    }

    async fn append(&self, record: &Record) -> Result<(), DiskError> {
        tokio::time::sleep(self.sync_time()).await;
        let mut condition = self.condition.subscribe();
        let _ = condition.wait_for(|now| !now.hung).await;
        if self.condition.borrow().full {
            let kind = std::io::ErrorKind::StorageFull;
            return Err(DiskError::Io { what: "write log", kind });
        }
        if !self.loses_writes || self.rng.lock().bool() {
            self.image.lock().apply(record);
        }
        Ok(())
    }
}

async fn write_until_ended(
    disk: SimulatedDisk,
    jobs: mpsc::UnboundedReceiver<Job>,
    refused: watch::Sender<bool>,
    mut is_ended: watch::Receiver<bool>,
) {
    tokio::select! {
        biased;
        _ = is_ended.wait_for(|ended| *ended) => {}
        () = write_all(disk, jobs, refused) => {}
    }
}

/// Like the real writer, keeps refused records and writes them before any later record.
async fn write_all(
    disk: SimulatedDisk,
    mut jobs: mpsc::UnboundedReceiver<Job>,
    refused: watch::Sender<bool>,
) {
    let mut pending: Vec<Record> = Vec::new();
    while let Some(job) = jobs.recv().await {
        pending.push(job.record);
        let mut result = Ok(());
        while let Some(record) = pending.first() {
            result = disk.append(record).await;
            if result.is_err() {
                break;
            }
            pending.remove(0);
        }
        refused.send_replace(result.is_err());
        let _ = job.done.send(result);
    }
}

impl WriteQueue {
    /// Queues a record; the future completes once it is on the disk.
    pub fn append(
        &self,
        record: Record,
    ) -> impl Future<Output = Result<(), DiskError>> + Send + use<> {
        let (done, appended) = oneshot::channel();
        let sent = self.jobs.send(Job { record, done }).map_err(|_| DiskError::WriterTerminated);
        async move {
            sent?;
            appended.await.map_err(|_| DiskError::WriterTerminated)?
        }
    }

    /// Whether the last write was refused.
    pub fn is_refused(&self) -> bool {
        *self.is_write_refused.borrow()
    }

    /// Stops the writer when the process ends: queued records are not written.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
