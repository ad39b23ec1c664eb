//! Messages of the replicated registers: prepare, accept, reads and recovery.

use super::Membership;
use prost::Message;

/// Orders the rounds of a register. Compared field by field in this order.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Ballot {
    /// Epoch: increases each time that the key is taken over.
    #[prost(uint64, tag = "1")]
    pub n: u64,
    /// Number of the owning node (its IPv4 address); distinguishes owners that chose the same epoch.
    #[prost(uint64, tag = "2")]
    pub node: u64,
    /// Number of the owner's round in this epoch; 0 for the prepare phase.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

impl Ballot {
    /// The part of the ballot that all rounds of one owner in one epoch share.
    pub fn epoch(&self) -> (u64, u64) {
        (self.n, self.node)
    }
}

/// The state of one replicated register on a member.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Register {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// No round below this epoch is accepted any more.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    /// Ballot of the accepted value; the default value if there is none.
    #[prost(message, required, tag = "3")]
    pub accepted: Ballot,
    /// The accepted value in the encoding of its key; may be omitted on the wire if only ballots are requested.
    #[prost(bytes = "bytes", tag = "4")]
    pub value: bytes::Bytes,
}

/// First phase: requests a promise not to accept rounds of lower epochs.
#[derive(Clone, PartialEq, Message)]
pub struct Prepare {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Epoch of the sender's membership; rejected if the receiver's differs.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    /// The ballot to promise.
    #[prost(message, required, tag = "3")]
    pub ballot: Ballot,
    /// Recovery epoch of the sender; rejected if the receiver's is later.
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
    /// Accepted ballot of the proposer's own acceptor; values that are not newer may be omitted from the answer.
    #[prost(message, required, tag = "5")]
    pub proposer_accepted: Ballot,
}

/// Asks a voter whether the key's owner has timed out, before any ballot is prepared.
#[derive(Clone, PartialEq, Message)]
pub struct PreVoteRequest {
    /// The key that the sender intends to take over.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Membership epoch of the sender; voters in a different one answer no.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
}

/// Answer to [`PreVoteRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct PreVoteResponse {
    /// Whether this voter would take part in an election now.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// Ballot that the voter has promised for the key; its node is the owner.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
}

/// Second phase: requests the acceptance of a value. The value is already on the sender's own disk.
#[derive(Clone, PartialEq, Message)]
pub struct Accept {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Epoch of the sender's membership; rejected if the receiver's differs.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    /// The round in which the value is proposed.
    #[prost(message, required, tag = "3")]
    pub ballot: Ballot,
    /// The proposed value; empty if `same_value_as` is set.
    #[prost(bytes = "bytes", tag = "4")]
    pub value: bytes::Bytes,
    /// Recovery epoch of the sender; rejected if the receiver's is later.
    #[prost(uint64, tag = "5")]
    pub recovery_epoch: u64,
    /// Replaces the value: the ballot with which this voter has accepted the identical value.
    #[prost(message, optional, tag = "6")]
    pub same_value_as: Option<Ballot>,
}

/// Answer to [`Prepare`] and [`Accept`]; sent only after the state that it reports is on the voter's disk.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    /// Whether the voter promised or accepted.
    #[prost(bool, tag = "1")]
    pub granted: bool,
    /// On a promise, the voter's register with its value; on a rejection, its ballots without the value, if the voter
    /// has the key; otherwise `None`.
    #[prost(message, optional, tag = "2")]
    pub register: Option<Register>,
    /// On a rejection, the voter's membership, which may be newer.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    /// Recovery epoch of the voter; votes of different recovery epochs are not counted together.
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
}

/// Requests all registers of a member without changing them.
#[derive(Clone, PartialEq, Message)]
pub struct ReadBallots {
    /// Epoch of the sender's membership.
    #[prost(uint64, tag = "1")]
    pub membership: u64,
    /// Whether values are requested in addition to ballots.
    #[prost(bool, tag = "2")]
    pub values: bool,
}

/// Answer to [`ReadBallots`] and [`RecoverRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct BallotReport {
    /// Whether the member votes; its answer counts only if it does.
    #[prost(bool, tag = "1")]
    pub votes: bool,
    /// All its registers; with values only if they were requested, never in the answer to [`RecoverRequest`].
    #[prost(message, repeated, tag = "2")]
    pub registers: Vec<Register>,
    /// The membership that it votes in.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    /// Its recovery epoch.
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
}

impl BallotReport {
    /// Whether the report is from a voter in the membership with this epoch; it counts only in that membership.
    pub fn votes_in(&self, membership: u64) -> bool {
        let epoch = self.membership.as_ref().map(|membership| membership.epoch);
        self.votes && epoch == Some(membership)
    }
}

/// Requests all ballots for a member with an empty disk, and invalidates messages of its former incarnation: a member
/// that answers has entered the new recovery epoch and votes in no earlier one.
#[derive(Clone, PartialEq, Message)]
pub struct RecoverRequest {
    /// Epoch of the sender's membership; if the receiver's differs, the answer contains no values.
    #[prost(uint64, tag = "1")]
    pub membership: u64,
    /// Current incarnation of the sender; messages of earlier ones are dropped from now on.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The new recovery epoch, above all epochs that the sender knows.
    #[prost(uint64, tag = "3")]
    pub recovery_epoch: u64,
}

/// Requests one register.
#[derive(Clone, PartialEq, Message)]
pub struct RegisterRequest {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// Answer to [`RegisterRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct RegisterResponse {
    /// Whether the register is known; false if a majority could not be reached.
    #[prost(bool, tag = "1")]
    pub is_known: bool,
    /// The register with its value.
    #[prost(message, optional, tag = "2")]
    pub register: Option<Register>,
}

/// Requests the part of an accepted value that begins at `offset` from a member that has it.
#[derive(Clone, PartialEq, Message)]
pub struct ValueChunkRequest {
    /// Key of the register.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Accepted ballot whose value is read; a holder that has accepted a later one returns that.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// Number of bytes that the sender already has.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// Part of an accepted value.
#[derive(Clone, PartialEq, Message)]
pub struct ValueChunk {
    /// Ballot with which the value was accepted; the default value if the holder has none.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// Position of this part in the value.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Size of the complete value in bytes.
    #[prost(uint64, tag = "3")]
    pub total_bytes: u64,
    /// Content of this part.
    #[prost(bytes = "bytes", tag = "4")]
    pub bytes: bytes::Bytes,
}

/// Announces that the value with this ballot is committed. A hint: a receiver that has accepted the ballot may treat
/// it as committed, others find out on their own.
#[derive(Clone, PartialEq, Message)]
pub struct CommitNotice {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Ballot of the committed value.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}
