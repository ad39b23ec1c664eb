//! Messages about engines, their heartbeats and their loads.

use prost::Message;

/// A version of a model's weights.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WeightsVersion {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Version; never decreases on an engine instance.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Known state of one engine instance. Updates are merged by [`crate::fleet::merge`]: the latest call of an instance
/// wins, versions only increase, deregistration is final.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Engine {
    /// Id of the engine instance; each start of an engine has a new one.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of the engine's call that reported this state (`callSeq`); increases within an instance.
    #[prost(uint64, tag = "2")]
    pub call_seq: u64,
    /// Name of the service that the engine belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Address for requests, IP:PORT. May be reused by another instance after this one has ended.
    #[prost(string, tag = "4")]
    pub address: String,
    /// Zone of the engine.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Number of requests that it runs concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// A [`EngineState`].
    #[prost(enumeration = "EngineState", tag = "7")]
    pub state: i32,
    /// Loaded weights, one entry per model.
    #[prost(message, repeated, tag = "8")]
    pub weights: Vec<WeightsVersion>,
    /// No heartbeat for `MISSED_HEARTBEAT_PERIODS` periods, as observed by the sending controller.
    #[prost(bool, tag = "9")]
    pub heartbeat_missed: bool,
    /// Sequence number of the rollout's update orders: increases with each start and end, odd while an update is in
    /// progress. Routers then send no requests.
    #[prost(uint64, tag = "10")]
    pub update_seq: u64,
    /// Sequence number of announced updates: increases with each start and end, odd while the engine gets no new long
    /// streams.
    #[prost(uint64, tag = "11")]
    pub drain_seq: u64,
}

/// Whether an engine accepts requests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum EngineState {
    /// Accepts requests.
    Ready = 0,
    /// Completes running requests and accepts no new ones; it still serves as a source of cached prefixes.
    Draining = 1,
    /// Has ended; final for this instance.
    Deregistered = 2,
}

/// Engine states that one controller sends to another; answered with the same message.
#[derive(Clone, PartialEq, Message)]
pub struct EngineHeartbeats {
    /// Changed engines, or all known engines if the receiver has requested them.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<Engine>,
    /// Requests all engines that the receiver knows; otherwise the answer is empty.
    #[prost(bool, tag = "2")]
    pub request_all: bool,
}

/// Loads of engines as parallel lists: a router reports its own requests in flight, a controller the sum over its
/// routers to the other controllers, and the sum over all routers to a router. Engines without load are omitted. Each
/// message replaces the previous one of the same sender, and expires after `LOAD_REPORT_TIMEOUT`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadReport {
    /// Hashes of the engine ids (`load::engine_key`); engines whose hashes collide only appear busier than they are.
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// Prompt tokens of requests whose response has not begun, in units of `LOAD_TOKEN_UNIT`, rounded up.
    #[prost(uint32, repeated, tag = "2")]
    pub pending_prefill_units: Vec<u32>,
    /// Requests in flight.
    #[prost(uint32, repeated, tag = "3")]
    pub in_flight: Vec<u32>,
    /// Number of these that are interactive: a client waits for the response.
    #[prost(uint32, repeated, tag = "4")]
    pub interactive: Vec<u32>,
}
