//! Messages about the state of the fleet between controllers and routers.

use super::{Engine, Membership, RingHead};
use prost::Message;

/// Heartbeat of a router to each controller, sent every `ROUTER_HEARTBEAT_INTERVAL`.
#[derive(Clone, PartialEq, Message)]
pub struct RouterHeartbeat {
    /// Version of the configuration in force on the router; 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// The router is shutting down and accepts no new connections.
    #[prost(bool, tag = "2")]
    pub shutting_down: bool,
}

/// The target version of a model's weights.
#[derive(Clone, PartialEq, Message)]
pub struct TargetWeights {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The target version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Time in ms since which the sending controller has known it.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Pushed to routers on every change, and once with the complete state when a link is opened. Fields that have not
/// changed are not set.
#[derive(Clone, PartialEq, Message)]
pub struct FleetUpdate {
    /// The membership in force.
    #[prost(message, optional, tag = "1")]
    pub membership: Option<Membership>,
    /// Version of the newest committed configuration; the router fetches it with [`super::ConfigRequest`]. 0 if
    /// unchanged.
    #[prost(uint64, tag = "2")]
    pub config: u64,
    /// Models whose target version has changed.
    #[prost(message, repeated, tag = "3")]
    pub weights: Vec<TargetWeights>,
    /// Engines that have changed.
    #[prost(message, repeated, tag = "4")]
    pub engines: Vec<Engine>,
    /// Position of the invalidation ring.
    #[prost(message, optional, tag = "5")]
    pub ring: Option<RingHead>,
    /// Number of live routers; 0 if unchanged.
    #[prost(uint32, tag = "6")]
    pub routers: u32,
    /// This reader is behind by more than half of the ring and should fetch immediately.
    #[prost(bool, tag = "7")]
    pub catch_up: bool,
    /// Position of the sender's copy of the invalidation ring, which routers may read instead of the index owner's.
    #[prost(message, optional, tag = "8")]
    pub ring_relay: Option<RingHead>,
}
