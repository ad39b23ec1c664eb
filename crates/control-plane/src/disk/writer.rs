//! The thread that writes and syncs; what it has answered is on the disk.

use super::format::{self, Record, Slot, State};
use super::{DiskProblem, refused};
use fleet_core::constants as k;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

struct Job {
    record: Record,
    done: tokio::sync::oneshot::Sender<Result<(), DiskProblem>>,
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
    pub fn open(dir: &Path) -> Result<(Files, State), DiskProblem> {
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
            lay_down(&dir.join(format!("slot{i}")), k::SLOT_BYTES).map_err(refused("lay slot"))?;
        }
        let log = lay_down(&dir.join("log"), k::LOG_BYTES).map_err(refused("lay log"))?;
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
    fn roll(&mut self) -> Result<(), DiskProblem> {
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

    fn append(&mut self, record: &Record) -> Result<(), DiskProblem> {
        self.state.apply(record);
        let bytes = format::record_bytes(self.seq, record);
        if self.log_at + bytes.len() > k::LOG_BYTES {
            return self.roll();
        }
        self.log.seek(SeekFrom::Start(self.log_at as u64)).map_err(refused("seek log"))?;
        self.log.write_all(&bytes).map_err(refused("write log"))?;
        self.log.sync_data().map_err(refused("sync log"))?;
        self.log_at += bytes.len();
        Ok(())
    }

    fn append_many(&mut self, jobs: &[Job]) -> Result<(), DiskProblem> {
        let mut all = Record { registers: Vec::new(), voting: self.state.voting };
        for j in jobs {
            all.voting |= j.record.voting;
            for r in &j.record.registers {
                match all.registers.iter_mut().find(|x| x.key == r.key) {
                    Some(x) => *x = r.clone(),
                    None => all.registers.push(r.clone()),
                }
            }
        }
        if all.registers.is_empty() && all.voting == self.state.voting {
            return Ok(());
        }
        self.append(&all)
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
                    match rx.recv_timeout(k::DISK_RETRY) {
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
                let mut out = files.append_many(&jobs);
                if was && out.is_ok() || out.is_err() {
                    out = files.roll();
                }
                bad = out.is_err();
                flag.store(bad, std::sync::atomic::Ordering::Relaxed);
                match (&out, was) {
                    (Err(e), false) => {
                        fleet_core::note!(log, fleet_core::log::Event::DiskProblem, "problem" => e.to_string());
                    }
                    (Ok(()), true) => fleet_core::note!(log, fleet_core::log::Event::DiskMended),
                    _ => {}
                }
                for j in jobs {
                    let _ = j.done.send(out.clone());
                }
            }
        };
        let _ = std::thread::Builder::new().stack_size(k::STACK_BYTES).spawn(run);
        Disk { tx: Some(tx), broken }
    }

    pub fn absent() -> Disk {
        Disk { tx: None, broken: std::sync::Arc::new(std::sync::atomic::AtomicBool::new(true)) }
    }

    pub fn is_absent(&self) -> bool {
        self.tx.is_none()
    }

    /// Queued in the order of the calls; true once it is on the disk.
    pub fn keep(&self, record: Record) -> impl Future<Output = Result<(), DiskProblem>> + use<> {
        let (done, rx) = tokio::sync::oneshot::channel();
        let sent = match &self.tx {
            Some(tx) => tx.send(Job { record, done }).map_err(|_| DiskProblem::Ended),
            None => Err(DiskProblem::Absent),
        };
        async move {
            sent?;
            rx.await.map_err(|_| DiskProblem::Ended)?
        }
    }

    pub fn is_broken(&self) -> bool {
        self.broken.load(std::sync::atomic::Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use fleet_core::wire::{Ballot, Register};

    fn dir(name: &str) -> PathBuf {
        let d = std::env::temp_dir().join(format!("control_plane-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&d);
        d
    }

    fn reg(key: &str, n: u64, size: usize) -> Record {
        let b = Ballot { n, node: 1, seq: 0 };
        Record {
            voting: true,
            registers: vec![Register {
                key: key.to_owned(),
                promised: b,
                accepted: b,
                value: vec![n as u8; size].into(),
            }],
        }
    }

    fn found(s: &State, key: &str) -> Option<u64> {
        s.registers.iter().find(|r| r.key == key).map(|r| r.accepted.n)
    }

    #[test]
    fn survives_reopening_across_many_slots() {
        let d = dir("reopen");
        let (mut f, s) = Files::open(&d).unwrap();
        assert!(f.empty && s.registers.is_empty());
        for n in 1..=60 {
            f.append(&reg(if n % 2 == 0 { "a" } else { "b" }, n, 100_000)).unwrap();
        }
        assert!(f.seq > 2);
        drop(f);
        let (f, s) = Files::open(&d).unwrap();
        assert!(!f.empty && s.voting);
        assert_eq!((found(&s, "a"), found(&s, "b")), (Some(60), Some(59)));
    }

    #[test]
    fn torn_tail_is_dropped_and_overwritten() {
        let d = dir("torn");
        let (mut f, _) = Files::open(&d).unwrap();
        f.append(&reg("a", 1, 10)).unwrap();
        let keep = f.log_at;
        f.append(&reg("a", 2, 10)).unwrap();
        drop(f);
        let p = d.join("log");
        let mut b = std::fs::read(&p).unwrap();
        b[keep + format::RECORD_HEAD + 3] ^= 0xff;
        std::fs::write(&p, &b).unwrap();
        let (mut f, s) = Files::open(&d).unwrap();
        assert_eq!(found(&s, "a"), Some(1));
        f.append(&reg("a", 3, 10)).unwrap();
        drop(f);
        assert_eq!(found(&Files::open(&d).unwrap().1, "a"), Some(3));
    }

    #[test]
    fn damaged_slot_falls_back_and_two_make_an_empty_disk() {
        let d = dir("slots");
        let (mut f, _) = Files::open(&d).unwrap();
        f.append(&reg("a", 1, 10)).unwrap();
        f.roll().unwrap();
        let newest = d.join(format!("slot{}", f.seq % 2));
        let older = d.join(format!("slot{}", (f.seq + 1) % 2));
        drop(f);
        let spoil = |p: &Path| {
            let mut b = std::fs::read(p).unwrap();
            b[30] ^= 0x55;
            b[8] ^= 1;
            std::fs::write(p, &b).unwrap();
        };
        spoil(&newest);
        let (f, s) = Files::open(&d).unwrap();
        assert!(f.damaged && !f.empty);
        assert_eq!(found(&s, "a"), Some(1));
        drop(f);
        spoil(&older);
        let (f, s) = Files::open(&d).unwrap();
        assert!(f.empty && f.damaged);
        assert!(s.registers.is_empty() && !s.voting);
    }

    proptest::proptest! {
        #[test]
        fn log_cut_anywhere_gives_a_prefix(cut in 0usize..400, n in 1u64..8) {
            let mut log = Vec::new();
            for i in 1..=n {
                log.extend(format::record_bytes(5, &reg("a", i, 20)));
            }
            let cut = cut.min(log.len());
            let (r, at) = format::read_log(&log[..cut], 5);
            proptest::prop_assert!(at <= cut);
            for (i, x) in r.iter().enumerate() {
                proptest::prop_assert_eq!(x.registers[0].accepted.n, i as u64 + 1);
            }
            proptest::prop_assert!(format::read_log(&log, 6).0.is_empty());
        }
    }
}
