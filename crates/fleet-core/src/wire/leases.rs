//! Messages of duty leases.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use prost::Message;

#[derive(Clone, PartialEq, Message)]
pub struct Lease {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub ms: u64,
    /// gives it back
    #[prost(bool, tag = "4")]
    pub leave: bool,
    /// a new incarnation of the same node may stand in for the one before it at once
    #[prost(string, tag = "5")]
    pub node: String,
    /// epoch of the membership whose majority is asked
    #[prost(uint64, tag = "6")]
    pub membership: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Leased {
    #[prost(bool, tag = "1")]
    pub ok: bool,
}
