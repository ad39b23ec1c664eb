//! Engines, their heartbeats and their loads.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use prost::Message;

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Weights {
    #[prost(string, tag = "1")]
    pub model: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// What is known of an engine; the highest call of an instance wins.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Engine {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(uint64, tag = "2")]
    pub call: u64,
    #[prost(string, tag = "3")]
    pub service: String,
    #[prost(string, tag = "4")]
    pub address: String,
    #[prost(string, tag = "5")]
    pub zone: String,
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    #[prost(enumeration = "Standing", tag = "7")]
    pub standing: i32,
    #[prost(message, repeated, tag = "8")]
    pub weights: Vec<Weights>,
    #[prost(bool, tag = "9")]
    pub silent: bool,
    /// under an order of the roll-out: rises with each turn, odd while one runs
    #[prost(uint64, tag = "10")]
    pub turn: u64,
    /// about to be ordered: rises with each time, odd while it gets no more long streams
    #[prost(uint64, tag = "11")]
    pub fade: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    Ready = 0,
    Draining = 1,
    Gone = 2,
}

#[derive(Clone, PartialEq, Message)]
pub struct Beats {
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<Engine>,
    /// wants all that the other knows in return
    #[prost(bool, tag = "2")]
    pub ask: bool,
}

/// Loads of engines, in parallel lists: from a router its own sends in flight, from a controller the
/// sum over its routers, to a router the sum over all.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Loads {
    /// of the engine's id; two that share a key only look busier than they are
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// tokens of sends that have not begun, in units of `LOAD_TOKENS`
    #[prost(uint32, repeated, tag = "2")]
    pub unread: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub runs: Vec<u32>,
    /// of these, sends that somebody waits for
    #[prost(uint32, repeated, tag = "4")]
    pub interactive: Vec<u32>,
}
