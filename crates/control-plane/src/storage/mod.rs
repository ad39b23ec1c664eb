//! Durable storage of a voter's registers: two snapshot slots written in turn and a short log, written and synced by a
//! dedicated thread.
//!
//! | module | responsibility |
//! |---|---|
//! | [`mod@format`] | binary layout of slots and log records, and detection of torn ones |
//! | [`files`] | restoring the state from the files, and when a slot is written |
//! | [`backend`] | file access behind a trait, which tests implement with a simulated disk |
//! | [`writer`] | the thread that writes and syncs records |
//! | [`monitor`] | detects records that wait too long to be written |
//!
//! The controller accesses the disk only through [`RecordQueue`], so that tests and simulations can provide their own.

pub mod backend;
pub mod files;
pub mod format;
pub mod monitor;
pub mod writer;

use fleet_core::transport::BoxFuture;

/// Why a record is not durable, or the storage can't be opened.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum DiskError {
    /// {what}: {kind}
    Io {
        /// The step that failed.
        what: &'static str,
        /// The kind of error that the operating system reported.
        kind: std::io::ErrorKind,
    },
    /// the disk writer thread has terminated
    WriterTerminated,
    /// this machine has no disk for stored data
    NoDisk,
}

/// Converts an error of the operating system in the step `what`.
pub fn io_error(what: &'static str) -> impl Fn(std::io::Error) -> DiskError {
    move |error| DiskError::Io { what, kind: error.kind() }
}

/// The queue through which a controller stores records. Records are written in the order of the calls, and each future
/// completes once its record is durable or has failed.
pub trait RecordQueue: Send + Sync + 'static {
    /// Queues a record at once. It is written even if the future is never polled.
    fn append(&self, record: format::Record) -> BoxFuture<'static, Result<(), DiskError>>;

    /// Whether the last write failed.
    fn is_broken(&self) -> bool;

    /// Whether the machine has no disk. Its controller then never votes.
    fn is_absent(&self) -> bool;
}
