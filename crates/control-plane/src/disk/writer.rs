//! The thread that writes and syncs; what it has answered is on the disk.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::format::{self, Record, Slot, State};
use super::{DiskError, RecordQueue, refused};
use fleet_core::constants;
use fleet_core::transport::BoxFuture;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

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

pub struct Files {
    dir: PathBuf,
    seq: u64,
    log_at: usize,
    log: std::fs::File,
    state: State,
    pub damaged: bool,
    pub empty: bool,
}

fn load(path: &Path) -> Vec<u8> {
    let mut out = Vec::new();
    if let Ok(mut f) = std::fs::File::open(path) {
        let _ = f.read_to_end(&mut out);
    }
    out
}

fn lay_down(path: &Path, size: usize) -> std::io::Result<std::fs::File> {
    let mut f = std::fs::OpenOptions::new()
        .read(true)
        .write(true)
        .create(true)
        .truncate(false)
        .open(path)?;
    let len = f.metadata()?.len() as usize;
    if len < size {
        f.seek(SeekFrom::Start(len as u64))?;
        let blank = vec![0u8; 64 << 10];
        let mut left = size - len;
        while left > 0 {
            let n = left.min(blank.len());
            f.write_all(&blank[..n])?;
            left -= n;
        }
        f.sync_all()?;
    }
    Ok(f)
}

impl Files {
    /// Newest whole slot and the valid log behind it; with neither, an empty disk.
    pub fn open(dir: &Path) -> Result<(Files, State), DiskError> {
        std::fs::create_dir_all(dir).map_err(refused("create folder"))?;
        let mut best: Option<(u64, State)> = None;
        let mut damaged = false;
        for i in 0..2 {
            match format::read_slot(&load(&dir.join(format!("slot{i}")))) {
                Slot::Blank => {}
                Slot::Damaged => damaged = true,
                Slot::Whole(seq, s) => {
                    if best.as_ref().is_none_or(|(b, _)| seq > *b) {
                        best = Some((seq, s));
                    }
                }
            }
        }
        let empty = best.is_none();
        let (seq, mut state) = best.unwrap_or_default();
        let (records, log_at) = format::read_log(&load(&dir.join("log")), seq);
        let records = if empty { Vec::new() } else { records };
        for r in &records {
            state.apply(r);
        }
        for i in 0..2 {
            lay_down(&dir.join(format!("slot{i}")), constants::SLOT_BYTES)
                .map_err(refused("lay slot"))?;
        }
        let log = lay_down(&dir.join("log"), constants::LOG_BYTES).map_err(refused("lay log"))?;
        std::fs::File::open(dir).and_then(|d| d.sync_all()).map_err(refused("sync folder"))?;
        let log_at = if empty { 0 } else { log_at };
        let mut f =
            Files { dir: dir.to_owned(), seq, log_at, log, state: state.clone(), damaged, empty };
        if empty {
            f.roll()?;
        }
        Ok((f, state))
    }

    /// The whole state into the slot whose turn it is; the log starts anew behind it.
    fn roll(&mut self) -> Result<(), DiskError> {
        let seq = self.seq + 1;
        let path = self.dir.join(format!("slot{}", seq % 2));
        let mut f = std::fs::OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)
            .map_err(refused("open slot"))?;
        f.write_all(&format::slot_bytes(seq, &self.state)).map_err(refused("write slot"))?;
        f.sync_data().map_err(refused("sync slot"))?;
        self.seq = seq;
        self.log_at = 0;
        Ok(())
    }

    fn append(&mut self, record: &Record) -> Result<(), DiskError> {
        self.state.apply(record);
        let bytes = format::record_bytes(self.seq, record);
        if self.log_at + bytes.len() > constants::LOG_BYTES {
            return self.roll();
        }
        self.log.seek(SeekFrom::Start(self.log_at as u64)).map_err(refused("seek log"))?;
        self.log.write_all(&bytes).map_err(refused("write log"))?;
        self.log.sync_data().map_err(refused("sync log"))?;
        self.log_at += bytes.len();
        Ok(())
    }

    /// Writes several records as one; the flags are those of the newest.
    fn append_many<'a>(
        &mut self,
        records: impl Iterator<Item = &'a Record>,
    ) -> Result<(), DiskError> {
        let mut joined = Record { voting: self.state.voting, ..Default::default() };
        for record in records {
            joined.merge(record);
        }
        let changed = joined.reset || joined.voting != self.state.voting;
        if joined.registers.is_empty() && !changed {
            return Ok(());
        }
        self.append(&joined)
    }
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
                    match rx.recv_timeout(constants::DISK_RETRY) {
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
                let mut out = files.append_many(jobs.iter().map(|job| &job.record));
                if was && out.is_ok() || out.is_err() {
                    out = files.roll();
                }
                bad = out.is_err();
                flag.store(bad, std::sync::atomic::Ordering::Relaxed);
                match (&out, was) {
                    (Err(e), false) => {
                        fleet_core::log_event!(log, fleet_core::log::Event::DiskError, "error" => e.to_string());
                    }
                    (Ok(()), true) => {
                        fleet_core::log_event!(log, fleet_core::log::Event::DiskMended)
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
    fn keep(&self, record: Record) -> BoxFuture<'static, Result<(), DiskError>> {
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

#[cfg(test)]
#[path = "writer_tests.rs"]
mod tests;
