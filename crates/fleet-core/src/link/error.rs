//! Errors of messages and calls over a link.

/// Why a message or a call over a link failed.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum LinkError {
    /// not connected
    NotConnected,
    /// no answer in time
    Timeout,
    /// frame of {0} bytes exceeds the size limit
    TooLarge(usize),
    /// frame cannot be decoded
    Malformed,
    /// answer does not match the call, or answers no call
    UnexpectedAnswer,
    /// message of unknown kind
    UnknownKind,
    /// {0}
    Io(std::io::ErrorKind),
}

impl LinkError {
    /// Whether the remote side violated the protocol, as opposed to a failed connection.
    pub(super) fn is_protocol_violation(&self) -> bool {
        matches!(self, LinkError::TooLarge(_) | LinkError::Malformed | LinkError::UnexpectedAnswer)
    }
}

impl From<std::io::Error> for LinkError {
    fn from(error: std::io::Error) -> Self {
        LinkError::Io(error.kind())
    }
}
