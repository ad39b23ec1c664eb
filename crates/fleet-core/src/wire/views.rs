//! What controllers push to routers.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::{Engine, Membership, RingHead};
use prost::Message;

/// A router tells that it incarnations, and what it has.
#[derive(Clone, PartialEq, Message)]
pub struct Alive {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(bool, tag = "2")]
    pub leaving: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct NamedWeights {
    #[prost(string, tag = "1")]
    pub model: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Pushed to routers; each field only when it has news.
#[derive(Clone, PartialEq, Message)]
pub struct View {
    #[prost(message, optional, tag = "1")]
    pub membership: Option<Membership>,
    #[prost(uint64, tag = "2")]
    pub config: u64,
    #[prost(message, repeated, tag = "3")]
    pub weights: Vec<NamedWeights>,
    #[prost(message, repeated, tag = "4")]
    pub engines: Vec<Engine>,
    #[prost(message, optional, tag = "5")]
    pub ring: Option<RingHead>,
    #[prost(uint32, tag = "6")]
    pub routers: u32,
    /// the reader is behind by more than half of the ring
    #[prost(bool, tag = "7")]
    pub nudge: bool,
}
