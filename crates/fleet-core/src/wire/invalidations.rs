//! Messages of the ring of invalidations and of the prompt index.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::Weights;
use prost::Message;

#[derive(Clone, PartialEq, Eq, Message)]
pub struct RingHead {
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub head: u64,
    #[prost(string, tag = "4")]
    pub keeper: String,
    /// parts that holders were found to keep, so far
    #[prost(uint64, tag = "5")]
    pub found: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct RingAsk {
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub cursor: u64,
    #[prost(uint64, tag = "4")]
    pub reader: u64,
    /// wants a digest to start from
    #[prost(bool, tag = "5")]
    pub refill: bool,
    /// findings seen so far
    #[prost(uint64, tag = "6")]
    pub found: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct RingGive {
    #[prost(message, optional, tag = "1")]
    pub head: Option<RingHead>,
    #[prost(bool, tag = "2")]
    pub reset: bool,
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<RingEntry>,
    /// cursor behind the entries, or the ring position of the digest
    #[prost(uint64, tag = "4")]
    pub cursor: u64,
    /// all that is kept on a reset, else what was found since; taken in before the entries
    #[prost(message, repeated, tag = "5")]
    pub digest: Vec<HeldParts>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct RingEntry {
    #[prost(uint64, tag = "1")]
    pub scope: u64,
    #[prost(oneof = "Purge", tags = "2, 3, 4, 5")]
    pub what: Option<Purge>,
}

#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Purge {
    #[prost(message, tag = "2")]
    Part(PartAt),
    /// all that a holder keeps
    #[prost(string, tag = "3")]
    Holder(String),
    /// all kept under older weights of a model
    #[prost(message, tag = "4")]
    Weights(Weights),
    /// all kept under older generations of the shared isolation
    #[prost(uint64, tag = "5")]
    Isolation(u64),
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartAt {
    #[prost(string, tag = "1")]
    pub holder: String,
    #[prost(string, tag = "2")]
    pub salt: String,
    #[prost(uint64, tag = "3")]
    pub part: u64,
    /// tokens of it that are left
    #[prost(uint64, tag = "4")]
    pub kept: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeldParts {
    #[prost(string, tag = "1")]
    pub holder: String,
    #[prost(string, tag = "2")]
    pub salt: String,
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// tokens kept of each
    #[prost(uint64, repeated, tag = "4")]
    pub kept: Vec<u64>,
}

/// Shared parts that a router's own sends leave at a holder.
#[derive(Clone, PartialEq, Message)]
pub struct Found {
    #[prost(message, repeated, tag = "1")]
    pub held: Vec<HeldParts>,
}
