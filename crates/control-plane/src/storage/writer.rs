//! The thread that writes and syncs; what it has answered is on the disk.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

pub use super::files::Files;
use super::format::Record;
use super::{DiskError, RecordQueue};
use fleet_core::constants;
use fleet_core::transport::BoxFuture;

struct Job {
    record: Record,
    done: tokio::sync::oneshot::Sender<Result<(), DiskError>>,
}

#[derive(Clone)]
pub struct Disk {
    /// none where there is no disk: nothing is ever kept
    tx: Option<std::sync::mpsc::Sender<Job>>,
    broken: std::sync::Arc<std::sync::atomic::AtomicBool>,
}

impl Disk {
    pub fn start(mut files: Files, log: slog::Logger) -> Disk {
        let (tx, rx) = std::sync::mpsc::channel::<Job>();
        let broken = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
        let flag = broken.clone();
        let run = move || {
            let mut bad = false;
            loop {
                let first = if bad {
                    match rx.recv_timeout(constants::DISK_RETRY_INTERVAL) {
                        Ok(j) => Some(j),
                        Err(std::sync::mpsc::RecvTimeoutError::Timeout) => None,
                        Err(_) => return,
                    }
                } else {
                    match rx.recv() {
                        Ok(j) => Some(j),
                        Err(_) => return,
                    }
                };
                let mut jobs: Vec<Job> = first.into_iter().collect();
                jobs.extend(rx.try_iter().take(64));
                let was = bad;
                let out = files.persist(jobs.iter().map(|job| &job.record));
                bad = out.is_err();
                flag.store(bad, std::sync::atomic::Ordering::Relaxed);
                match (&out, was) {
                    (Err(e), false) => {
                        fleet_core::log_event!(log, fleet_core::log::Event::DiskError, "error" => e.to_string());
                    }
                    (Ok(()), true) => {
                        fleet_core::log_event!(log, fleet_core::log::Event::DiskRecovered)
                    }
                    _ => {}
                }
                for j in jobs {
                    let _ = j.done.send(out.clone());
                }
            }
        };
        let _ = std::thread::Builder::new().stack_size(constants::STACK_BYTES).spawn(run);
        Disk { tx: Some(tx), broken }
    }

    pub fn absent() -> Disk {
        Disk { tx: None, broken: std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true)) }
    }
}

impl RecordQueue for Disk {
    fn append(&self, record: Record) -> BoxFuture<'static, Result<(), DiskError>> {
        let (done, rx) = tokio::sync::oneshot::channel();
        let sent = match &self.tx {
            Some(tx) => tx.send(Job { record, done }).map_err(|_| DiskError::Ended),
            None => Err(DiskError::Absent),
        };
        Box::pin(async move {
            sent?;
            rx.await.map_err(|_| DiskError::Ended)?
        })
    }

    fn is_absent(&self) -> bool {
        self.tx.is_none()
    }

    fn is_broken(&self) -> bool {
        self.broken.load(std::sync::atomic::Ordering::Relaxed)
    }
}
