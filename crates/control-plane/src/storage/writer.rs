//! The thread that writes and syncs; what it has answered is on the disk.

pub use super::files::Files;
use super::format::Record;
use super::{DiskError, RecordQueue};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::transport::BoxFuture;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use tokio::sync::oneshot;

/// A record that waits for its turn, and whoever waits for it.
struct Job {
    record: Record,
    done: oneshot::Sender<Result<(), DiskError>>,
}

/// The queue of a disk's thread. The thread ends once all clones of the queue are dropped.
#[derive(Clone)]
pub struct Disk {
    /// None where there is no disk: nothing is ever kept.
    jobs: Option<mpsc::Sender<Job>>,
    is_broken: Arc<AtomicBool>,
}

impl Disk {
    /// Starts the thread that writes to these files.
    pub fn start(files: Files, log: slog::Logger) -> Disk {
        let (jobs, queue) = mpsc::channel();
        let is_broken = Arc::new(AtomicBool::new(false));
        let writer = Writer { files, queue, is_broken: is_broken.clone(), log };
        // Without a thread the queue has no receiver, and each record ends with `DiskError::Ended`.
        let _ = std::thread::Builder::new()
            .stack_size(constants::STACK_BYTES)
            .spawn(move || writer.run());
        Disk { jobs: Some(jobs), is_broken }
    }

    /// The queue of a machine without a disk: nothing can be kept.
    pub fn absent() -> Disk {
        Disk { jobs: None, is_broken: Arc::new(AtomicBool::new(true)) }
    }
}

impl RecordQueue for Disk {
    fn append(&self, record: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        let (done, outcome) = oneshot::channel();
        let queued = match &self.jobs {
            Some(jobs) => jobs.send(Job { record, done }).map_err(|_| DiskError::Ended),
            None => Err(DiskError::Absent),
        };
        Box::pin(async move {
            queued?;
            outcome.await.map_err(|_| DiskError::Ended)?
        })
    }

    fn is_absent(&self) -> bool {
        self.jobs.is_none()
    }

    fn is_broken(&self) -> bool {
        self.is_broken.load(Ordering::Relaxed)
    }
}

/// What the thread works with.
struct Writer {
    files: Files,
    queue: mpsc::Receiver<Job>,
    is_broken: Arc<AtomicBool>,
    log: slog::Logger,
}

impl Writer {
    /// Writes what is queued, several records with one sync, until nobody can queue any more.
    fn run(mut self) {
        let mut was_broken = false;
        while let Ok(first) = self.next_job(was_broken) {
            let mut jobs: Vec<Job> = first.into_iter().collect();
            jobs.extend(self.queue.try_iter().take(constants::DISK_BATCH));
            let outcome = self.files.persist(jobs.iter().map(|job| &job.record));
            self.is_broken.store(outcome.is_err(), Ordering::Relaxed);
            self.log_change(&outcome, was_broken);
            was_broken = outcome.is_err();
            for job in jobs {
                // Whoever queued it may have given up.
                let _ = job.done.send(outcome.clone());
            }
        }
    }

    /// Waits for a record. While the disk is broken, none after a pause: what is held in memory is tried again.
    ///
    /// # Errors
    ///
    /// Nobody can queue any more.
    fn next_job(&self, is_broken: bool) -> Result<Option<Job>, mpsc::RecvError> {
        if !is_broken {
            return self.queue.recv().map(Some);
        }
        match self.queue.recv_timeout(constants::DISK_RETRY_INTERVAL) {
            Ok(job) => Ok(Some(job)),
            Err(mpsc::RecvTimeoutError::Timeout) => Ok(None),
            Err(mpsc::RecvTimeoutError::Disconnected) => Err(mpsc::RecvError),
        }
    }

    fn log_change(&self, outcome: &Result<(), DiskError>, was_broken: bool) {
        match (outcome, was_broken) {
            (Err(error), false) => {
                fleet_core::log_event!(self.log, Event::DiskError, "error" => error.to_string());
            }
            (Ok(()), true) => fleet_core::log_event!(self.log, Event::DiskRecovered),
            _ => {}
        }
    }
}
