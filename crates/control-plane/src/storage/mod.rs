//! Two slots written in turn, a short log between; synced on a thread of its own.
//!
//! The controller knows the disk as a [`RecordQueue`] only, so that tests and simulations put a
//! disk of their own behind it.

pub mod backend;
pub mod files;
pub mod format;
pub mod monitor;
pub mod writer;

use fleet_core::transport::BoxFuture;

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum DiskError {
    /// {what}: {kind}
    Io { what: &'static str, kind: std::io::ErrorKind },
    /// the thread of the disk has ended
    Ended,
    /// this machine has no disk
    Absent,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
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
