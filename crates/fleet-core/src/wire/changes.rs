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

#[derive(Clone, PartialEq, Eq, Message)]
pub struct DutyValue {
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(string, tag = "2")]
    pub holder: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct Change {
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3, 4")]
    pub kind: Option<ChangeKind>,
    /// How often it was passed on already.
    #[prost(uint32, tag = "5")]
    pub hops: u32,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ChangeKind {
    #[prost(message, tag = "1")]
    Replace(ReplaceConfig),
    #[prost(message, tag = "2")]
    Name(NameVersion),
    #[prost(message, tag = "3")]
    Raise(RaiseFence),
    /// Changes nothing: asks the key's owner to complete what is open and to prove its value current.
    #[prost(string, tag = "4")]
    Confirm(String),
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

#[derive(Clone, PartialEq, Message)]
pub struct RaiseFence {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(string, tag = "2")]
    pub holder: String,
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
