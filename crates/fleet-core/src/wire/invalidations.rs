//! Messages of the ring of invalidations and of the prompt index.

use super::Weights;
use prost::Message;

/// Where the ring of invalidations, or a relay's copy of it, stands; pushed to its readers when it moves.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RingHead {
    /// The index owner's fencing token; a higher one is a later owner.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// Random number of this ring; positions of two rings do not compare.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Position behind the newest entry.
    #[prost(uint64, tag = "3")]
    pub head: u64,
    /// The IP address of the index owner, or of the relay, to which [`RingRequest`] goes.
    #[prost(string, tag = "4")]
    pub owner: String,
    /// Findings (parts that holders were found to keep) counted so far.
    #[prost(uint64, tag = "5")]
    pub found: u64,
}

/// A reader asks for the entries behind its cursor.
#[derive(Clone, PartialEq, Message)]
pub struct RingRequest {
    /// Fence of the ring that the cursor belongs to; 0 for none.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// Incarnation of the ring that the cursor belongs to; 0 for none.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Position of the first entry that the reader lacks.
    #[prost(uint64, tag = "3")]
    pub cursor: u64,
    /// Incarnation of the asking process, which names it among readers.
    #[prost(uint64, tag = "4")]
    pub reader: u64,
    /// Asks for a snapshot to start from.
    #[prost(bool, tag = "5")]
    pub refill: bool,
    /// Findings that the reader has seen, as `RingHead::found` counts them.
    #[prost(uint64, tag = "6")]
    pub found: u64,
}

/// Answer to [`RingRequest`]. Without a head, the index owner doesn't know yet: ask again later.
#[derive(Clone, PartialEq, Message)]
pub struct RingResponse {
    /// Where the ring stands now.
    #[prost(message, optional, tag = "1")]
    pub head: Option<RingHead>,
    /// The reader's whole view is void: it belongs to another ring, or was overrun. It starts again
    /// from the snapshot in `snapshot`.
    #[prost(bool, tag = "2")]
    pub reset: bool,
    /// Entries from the reader's cursor on, in order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<RingEntry>,
    /// Cursor behind the entries, or the ring position of the snapshot.
    #[prost(uint64, tag = "4")]
    pub cursor: u64,
    /// On a reset, a snapshot of all that is kept; else what was found since. To be applied before the
    /// entries.
    #[prost(message, repeated, tag = "5")]
    pub snapshot: Vec<CachedParts>,
}

/// One invalidation.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct RingEntry {
    /// The readers that it concerns; 0 for all.
    #[prost(uint64, tag = "1")]
    pub scope: u64,
    /// What is void; an entry of an unknown kind is skipped.
    #[prost(oneof = "Invalidation", tags = "2, 3, 4, 5")]
    pub what: Option<Invalidation>,
}

/// What an entry of the ring voids.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Invalidation {
    /// A part at one holder.
    #[prost(message, tag = "2")]
    Part(PartLocation),
    /// All that a holder keeps.
    #[prost(string, tag = "3")]
    Holder(String),
    /// All that is kept under older weights of a model.
    #[prost(message, tag = "4")]
    Weights(Weights),
    /// All that is kept under older generations of the shared isolation.
    #[prost(uint64, tag = "5")]
    Isolation(u64),
}

/// A part of a prompt at a holder (an engine or a store).
#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartLocation {
    /// The engine's instance id, or the store's address.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// The salt that it is kept under: model, weights and isolation.
    #[prost(string, tag = "2")]
    pub salt: String,
    /// The part's id, as requests name it.
    #[prost(uint64, tag = "3")]
    pub part: u64,
    /// Tokens of it that are left; 0 for none.
    #[prost(uint64, tag = "4")]
    pub cached_tokens: u64,
}

/// Parts that one holder keeps under one salt, in parallel lists. An empty salt only says that the
/// holder answers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct CachedParts {
    /// The engine's instance id, or the store's address.
    #[prost(string, tag = "1")]
    pub holder: String,
    /// The salt that they are kept under.
    #[prost(string, tag = "2")]
    pub salt: String,
    /// The parts' ids.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// Tokens kept of each; 0 or missing where all of it is kept.
    #[prost(uint64, repeated, tag = "4")]
    pub cached_tokens: Vec<u64>,
}

/// Shared parts that a router's own sends leave at holders. A hint: the index owner takes them in without
/// proof.
#[derive(Clone, PartialEq, Message)]
pub struct CachedPrefixes {
    /// One entry for each holder and salt.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<CachedParts>,
}
