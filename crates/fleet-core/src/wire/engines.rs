//! Engines, their heartbeats and their loads.

use prost::Message;

/// A version of the weights of a model.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Weights {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// Its version; rises on an instance, never falls.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// What is known of one instance of an engine. News merge by [`crate::fleet::merge`]: the highest call
/// of an instance wins, versions only rise, deregistration is final.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Engine {
    /// The instance's id; each start of an engine has a new one.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Number of the engine's call that brought this (`callSeq`); rises within an instance.
    #[prost(uint64, tag = "2")]
    pub call: u64,
    /// Name of the service that it belongs to.
    #[prost(string, tag = "3")]
    pub service: String,
    /// Where it takes requests, IP:PORT. May be given to another instance after it has gone.
    #[prost(string, tag = "4")]
    pub address: String,
    /// The zone it stands in.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// Requests that it runs at a time.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// A [`EngineState`].
    #[prost(enumeration = "EngineState", tag = "7")]
    pub state: i32,
    /// Weights that it has loaded, one entry a model.
    #[prost(message, repeated, tag = "8")]
    pub weights: Vec<Weights>,
    /// No heartbeat for `MISSED_HEARTBEATS` periods, as the telling controller sees it.
    #[prost(bool, tag = "9")]
    pub heartbeat_missed: bool,
    /// Order of the roll-out: rises with each, odd while one runs. Routers then send no requests.
    #[prost(uint64, tag = "10")]
    pub update_seq: u64,
    /// Notice of an order to come: rises with each, odd while the engine gets no more long streams.
    #[prost(uint64, tag = "11")]
    pub drain_seq: u64,
}

/// Whether an engine takes requests.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum EngineState {
    /// It takes requests.
    Ready = 0,
    /// It finishes what runs and takes no new requests; it still serves as a source of kept prompts.
    Draining = 1,
    /// It has ended; final for this instance.
    Deregistered = 2,
}

/// Engines as one controller sends them to another; answered in kind.
#[derive(Clone, PartialEq, Message)]
pub struct EngineHeartbeats {
    /// News of engines; all that are known if the receiver has asked for them.
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<Engine>,
    /// Asks for all engines that the receiver knows; the answer is empty otherwise.
    #[prost(bool, tag = "2")]
    pub request_all: bool,
}

/// Loads of engines, in parallel lists: from a router its own sends in flight, from a controller the
/// sum over its routers, to a router the sum over all. Engines without load are left out. Each message
/// replaces the one before from the same sender, and counts for `LOAD_REPORT_TIMEOUT`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LoadReport {
    /// Hash of the engine's id (`load::key_of`); two that collide only look busier than they are.
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// Tokens of sends whose answer has not begun, in units of `LOAD_TOKENS`, rounded up.
    #[prost(uint32, repeated, tag = "2")]
    pub unread: Vec<u32>,
    /// Sends in flight.
    #[prost(uint32, repeated, tag = "3")]
    pub runs: Vec<u32>,
    /// Of these, sends that somebody waits for.
    #[prost(uint32, repeated, tag = "4")]
    pub interactive: Vec<u32>,
}
