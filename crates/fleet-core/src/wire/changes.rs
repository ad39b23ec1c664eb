//! Changes of the control state, and the values that its keys hold.

use prost::Message;

/// What the key `config` holds. The default stands for "no configuration yet".
#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigValue {
    /// The operator's number (`revision` in the body); 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Isolation generation of what tenants share: rises by one with each configuration that isolates a
    /// tenant which was not isolated before. Kept prompts of older generations are void.
    #[prost(uint64, tag = "4")]
    pub isolation: u64,
    /// Numbers and digests of the configurations taken so far, as one block.
    #[prost(bytes = "bytes", tag = "5")]
    pub history: bytes::Bytes,
    /// The configuration as the operator sent it (JSON), deflated.
    #[prost(bytes = "bytes", tag = "6")]
    pub packed: bytes::Bytes,
    /// Digest of the operator's bytes.
    #[prost(bytes = "bytes", tag = "7")]
    pub digest: bytes::Bytes,
    /// Names of the tenants that have an isolation of their own.
    #[prost(string, repeated, tag = "8")]
    pub isolated: Vec<String>,
}

/// Why a value gives no body.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum BodyError {
    /// {0}
    Unpack(#[from] crate::packing::UnpackError),
    /// the body doesn't have its digest
    OtherDigest,
}

impl ConfigValue {
    /// The operator's bytes again, with the digest that they had.
    ///
    /// # Errors
    ///
    /// The packing is broken, or the bytes don't have the digest.
    pub fn body(&self) -> Result<bytes::Bytes, BodyError> {
        let body = crate::packing::unpack(&self.packed, crate::constants::CONFIG_BYTES)?;
        let digest = crate::digest::BodyDigest::of(&body);
        if digest.as_bytes() != &self.digest[..] {
            return Err(BodyError::OtherDigest);
        }
        Ok(body)
    }
}

/// What the key `weights/MODEL` holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct WeightsValue {
    /// The named version; it only rises, 0 for none.
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

/// What the key `departures` holds: engines whose drain or deregistration was acknowledged, the oldest record first.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct DeparturesValue {
    /// Departures recorded so far; the number of the newest record.
    #[prost(uint64, tag = "1")]
    pub recorded: u64,
    /// The records that are kept, one for each engine, with rising numbers.
    #[prost(message, repeated, tag = "2")]
    pub departures: Vec<Departure>,
}

/// An engine that is draining or was deregistered.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Departure {
    /// The instance's id.
    #[prost(string, tag = "1")]
    pub engine: String,
    /// Number of the engine's call that said so: calls up to this one can't make it ready again.
    #[prost(uint64, tag = "2")]
    pub call: u64,
    /// A [`super::EngineState`]; never `Ready`.
    #[prost(enumeration = "super::EngineState", tag = "3")]
    pub state: i32,
    /// Number of the record; 0 in a request to record it.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// What the key `lease_name/NAME` holds.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct LeaseValue {
    /// Fencing token of the newest holder; rises by one with each raise and is never used again.
    #[prost(uint64, tag = "1")]
    pub fencing_token: u64,
    /// Name of the node that raised it last.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Name of the node that may have acted last: a new holder of another node waits for its lease to pass.
    #[prost(string, tag = "3")]
    pub acting: String,
    /// The raise that gave the fencing token.
    #[prost(message, optional, tag = "4")]
    pub raise: Option<RaiseId>,
}

/// Names one raise of a fencing token, so that deciding it twice is the same as deciding it once.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RaiseId {
    /// Incarnation of the node that raises.
    #[prost(uint64, tag = "1")]
    pub incarnation: u64,
    /// Rises with each raise of that incarnation.
    #[prost(uint64, tag = "2")]
    pub attempt: u64,
}

/// Asks the owner of a key for one change; a controller that does not own the key passes the change on.
/// Answered with [`ChangeResponse`].
#[derive(Clone, PartialEq, Message)]
pub struct ChangeRequest {
    /// What to change; a change of a kind unknown to the receiver is not answered.
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3, 4, 6")]
    pub kind: Option<ChangeKind>,
    /// How often it was passed on already.
    #[prost(uint32, tag = "5")]
    pub hops: u32,
}

/// The kinds of change, one for each kind of key.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ChangeKind {
    /// Replaces the configuration.
    #[prost(message, tag = "1")]
    Replace(ReplaceConfig),
    /// Names a version of a model's weights.
    #[prost(message, tag = "2")]
    Name(SetTargetVersion),
    /// Raises a lease's fencing token.
    #[prost(message, tag = "3")]
    Raise(RaiseFencingToken),
    /// Changes nothing: asks the key's owner to complete what is open and to prove its value current.
    #[prost(string, tag = "4")]
    Confirm(String),
    /// Records that engines leave.
    #[prost(message, tag = "6")]
    RecordDepartures(RecordDepartures),
}

/// Replaces the configuration `base` by a newer one.
#[derive(Clone, PartialEq, Message)]
pub struct ReplaceConfig {
    /// Version that the operator took for the one in force; the change is stale if it is not.
    #[prost(uint64, tag = "1")]
    pub base: u64,
    /// The new configuration's number; has to be above the one in force.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The configuration as the operator sent it (JSON), deflated.
    #[prost(bytes = "bytes", tag = "4")]
    pub packed: bytes::Bytes,
}

/// Records that engines leave. One that is recorded already, at this call or a later one, changes nothing.
#[derive(Clone, PartialEq, Message)]
pub struct RecordDepartures {
    /// The engines.
    #[prost(message, repeated, tag = "1")]
    pub departures: Vec<Departure>,
    /// Records with this number or a lower one may be forgotten: the sender has known them for longer than a call of
    /// an engine can be late.
    #[prost(uint64, tag = "2")]
    pub forget_through: u64,
}

/// Names the version to which the engines of a model are to be brought.
#[derive(Clone, PartialEq, Message)]
pub struct SetTargetVersion {
    /// Name of the model.
    #[prost(string, tag = "1")]
    pub model: String,
    /// The version; a lower one than the named one changes nothing.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// Raises the fencing token of a lease for a new acquisition.
#[derive(Clone, PartialEq, Message)]
pub struct RaiseFencingToken {
    /// Name of the lease.
    #[prost(string, tag = "1")]
    pub lease_name: String,
    /// Name of the node that is about to hold it; it already has the lease.
    #[prost(string, tag = "2")]
    pub holder: String,
    /// Which raise this is; the same one gets the same token again.
    #[prost(message, required, tag = "3")]
    pub id: RaiseId,
    /// No raise: the former holder's lease has passed, and this node acts from now on. Stale unless the
    /// raise of this id is still the newest.
    #[prost(bool, tag = "4")]
    pub acts: bool,
}

/// What came of a change.
#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// Nothing is known: the change may yet come into force.
    Unknown = 0,
    /// Committed, now or earlier.
    Done = 1,
    /// Not committed, and never to be: another version follows the given base.
    Stale = 2,
    /// Not committed: the value breaks a rule.
    Invalid = 3,
    /// A majority was asked, and what it holds doesn't tell whether the change was ever taken
    Unproven = 4,
}

/// Answer to [`ChangeRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct ChangeResponse {
    /// An [`Outcome`].
    #[prost(enumeration = "Outcome", tag = "1")]
    pub outcome: i32,
    /// Version or fencing token in force after the change; for a refused one, the version that stands in its
    /// way; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// For a raise, the node that held the lease before; else empty.
    #[prost(string, tag = "3")]
    pub holder: String,
}
