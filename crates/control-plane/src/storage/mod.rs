//! Where a voter keeps its registers: two slots written in turn and a short log between, synced on a thread of its own.
//!
//! | file | what it is |
//! |---|---|
//! | [`mod@format`] | bytes of slots and log records, and how a torn one is known |
//! | [`files`] | which of them hold the state, and when a slot is written |
//! | [`backend`] | the folder's files, as a trait that tests replace by a simulated disk |
//! | [`writer`] | the thread that writes and syncs |
//! | [`monitor`] | knows when a record waits for too long |
//!
//! The controller knows the disk as a [`RecordQueue`] only, so that tests and simulations put a
//! disk of their own behind it.

pub mod backend;
pub mod files;
pub mod format;
pub mod monitor;
pub mod writer;

use fleet_core::transport::BoxFuture;

/// Why a record is not on the disk.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum DiskError {
    /// {what}: {kind}
    Io {
        /// The step that failed.
        what: &'static str,
        /// As the operating system has it.
        kind: std::io::ErrorKind,
    },
    /// the thread of the disk has ended
    Ended,
    /// this machine has no disk
    Absent,
}

/// Names the step at which the operating system reported an error.
pub fn io_error(what: &'static str) -> impl Fn(std::io::Error) -> DiskError {
    move |e| DiskError::Io { what, kind: e.kind() }
}

/// What a controller keeps its records with: they are taken in the order of the calls, and each
/// future ends once its record is durable or can't be kept.
pub trait RecordQueue: Send + Sync + 'static {
    /// Queues a record at once; the future needs no polling for it to be written.
    fn append(&self, record: format::Record) -> BoxFuture<'static, Result<(), DiskError>>;

    /// Whether the last write failed.
    fn is_broken(&self) -> bool;

    /// Whether there is no disk at all: such a controller never votes.
    fn is_absent(&self) -> bool;
}
