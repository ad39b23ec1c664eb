//! The thread that writes and syncs records. A record is durable once its result is `Ok`.

pub use super::files::StateFiles;
use super::format::Record;
use super::{DiskError, RecordQueue};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::transport::BoxFuture;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc;
use tokio::sync::oneshot;

/// A queued record, and the channel for its result.
struct Job {
    record: Record,
    result_tx: oneshot::Sender<Result<(), DiskError>>,
}

/// The queue of the writer thread, which ends once all clones of the queue are dropped.
#[derive(Clone)]
pub struct DiskWriter {
    /// `None` if the machine has no disk: every record fails.
    jobs: Option<mpsc::Sender<Job>>,
    is_broken: Arc<AtomicBool>,
}

impl DiskWriter {
    /// Starts the writer thread for these files.
    pub fn start(files: StateFiles, log: slog::Logger) -> DiskWriter {
        let (jobs, queue) = mpsc::channel();
        let is_broken = Arc::new(AtomicBool::new(false));
        let writer = Writer { files, queue, is_broken: is_broken.clone(), log };
        // If the thread can't be started the queue has no receiver, and every record fails with
        // `DiskError::WriterTerminated`.
        let _ = std::thread::Builder::new()
            .stack_size(constants::STACK_BYTES)
            .spawn(move || writer.run());
        DiskWriter { jobs: Some(jobs), is_broken }
    }

    /// The queue of a machine without a disk: every record fails with [`DiskError::NoDisk`].
    pub fn absent() -> DiskWriter {
        DiskWriter { jobs: None, is_broken: Arc::new(AtomicBool::new(true)) }
    }
}

impl RecordQueue for DiskWriter {
    fn append(&self, record: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        let (result_tx, result_rx) = oneshot::channel();
        let queued = match &self.jobs {
            Some(jobs) => {
                jobs.send(Job { record, result_tx }).map_err(|_| DiskError::WriterTerminated)
            }
            None => Err(DiskError::NoDisk),
        };
        Box::pin(async move {
            queued?;
            result_rx.await.map_err(|_| DiskError::WriterTerminated)?
        })
    }

    fn is_absent(&self) -> bool {
        self.jobs.is_none()
    }

    fn is_broken(&self) -> bool {
        self.is_broken.load(Ordering::Relaxed)
    }
}

/// State of the writer thread.
struct Writer {
    files: StateFiles,
    queue: mpsc::Receiver<Job>,
    is_broken: Arc<AtomicBool>,
    log: slog::Logger,
}

impl Writer {
    /// Writes queued records in batches with one sync each, until all queues are dropped.
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
                // Fails if the caller has stopped waiting.
                let _ = job.result_tx.send(outcome.clone());
            }
        }
    }

    /// Waits for the next record. While the disk is broken, returns `None` after [`constants::DISK_RETRY_INTERVAL`], so
    /// that the records in memory are written again.
    ///
    /// # Errors
    ///
    /// All queues are dropped.
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

    /// Logs when writes begin to fail and when they succeed again.
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
