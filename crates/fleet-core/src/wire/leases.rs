//! Messages of duty leases.

use prost::Message;

/// Asks a member for a lease, or gives it back.
#[derive(Clone, PartialEq, Message)]
pub struct Lease {
    /// name of the duty
    #[prost(string, tag = "1")]
    pub duty: String,
    /// incarnation of the node that asks
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// length of the lease
    #[prost(uint64, tag = "3")]
    pub ms: u64,
    /// gives it back
    #[prost(bool, tag = "4")]
    pub leave: bool,
    /// a new incarnation of the same node may stand in for the one before it at once
    #[prost(string, tag = "5")]
    pub node: String,
    /// rises with each message of the incarnation, so that a late one is known
    #[prost(uint64, tag = "6")]
    pub number: u64,
    /// epoch of the membership whose majority is asked
    #[prost(uint64, tag = "7")]
    pub membership: u64,
}

/// Answer to `Lease`.
#[derive(Clone, PartialEq, Message)]
pub struct Leased {
    /// granted, from when it was asked
    #[prost(bool, tag = "1")]
    pub ok: bool,
}
