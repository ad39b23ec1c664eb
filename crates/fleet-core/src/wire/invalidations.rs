//! Messages of the invalidation ring and the prompt index.

use super::WeightsVersion;
use prost::Message;

/// Position of the invalidation ring or of a relay's copy; pushed to its readers when it changes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RingHead {
    /// Fencing token of the index owner; a higher one belongs to a later owner.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// Random number of this ring; positions in different rings cannot be compared.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Position after the newest entry.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    /// IP address of the index owner or of the relay, to which a [`RingRequest`] is sent.
    #[prost(string, tag = "4")]
    pub owner: String,
    /// Number of findings (parts that were found to be cached by holders) counted so far.
    #[prost(uint64, tag = "5")]
    pub finding_count: u64,
}

/// Requests the entries after the reader's cursor.
#[derive(Clone, PartialEq, Message)]
pub struct RingRequest {
    /// Fencing token of the ring that the cursor belongs to; 0 for none.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// Incarnation of the ring that the cursor belongs to; 0 for none.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Position of the first entry that the reader does not have.
    #[prost(uint64, tag = "3")]
    pub cursor: u64,
    /// Incarnation of the requesting process, which identifies the reader.
    #[prost(uint64, tag = "4")]
    pub reader: u64,
    /// Requests a snapshot to start from.
    #[prost(bool, tag = "5")]
    pub request_snapshot: bool,
    /// Number of findings that the reader has seen, as counted by `RingHead::finding_count`.
    #[prost(uint64, tag = "6")]
    pub finding_count: u64,
}

/// Answer to [`RingRequest`]. Without a head, the index owner does not know yet, and the reader has to retry later.
#[derive(Clone, PartialEq, Message)]
pub struct RingResponse {
    /// Current position of the ring.
    #[prost(message, optional, tag = "1")]
    pub head: Option<RingHead>,
    /// The reader's complete view is invalid, because it belongs to another ring or was overrun. The reader starts
    /// again from `snapshot`.
    #[prost(bool, tag = "2")]
    pub reset: bool,
    /// Entries from the reader's cursor onwards, in order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<RingEntry>,
    /// Position after the entries, or ring position of the snapshot.
    #[prost(uint64, tag = "4")]
    pub cursor: u64,
    /// On a reset, a snapshot of all cached parts; otherwise the findings since the last response. To be applied
    /// before the entries.
    #[prost(message, repeated, tag = "5")]
    pub snapshot: Vec<CachedParts>,
}

/// One invalidation.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RingEntry {
    /// Readers that the entry applies to; 0 for all.
    #[prost(uint64, tag = "1")]
    pub scope: u64,
    /// What is invalidated; entries of an unknown kind are skipped.
    #[prost(oneof = "Invalidation", tags = "2, 3, 4, 5")]
    pub invalidation: Option<Invalidation>,
}

/// What a ring entry invalidates.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Invalidation {
    /// One part at one holder.
    #[prost(message, tag = "2")]
    Part(PartLocation),
    /// All parts cached by a holder.
    #[prost(string, tag = "3")]
    Holder(String),
    /// All parts cached under older weights of a model.
    #[prost(message, tag = "4")]
    Weights(WeightsVersion),
    /// All parts cached under older generations of the shared isolation.
    #[prost(uint64, tag = "5")]
    Isolation(u64),
}

/// A part of a prompt cached by a holder (an engine or a store).
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartLocation {
    /// Id of the engine instance, or address of the store.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Salt under which it is cached: model, weights and isolation.
    #[prost(string, tag = "2")]
    pub salt: String,
    /// Id of the part, as used in requests.
    #[prost(uint64, tag = "3")]
    pub part: u64,
    /// Number of its tokens that are still cached; 0 for none.
    #[prost(uint64, tag = "4")]
    pub cached_tokens: u64,
}

/// Parts that one holder caches under one salt, as parallel lists. An empty salt only reports that the holder
/// responds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CachedParts {
    /// Id of the engine instance, or address of the store.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// Salt under which the parts are cached.
    #[prost(string, tag = "2")]
    pub salt: String,
    /// Ids of the parts.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// Number of cached tokens of each part; 0 or missing if the part is cached completely.
    #[prost(uint64, repeated, tag = "4")]
    pub cached_tokens: Vec<u64>,
}

/// Shared parts that a router's own requests leave cached at holders. A hint that the index owner accepts without
/// confirmation.
#[derive(Clone, PartialEq, Message)]
pub struct CachedPrefixes {
    /// One entry per holder and salt.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<CachedParts>,
}
