//! The stored state: two snapshot slots written in turn, and a short log of the records since the newest one.
//!
//! The state is the newest valid slot with the valid log records that follow it. A new slot is durable before the log
//! is overwritten, so durable records are always in one of the two.

use super::backend::{Directory, Storage};
use super::format::{self, Record, Slot, State};
use super::{DiskError, io_error};
use fleet_core::constants;
use std::path::Path;

const LOG: &str = "log";
const SLOTS: [&str; 2] = ["slot0", "slot1"];

/// Sizes in bytes to which the files are preallocated.
#[derive(Clone, Copy)]
pub struct FileSizes {
    /// Initial size of each slot; slots grow with the state.
    pub slot: usize,
    /// Size of the log, which is fixed.
    pub log: usize,
}

impl Default for FileSizes {
    fn default() -> Self {
        FileSizes { slot: constants::SLOT_BYTES, log: constants::LOG_BYTES }
    }
}

/// The stored state in memory, and the files that hold it.
pub struct StateFiles<S = Directory> {
    storage: S,
    sizes: FileSizes,
    /// Sequence number of the newest slot; the log records that follow it carry the same number.
    seq: u64,
    /// Offset in the log at which the next record is written.
    log_offset: usize,
    state: State,
    /// The last write failed, so the state in memory is ahead of the files.
    is_unsaved: bool,
    /// A slot was torn or corrupt when the files were opened.
    pub was_damaged: bool,
    /// The files held no state when they were opened.
    pub was_empty: bool,
}

impl StateFiles {
    /// Opens the files of a directory, which is created if it doesn't exist.
    ///
    /// # Errors
    ///
    /// The directory can't be created, or a file can't be read: an unreadable file doesn't count as an empty disk.
    pub fn open(dir: &Path) -> Result<(StateFiles, State), DiskError> {
        let directory = Directory::open(dir).map_err(io_error("create directory"))?;
        StateFiles::open_in(directory, FileSizes::default())
    }
}

impl<S: Storage> StateFiles<S> {
    /// Restores the state from the newest valid slot and the log records that follow it. Without a valid slot the disk
    /// counts as empty.
    ///
    /// # Errors
    ///
    /// A file can't be read, or the files can't be preallocated.
    pub fn open_in(mut storage: S, sizes: FileSizes) -> Result<(StateFiles<S>, State), DiskError> {
        let mut newest_slot: Option<(u64, State)> = None;
        let mut was_damaged = false;
        for name in SLOTS {
            match format::read_slot(&storage.read(name).map_err(io_error("read slot"))?) {
                Slot::Blank => {}
                Slot::Damaged => was_damaged = true,
                Slot::Valid(seq, state) => {
                    if newest_slot.as_ref().is_none_or(|(newest_seq, _)| seq > *newest_seq) {
                        newest_slot = Some((seq, state));
                    }
                }
            }
        }
        let has_no_slot = newest_slot.is_none();
        let (seq, mut state) = newest_slot.unwrap_or_default();
        let log = storage.read(LOG).map_err(io_error("read log"))?;
        let (records, log_offset) =
            if has_no_slot { (Vec::new(), 0) } else { format::read_log(&log, seq) };
        records.iter().for_each(|record| state.apply(record));
        preallocate_all(&mut storage, sizes)?;
        let was_empty = state == State::default();
        let is_unsaved = false;
        let mut files = StateFiles {
            storage,
            sizes,
            seq,
            log_offset,
            state: state.clone(),
            is_unsaved,
            was_damaged,
            was_empty,
        };
        if has_no_slot {
            files.write_next_slot()?;
        }
        Ok((files, state))
    }

    /// Writes the whole state to the older slot. The log restarts from its beginning.
    fn write_next_slot(&mut self) -> Result<(), DiskError> {
        let seq = self.seq + 1;
        let name = SLOTS[(seq % 2) as usize];
        let bytes = format::encode_slot(seq, &self.state);
        self.grow_slot(name, bytes.len());
        self.storage.write(name, 0, &bytes).map_err(io_error("write slot"))?;
        self.storage.sync(name).map_err(io_error("sync slot"))?;
        self.seq = seq;
        self.log_offset = 0;
        Ok(())
    }

    /// Preallocates a slot to twice the size of the state once that exceeds two thirds of the slot, so that the space
    /// is reserved before the state needs it. A failure is ignored because the state may still fit.
    fn grow_slot(&mut self, name: &str, size: usize) {
        let is_too_small = |length: u64| length < (size + size / 2) as u64;
        if self.storage.length(name).is_ok_and(is_too_small) {
            let _ = preallocate(&mut self.storage, name, size * 2);
        }
    }

    /// Applies a record and writes it to the log, or writes a slot if the log is full.
    fn append(&mut self, record: &Record) -> Result<(), DiskError> {
        self.state.apply(record);
        let bytes = format::encode_record(self.seq, record);
        if self.log_offset + bytes.len() > self.sizes.log {
            return self.write_next_slot();
        }
        self.storage.write(LOG, self.log_offset as u64, &bytes).map_err(io_error("write log"))?;
        self.storage.sync(LOG).map_err(io_error("sync log"))?;
        self.log_offset += bytes.len();
        Ok(())
    }

    /// Stores several records durably, together with all earlier ones whose writes failed.
    ///
    /// # Errors
    ///
    /// A write or sync failed. The records stay in memory and are written by the next call.
    pub fn persist<'a>(
        &mut self,
        records: impl Iterator<Item = &'a Record>,
    ) -> Result<(), DiskError> {
        let result = self.append_many(records);
        let outcome =
            if self.is_unsaved || result.is_err() { self.write_next_slot() } else { result };
        self.is_unsaved = outcome.is_err();
        outcome
    }

    /// Merges several records into one and appends it, if it changes the state. The flags of the newest record apply.
    fn append_many<'a>(
        &mut self,
        records: impl Iterator<Item = &'a Record>,
    ) -> Result<(), DiskError> {
        let mut merged = Record { voting: self.state.voting, ..Default::default() };
        for record in records {
            merged.merge(record);
        }
        let flags_changed = merged.reset || merged.voting != self.state.voting;
        if merged.registers.is_empty() && !flags_changed {
            return Ok(());
        }
        self.append(&merged)
    }
}

/// Preallocates all files and syncs the directory, so that later writes don't depend on directory entries that a power
/// loss could undo.
fn preallocate_all<S: Storage>(storage: &mut S, sizes: FileSizes) -> Result<(), DiskError> {
    for name in SLOTS {
        preallocate(storage, name, sizes.slot).map_err(io_error("preallocate slot"))?;
    }
    preallocate(storage, LOG, sizes.log).map_err(io_error("preallocate log"))?;
    storage.sync_directory().map_err(io_error("sync directory"))
}

/// Extends a file with zeros to at least this size in bytes, and syncs it.
fn preallocate<S: Storage>(storage: &mut S, name: &str, size: usize) -> std::io::Result<()> {
    let mut length = storage.length(name)? as usize;
    if length >= size {
        return Ok(());
    }
    let zeros = vec![0u8; constants::PREALLOCATE_CHUNK_BYTES];
    while length < size {
        let chunk = zeros.len().min(size - length);
        storage.write(name, length as u64, &zeros[..chunk])?;
        length += chunk;
    }
    storage.sync(name)
}

#[cfg(test)]
#[path = "power_loss_tests.rs"]
mod power_loss;

#[cfg(test)]
#[path = "files_tests.rs"]
mod tests;
