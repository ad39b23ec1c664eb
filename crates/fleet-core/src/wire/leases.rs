//! Messages for acquiring and releasing leases.

use prost::Message;

/// Requests a member's grant of a lease, or releases the lease. The requester counts the lease duration from before
/// it sent the request, and holds the lease only with the grants of a majority.
#[derive(Clone, PartialEq, Message)]
pub struct LeaseRequest {
    /// Name of the lease.
    #[prost(string, tag = "1")]
    pub lease_name: String,
    /// Incarnation of the requesting process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Duration of the lease in ms. Members use the duration in their own settings.
    #[prost(uint64, tag = "3")]
    pub duration_ms: u64,
    /// Releases the lease.
    #[prost(bool, tag = "4")]
    pub release: bool,
    /// Name of the requesting node. A new incarnation of the same node may immediately replace the previous one.
    #[prost(string, tag = "5")]
    pub node: String,
    /// Epoch of the membership whose majority is asked.
    #[prost(uint64, tag = "6")]
    pub membership: u64,
    /// Increases with each message of the incarnation, so that delayed messages are detected.
    #[prost(uint64, tag = "7")]
    pub sequence: u64,
}

/// Answer to [`LeaseRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct LeaseResponse {
    /// Granted: the member grants this lease to no other node until the lease has expired, counted from its answer.
    #[prost(bool, tag = "1")]
    pub granted: bool,
}
