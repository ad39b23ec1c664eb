//! How a configuration travels from a controller to a router.

use prost::Message;

/// A router asks for the configuration in force, and says what it has.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// digest of the body that the router has; empty if it has none that a delta could build on
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: bytes::Bytes,
}

/// The configuration that a majority confirmed after the call came; the default where none did.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigResponse {
    /// its number
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// generation of the isolation that all tenants without their own share
    #[prost(uint64, tag = "2")]
    pub isolation: u64,
    /// digest of its body
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: bytes::Bytes,
    /// its body
    #[prost(oneof = "ConfigForm", tags = "4, 5")]
    pub form: Option<ConfigForm>,
}

/// The form in which a body is given; none where the router has that very body.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum ConfigForm {
    /// all of it, packed
    #[prost(bytes = "bytes", tag = "4")]
    Full(bytes::Bytes),
    /// a packed `ConfigDelta` against the body that the router has
    #[prost(bytes = "bytes", tag = "5")]
    Delta(bytes::Bytes),
}

/// What makes a new body of a former one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigDelta {
    /// in the order of the new body
    #[prost(message, repeated, tag = "1")]
    pub ops: Vec<DeltaOp>,
}

/// Copies a range of the former body, then inserts bytes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeltaOp {
    /// where the range begins
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// bytes of the range
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// what follows it
    #[prost(bytes = "vec", tag = "3")]
    pub insert: Vec<u8>,
}
