//! Changes of the control state, and the values that its keys hold.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use prost::Message;

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Taken {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(uint64, tag = "2")]
    pub digest: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigValue {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
    #[prost(message, repeated, tag = "3")]
    pub taken: Vec<Taken>,
    #[prost(uint64, tag = "4")]
    pub isolation: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct WeightsValue {
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Names one raise of a fence, so that deciding it twice is the same as deciding it once.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RaiseId {
    /// of the node that raises
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// rises with each raise of that incarnation
    #[prost(uint64, tag = "2")]
    pub attempt: u64,
}

/// What the key of a duty holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DutyValue {
    /// the highest fencing token given out
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    /// node that the fence was given to
    #[prost(string, tag = "2")]
    pub holder: String,
    /// node that may have acted last: a new holder of another node waits for its lease to pass
    #[prost(string, tag = "3")]
    pub acting: String,
    /// the raise that gave the fence
    #[prost(message, optional, tag = "4")]
    pub raise: Option<RaiseId>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Change {
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3")]
    pub kind: Option<ChangeKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ChangeKind {
    #[prost(message, tag = "1")]
    Replace(ReplaceConfig),
    #[prost(message, tag = "2")]
    Name(NameVersion),
    #[prost(message, tag = "3")]
    Raise(RaiseFence),
}

#[derive(Clone, PartialEq, Message)]
pub struct ReplaceConfig {
    #[prost(uint64, tag = "1")]
    pub base: u64,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
}

#[derive(Clone, PartialEq, Message)]
pub struct NameVersion {
    #[prost(string, tag = "1")]
    pub model: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Asks for a new fence of a duty, or records that its holder begins to act under it.
#[derive(Clone, PartialEq, Message)]
pub struct RaiseFence {
    /// name of the duty
    #[prost(string, tag = "1")]
    pub duty: String,
    /// node that raises
    #[prost(string, tag = "2")]
    pub holder: String,
    /// which raise this is; the same one gets the same fence again
    #[prost(message, required, tag = "3")]
    pub id: RaiseId,
    /// the former holder's lease has passed: from now on this node may act
    #[prost(bool, tag = "4")]
    pub acts: bool,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// nothing is known: it may yet be in force
    Unknown = 0,
    Done = 1,
    /// another version is in place
    Stale = 2,
    Invalid = 3,
}

#[derive(Clone, PartialEq, Message)]
pub struct Changed {
    #[prost(enumeration = "Outcome", tag = "1")]
    pub outcome: i32,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(string, tag = "3")]
    pub holder: String,
}
