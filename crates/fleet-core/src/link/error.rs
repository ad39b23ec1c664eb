//! Why a message or a call over a link failed.

/// Why a message or a call failed.
#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum LinkError {
    /// not connected
    Down,
    /// no answer in time
    Timeout,
    /// a frame of {0} bytes is too large
    TooLarge(usize),
    /// a frame can't be read
    Malformed,
    /// an answer of another kind than the call, or to no call
    UnexpectedAnswer,
    /// a message of a kind that this program does not know
    UnknownKind,
    /// {0}
    Socket(std::io::ErrorKind),
}

impl LinkError {
    /// Whether the other side sent what it must not, rather than the connection having failed.
    pub(super) fn is_protocol_violation(&self) -> bool {
        matches!(self, LinkError::TooLarge(_) | LinkError::Malformed | LinkError::UnexpectedAnswer)
    }
}

impl From<std::io::Error> for LinkError {
    fn from(error: std::io::Error) -> Self {
        LinkError::Socket(error.kind())
    }
}
