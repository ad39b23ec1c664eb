//! Messages of leases.

use prost::Message;

/// Asks a member for its grant of a lease, or gives the lease back. The asker counts the lease
/// from before it asked, and holds the lease with the grants of a majority only.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Name of the lease.
    #[prost(string, tag = "1")]
    pub lease_name: String,
    /// Incarnation of the asking process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Length of the lease in ms. Granters go by their own settings.
    #[prost(uint64, tag = "3")]
    pub ms: u64,
    /// Gives the lease back.
    #[prost(bool, tag = "4")]
    pub release: bool,
    /// Name of the asking node. A new incarnation of the same node may stand in for the one before it
    /// at once.
    #[prost(string, tag = "5")]
    pub node: String,
    /// Epoch of the membership whose majority is asked.
    #[prost(uint64, tag = "6")]
    pub membership: u64,
    /// Rises with each message of the incarnation, so that a late one is known.
    #[prost(uint64, tag = "7")]
    pub number: u64,
}

/// Answer to [`LeaseRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct LeaseResponse {
    /// Granted: the granter grants this lease to no other node until the lease has passed, counted from
    /// its answer.
    #[prost(bool, tag = "1")]
    pub ok: bool,
}
