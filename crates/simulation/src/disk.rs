//! A simulated disk: records are kept in the order of their queue, late, or not at all.

use crate::constants;
use control_plane::storage::DiskError;
use control_plane::storage::format::{Record, State};
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};

/// How a disk behaves at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Condition {
    /// Syncs don't end.
    pub hung: bool,
    /// Each sync takes long.
    pub slow: bool,
    /// Writes are refused.
    pub full: bool,
}

/// What a machine's disk holds, over all starts of its process.
#[derive(Clone)]
pub struct SimulatedDisk {
    image: Arc<Mutex<State>>,
    condition: watch::Sender<Condition>,
    rng: Arc<Mutex<fastrand::Rng>>,
    /// says that it kept what it didn't, half of the time: a defect for the checker to find
    lies: bool,
}

/// The queue to a disk that one start of a process uses.
#[derive(Clone)]
pub struct Queue {
    jobs: mpsc::UnboundedSender<Job>,
    refuses: watch::Receiver<bool>,
    ended: watch::Sender<bool>,
}

struct Job {
    record: Record,
    done: oneshot::Sender<Result<(), DiskError>>,
}

impl SimulatedDisk {
    /// An empty disk.
    pub fn new(seed: u64, lies: bool) -> SimulatedDisk {
        SimulatedDisk {
            image: Arc::default(),
            condition: watch::channel(Condition::default()).0,
            rng: Arc::new(Mutex::new(fastrand::Rng::with_seed(seed))),
            lies,
        }
    }

    /// What is on it now.
    pub fn state(&self) -> State {
        self.image.lock().clone()
    }

    /// Whether nothing was ever written since it was new or wiped.
    pub fn is_empty(&self) -> bool {
        *self.image.lock() == State::default()
    }

    /// Loses all that it holds.
    pub fn wipe(&self) {
        *self.image.lock() = State::default();
    }

    /// Changes how it behaves.
    pub fn behave(&self, change: impl FnOnce(&mut Condition)) {
        self.condition.send_modify(change);
    }

    /// The queue of a newly started process; what a former one had queued is lost.
    pub fn open(&self) -> Queue {
        let (jobs, incoming) = mpsc::unbounded_channel();
        let (refused, refuses) = watch::channel(false);
        let (ended, is_ended) = watch::channel(false);
        tokio::spawn(write_until(self.clone(), incoming, refused, is_ended));
        Queue { jobs, refuses, ended }
    }

    fn sync_time(&self) -> Duration {
        let spread = self.rng.lock().u64(0..=constants::SYNC_SPREAD_US);
        let usual = Duration::from_micros(constants::SYNC_LEAST_US + spread);
        if self.condition.borrow().slow { usual + constants::SLOW_SYNC } else { usual }
    }

    async fn append(&self, record: &Record) -> Result<(), DiskError> {
        tokio::time::sleep(self.sync_time()).await;
        let mut condition = self.condition.subscribe();
        let _ = condition.wait_for(|now| !now.hung).await;
        if self.condition.borrow().full {
            let kind = std::io::ErrorKind::StorageFull;
            return Err(DiskError::Io { what: "write log", kind });
        }
        if !self.lies || self.rng.lock().bool() {
            self.image.lock().apply(record);
        }
        Ok(())
    }
}

async fn write_until(
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

/// As the real writer: after a refusal nothing more is taken until the disk takes all of it.
async fn write_all(
    disk: SimulatedDisk,
    mut jobs: mpsc::UnboundedReceiver<Job>,
    refused: watch::Sender<bool>,
) {
    let mut owed: Vec<Record> = Vec::new();
    while let Some(job) = jobs.recv().await {
        owed.push(job.record);
        let mut result = Ok(());
        while let Some(record) = owed.first() {
            result = disk.append(record).await;
            if result.is_err() {
                break;
            }
            owed.remove(0);
        }
        refused.send_replace(result.is_err());
        let _ = job.done.send(result);
    }
}

impl Queue {
    /// Queues a record; its answer comes once it is on the disk.
    pub fn append(
        &self,
        record: Record,
    ) -> impl Future<Output = Result<(), DiskError>> + Send + use<> {
        let (done, appended) = oneshot::channel();
        let sent = self.jobs.send(Job { record, done }).map_err(|_| DiskError::Ended);
        async move {
            sent?;
            appended.await.map_err(|_| DiskError::Ended)?
        }
    }

    /// Whether the last write was refused.
    pub fn is_refused(&self) -> bool {
        *self.refuses.borrow()
    }

    /// The process is dead: what is queued is never written.
    pub fn end(&self) {
        self.ended.send_replace(true);
    }
}

#[cfg(test)]
#[path = "disk_tests.rs"]
mod tests;
