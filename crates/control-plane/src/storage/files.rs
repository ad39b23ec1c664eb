//! Two slots written in turn, a short log between.
//!
//! The newest whole slot and the valid records behind it are the state. A slot is durable before
//! the log starts anew behind it, so what was kept is always in one of the two.

use super::backend::{Folder, Storage};
use super::format::{self, Record, Slot, State};
use super::{DiskError, io_error};
use fleet_core::constants;
use std::path::Path;

const LOG: &str = "log";
const SLOTS: [&str; 2] = ["slot0", "slot1"];

/// Bytes that the files are laid down with.
#[derive(Clone, Copy)]
pub struct Layout {
    /// Of each slot; it grows with the state.
    pub slot: usize,
    /// Of the log.
    pub log: usize,
}

impl Default for Layout {
    fn default() -> Self {
        Layout { slot: constants::SLOT_BYTES, log: constants::LOG_BYTES }
    }
}

/// The state and its files.
pub struct Files<S = Folder> {
    storage: S,
    layout: Layout,
    seq: u64,
    log_at: usize,
    state: State,
    /// The last write failed: the state has more than the files.
    behind: bool,
    /// A slot was torn or spoilt.
    pub damaged: bool,
    /// Nothing was ever kept here.
    pub empty: bool,
}

impl Files {
    /// Opens the files of a folder, which is made where there is none.
    ///
    /// # Errors
    ///
    /// The folder can't be made, or a file of it can't be read. An unreadable file is no empty disk.
    pub fn open(dir: &Path) -> Result<(Files, State), DiskError> {
        let folder = Folder::open(dir).map_err(io_error("create folder"))?;
        Files::open_in(folder, Layout::default())
    }
}

impl<S: Storage> Files<S> {
    /// Newest whole slot and the valid log behind it; with neither, an empty disk.
    ///
    /// # Errors
    ///
    /// A file can't be read, or the files can't be preallocated.
    pub fn open_in(mut storage: S, layout: Layout) -> Result<(Files<S>, State), DiskError> {
        let mut best: Option<(u64, State)> = None;
        let mut damaged = false;
        for name in SLOTS {
            match format::read_slot(&storage.read(name).map_err(io_error("read slot"))?) {
                Slot::Blank => {}
                Slot::Damaged => damaged = true,
                Slot::Valid(seq, state) => {
                    if best.as_ref().is_none_or(|(newest, _)| seq > *newest) {
                        best = Some((seq, state));
                    }
                }
            }
        }
        let blank = best.is_none();
        let (seq, mut state) = best.unwrap_or_default();
        let log = storage.read(LOG).map_err(io_error("read log"))?;
        let (records, log_at) = if blank { (Vec::new(), 0) } else { format::read_log(&log, seq) };
        records.iter().for_each(|record| state.apply(record));
        preallocate_all(&mut storage, layout)?;
        let empty = state == State::default();
        let behind = false;
        let mut files =
            Files { storage, layout, seq, log_at, state: state.clone(), behind, damaged, empty };
        if blank {
            files.switch_slot()?;
        }
        Ok((files, state))
    }

    /// The whole state into the slot whose turn it is; the log starts anew behind it.
    fn switch_slot(&mut self) -> Result<(), DiskError> {
        let seq = self.seq + 1;
        let name = SLOTS[(seq % 2) as usize];
        let bytes = format::slot_bytes(seq, &self.state);
        self.grow_slot(name, bytes.len());
        self.storage.write(name, 0, &bytes).map_err(io_error("write slot"))?;
        self.storage.sync(name).map_err(io_error("sync slot"))?;
        self.seq = seq;
        self.log_at = 0;
        Ok(())
    }

    /// Lays the slot down larger while there is room on the disk, before the state needs it. A
    /// failure means nothing as yet: the state may fit all the same.
    fn grow_slot(&mut self, name: &str, size: usize) {
        let short = |length: u64| length < (size + size / 2) as u64;
        if self.storage.length(name).is_ok_and(short) {
            let _ = preallocate(&mut self.storage, name, size * 2);
        }
    }

    fn append(&mut self, record: &Record) -> Result<(), DiskError> {
        self.state.apply(record);
        let bytes = format::record_bytes(self.seq, record);
        if self.log_at + bytes.len() > self.layout.log {
            return self.switch_slot();
        }
        self.storage.write(LOG, self.log_at as u64, &bytes).map_err(io_error("write log"))?;
        self.storage.sync(LOG).map_err(io_error("sync log"))?;
        self.log_at += bytes.len();
        Ok(())
    }

    /// Keeps several records; whatever failed before is on the disk too once this succeeds.
    ///
    /// # Errors
    ///
    /// A write or sync failed: the records are in memory only, and are written with the next ones.
    pub fn persist<'a>(
        &mut self,
        records: impl Iterator<Item = &'a Record>,
    ) -> Result<(), DiskError> {
        let appended = self.append_many(records);
        let outcome = if self.behind || appended.is_err() { self.switch_slot() } else { appended };
        self.behind = outcome.is_err();
        outcome
    }

    /// Writes several records as one; the flags are those of the newest.
    fn append_many<'a>(
        &mut self,
        records: impl Iterator<Item = &'a Record>,
    ) -> Result<(), DiskError> {
        let mut merged = Record { voting: self.state.voting, ..Default::default() };
        for record in records {
            merged.merge(record);
        }
        let changed = merged.reset || merged.voting != self.state.voting;
        if merged.registers.is_empty() && !changed {
            return Ok(());
        }
        self.append(&merged)
    }
}

/// All files, in full, and the folder: nothing that comes later depends on an entry that could be lost.
fn preallocate_all<S: Storage>(storage: &mut S, layout: Layout) -> Result<(), DiskError> {
    for name in SLOTS {
        preallocate(storage, name, layout.slot).map_err(io_error("lay slot"))?;
    }
    preallocate(storage, LOG, layout.log).map_err(io_error("lay log"))?;
    storage.sync_folder().map_err(io_error("sync folder"))
}

/// Fills a file up with zeros to at least this size.
fn preallocate<S: Storage>(storage: &mut S, name: &str, size: usize) -> std::io::Result<()> {
    let mut length = storage.length(name)? as usize;
    if length >= size {
        return Ok(());
    }
    let blank = vec![0u8; constants::PREALLOCATE_CHUNK_BYTES];
    while length < size {
        let part = blank.len().min(size - length);
        storage.write(name, length as u64, &blank[..part])?;
        length += part;
    }
    storage.sync(name)
}

#[cfg(test)]
#[path = "power_loss_tests.rs"]
mod power_loss;

#[cfg(test)]
#[path = "files_tests.rs"]
mod tests;
