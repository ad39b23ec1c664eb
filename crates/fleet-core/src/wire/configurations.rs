//! Transfer of the configuration from a controller to a router.

use prost::Message;

/// Requests the configuration in force; sent by routers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigRequest {
    /// Digest of the body that the router has; empty if it has none that can be the base of a delta.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: bytes::Bytes,
}

/// The configuration that a majority confirmed after the request arrived; the default value if none was confirmed.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigResponse {
    /// Version of the configuration.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Isolation generation shared by all tenants without an isolation of their own.
    #[prost(uint64, tag = "2")]
    pub isolation: u64,
    /// Digest of the uncompressed body.
    #[prost(bytes = "bytes", tag = "3")]
    pub digest: bytes::Bytes,
    /// The body; `None` if the router has this body already.
    #[prost(oneof = "ConfigPayload", tags = "4, 5")]
    pub payload: Option<ConfigPayload>,
}

/// Encoding of a configuration body.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum ConfigPayload {
    /// The complete body, compressed.
    #[prost(bytes = "bytes", tag = "4")]
    Full(bytes::Bytes),
    /// A compressed `ConfigDelta` whose base is the router's body.
    #[prost(bytes = "bytes", tag = "5")]
    Delta(bytes::Bytes),
}

/// Operations that turn the base body into the new one.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigDelta {
    /// Operations in the order of the new body.
    #[prost(message, repeated, tag = "1")]
    pub ops: Vec<DeltaOp>,
}

/// Copies a range of the base body, then inserts bytes.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeltaOp {
    /// Start of the range.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// Length of the range in bytes.
    #[prost(uint64, tag = "2")]
    pub length: u64,
    /// Bytes that follow the range.
    #[prost(bytes = "vec", tag = "3")]
    pub insert: Vec<u8>,
}
