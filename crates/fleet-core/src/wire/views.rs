//! What controllers push to routers.

use super::{Engine, Membership, RingHead};
use prost::Message;

/// A router's heartbeat to each controller, once every `ROUTER_HEARTBEAT_INTERVAL`, with what it has.
#[derive(Clone, PartialEq, Message)]
pub struct RouterHeartbeat {
    /// Version of the configuration in force at the router; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// It is shutting down, and takes no new connections.
    #[prost(bool, tag = "2")]
    pub shutting_down: bool,
}

/// The version named for a model.
#[derive(Clone, PartialEq, Message)]
pub struct TargetWeights {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The named version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// How long the telling controller has known it, in ms.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Pushed to routers whenever something changed, and once in full at the start of a link. Each field is
/// set only when it has changed.
#[derive(Clone, PartialEq, Message)]
pub struct FleetUpdate {
    /// The membership in force.
    #[prost(message, optional, tag = "1")]
    pub membership: Option<Membership>,
    /// Version of the newest committed configuration; the router fetches it by [`super::RegisterRequest`]. 0 for
    /// unchanged.
    #[prost(uint64, tag = "2")]
    pub config: u64,
    /// Newly named weights.
    #[prost(message, repeated, tag = "3")]
    pub weights: Vec<TargetWeights>,
    /// Engines that changed.
    #[prost(message, repeated, tag = "4")]
    pub engines: Vec<Engine>,
    /// Where the ring of invalidations stands.
    #[prost(message, optional, tag = "5")]
    pub ring: Option<RingHead>,
    /// Live routers; 0 for unchanged.
    #[prost(uint32, tag = "6")]
    pub routers: u32,
    /// This reader is behind by more than half of the ring, and is asked to fetch at once.
    #[prost(bool, tag = "7")]
    pub nudge: bool,
    /// Where the sender's copy of the ring of invalidations stands, which routers may read in place of the index owner's.
    #[prost(message, optional, tag = "8")]
    pub ring_relay: Option<RingHead>,
}
