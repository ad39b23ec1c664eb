//! Two slots written in turn, a short log between; synced on a thread of its own.

pub mod format;
pub mod writer;

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum DiskError {
    /// {what}: {kind}
    Refused { what: &'static str, kind: std::io::ErrorKind },
    /// the thread of the disk has ended
    Ended,
    /// this machine has no disk
    Absent,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
pub fn refused(what: &'static str) -> impl Fn(std::io::Error) -> DiskError {
    move |e| DiskError::Refused { what, kind: e.kind() }
}
