//! Changes of the control state, and the values of its keys.

use prost::Message;

/// Value of the key `config`. The default means that there is no configuration yet.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigValue {
    /// Version of the configuration (`revision` in the body); 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Isolation generation of the non-isolated tenants: increases by one with each configuration that isolates a
    /// tenant which was not isolated before. Cached prefixes of older generations are invalid.
    #[prost(uint64, tag = "4")]
    pub isolation: u64,
    /// Versions and digests of the configurations committed so far, encoded as one block.
    #[prost(bytes = "bytes", tag = "5")]
    pub history: bytes::Bytes,
    /// The operator's configuration body (JSON), compressed with deflate.
    #[prost(bytes = "bytes", tag = "6")]
    pub compressed_body: bytes::Bytes,
    /// Digest of the uncompressed body.
    #[prost(bytes = "bytes", tag = "7")]
    pub digest: bytes::Bytes,
    /// Names of the tenants that have an isolation of their own.
    #[prost(string, repeated, tag = "8")]
    pub isolated: Vec<String>,
}

/// Why the body of a value cannot be restored.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum BodyError {
    /// {0}
    Decompress(#[from] crate::compression::DecompressError),
    /// the body does not match its digest
    DigestMismatch,
}

impl ConfigValue {
    /// Decompresses the operator's body and verifies its digest.
    ///
    /// # Errors
    ///
    /// The compressed data is corrupt, or the body does not match the digest.
    pub fn body(&self) -> Result<bytes::Bytes, BodyError> {
        let body = crate::compression::decompress(
            &self.compressed_body,
            crate::constants::CONFIG_MAX_BYTES,
        )?;
        let digest = crate::digest::BodyDigest::of(&body);
        if digest.as_bytes() != &self.digest[..] {
            return Err(BodyError::DigestMismatch);
        }
        Ok(body)
    }
}

/// Value of the key `weights/MODEL`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WeightsValue {
    /// The target version; it only increases. 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// Value of the key `departures`: engines whose drain or deregistration was acknowledged, the oldest record first.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeparturesValue {
    /// Number of departures recorded so far, which is the number of the newest record.
    #[prost(uint64, tag = "1")]
    pub last_number: u64,
    /// The records that are kept, one per engine, with increasing numbers.
    #[prost(message, repeated, tag = "2")]
    pub departures: Vec<Departure>,
}

/// An engine that is draining or was deregistered.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Departure {
    /// Id of the engine instance.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Number of the engine's call that reported it: calls up to this one cannot make the engine ready again.
    #[prost(uint64, tag = "2")]
    pub call_seq: u64,
    /// A [`super::EngineState`]; never `Ready`.
    #[prost(enumeration = "super::EngineState", tag = "3")]
    pub state: i32,
    /// Number of the record; 0 in a request to record it.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// Value of the key `duty/NAME`.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseValue {
    /// Fencing token of the newest holder; increases by one with each raise and is never reused.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// Name of the node that raised it last.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Name of the last node that may have acted as the holder: a new holder on another node waits until that node's
    /// lease has expired.
    #[prost(string, tag = "3")]
    pub acting_node: String,
    /// The raise that produced the fencing token.
    #[prost(message, optional, tag = "4")]
    pub raise: Option<RaiseId>,
}

/// Identifies one raise of a fencing token, so that raising is idempotent.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RaiseId {
    /// Incarnation of the node that raises the token.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Increases with each raise of that incarnation.
    #[prost(uint64, tag = "2")]
    pub attempt: u64,
}

/// Requests a change of one key from its owner; a controller that does not own the key forwards the request. Answered
/// with [`ChangeResponse`].
#[derive(Clone, PartialEq, Message)]
pub struct ChangeRequest {
    /// The change; a kind unknown to the receiver is not answered.
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3, 4, 6")]
    pub kind: Option<ChangeKind>,
    /// Number of times that the request was forwarded.
    #[prost(uint32, tag = "5")]
    pub forward_count: u32,
}

/// Kinds of changes.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ChangeKind {
    /// Replaces the configuration.
    #[prost(message, tag = "1")]
    ReplaceConfig(ReplaceConfig),
    /// Sets the target version of a model's weights.
    #[prost(message, tag = "2")]
    SetTargetVersion(SetTargetVersion),
    /// Raises the fencing token of a lease.
    #[prost(message, tag = "3")]
    RaiseFencingToken(RaiseFencingToken),
    /// Changes nothing: asks the key's owner to complete a pending round and to confirm that its value is current.
    #[prost(string, tag = "4")]
    Confirm(String),
    /// Records the departure of engines.
    #[prost(message, tag = "6")]
    RecordDepartures(RecordDepartures),
}

/// Replaces the configuration `base_version` by a newer one.
#[derive(Clone, PartialEq, Message)]
pub struct ReplaceConfig {
    /// Version that the operator assumes to be in force; the change is stale if it is not.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// Version of the new configuration; has to be above the one in force.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The operator's configuration body (JSON), compressed with deflate.
    #[prost(bytes = "bytes", tag = "4")]
    pub compressed_body: bytes::Bytes,
}

/// Records the departure of engines. Engines already recorded with the same or a later call are left unchanged.
#[derive(Clone, PartialEq, Message)]
pub struct RecordDepartures {
    /// The departures to record; their `number` is 0.
    #[prost(message, repeated, tag = "1")]
    pub departures: Vec<Departure>,
    /// Records up to this number may be removed: the sender has known them for longer than a call of an engine can be
    /// delayed.
    #[prost(uint64, tag = "2")]
    pub forget_through: u64,
}

/// Sets the target version of a model's weights.
#[derive(Clone, PartialEq, Message)]
pub struct SetTargetVersion {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The target version; a version below the current target changes nothing.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Raises the fencing token of a lease for a new acquisition.
#[derive(Clone, PartialEq, Message)]
pub struct RaiseFencingToken {
    /// Name of the lease.
    #[prost(string, tag = "1")]
    pub lease_name: String,
    /// Name of the node that becomes the holder; it already has the lease.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Identifies this raise; a repeated request returns the same token.
    #[prost(message, required, tag = "3")]
    pub id: RaiseId,
    /// Does not raise the token: states that the former holder's lease has expired and that this node acts from now
    /// on. Stale unless the raise with this id is still the newest.
    #[prost(bool, tag = "4")]
    pub records_takeover: bool,
}

/// Result of a change.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// The result is unknown: the change may still be committed.
    Unknown = 0,
    /// Committed, by this request or an earlier one.
    Committed = 1,
    /// Not committed and never will be: a different version follows the given base.
    Stale = 2,
    /// Not committed: the value violates a rule.
    Invalid = 3,
    /// A majority was queried, and its state does not show whether the change was ever committed.
    Undetermined = 4,
}

/// Answer to [`ChangeRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ChangeResponse {
    /// An [`Outcome`].
    #[prost(enumeration = "Outcome", tag = "1")]
    pub outcome: i32,
    /// Version or fencing token in force after the change; for a rejected change, the conflicting version; 0 if
    /// unknown.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// For a raise, the node that held the lease before; otherwise empty.
    #[prost(string, tag = "3")]
    pub holder: String,
}
