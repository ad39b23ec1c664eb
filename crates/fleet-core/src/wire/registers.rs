//! Messages of the replicated registers: prepare, accept, reads and recovery.

use super::Membership;
use prost::Message;

/// Orders the rounds of a register. Compared field by field in this order.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Ballot {
    /// Epoch: rises with each take-over of the key.
    #[prost(uint64, tag = "1")]
    pub n: u64,
    /// The owner's number (its IPv4 address); parts owners that chose the same epoch.
    #[prost(uint64, tag = "2")]
    pub node: u64,
    /// Rounds of this owner under this epoch; 0 for the prepare phase.
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

impl Ballot {
    /// What all rounds of one owner under one epoch share.
    pub fn epoch(&self) -> (u64, u64) {
        (self.n, self.node)
    }
}

/// One replicated register, as a member holds it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Register {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// No round below this epoch is accepted any more.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    /// Ballot of the accepted value; the default if there is none.
    #[prost(message, required, tag = "3")]
    pub accepted: Ballot,
    /// The accepted value, encoded as the key demands; may be left out on the wire where only ballots
    /// are asked for.
    #[prost(bytes = "bytes", tag = "4")]
    pub value: bytes::Bytes,
}

/// First phase: asks for the promise to accept no round of a lower epoch.
#[derive(Clone, PartialEq, Message)]
pub struct Prepare {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Epoch of the sender's membership; refused under any other.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    /// The epoch to promise.
    #[prost(message, required, tag = "3")]
    pub ballot: Ballot,
    /// The sender's recovery epoch; refused where the receiver's is later.
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
    /// Accepted ballot of the proposer's own acceptor: values that are not newer may be left out.
    #[prost(message, required, tag = "5")]
    pub own_accepted: Ballot,
}

/// Asks a voter whether the key's owner has timed out, before any ballot is prepared.
#[derive(Clone, PartialEq, Message)]
pub struct PreVoteRequest {
    /// Key that the asker means to take over.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Membership epoch of the asker; voters of another one say no.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
}

/// Answer to [`PreVoteRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct PreVoteResponse {
    /// Whether this voter would take part in an election now.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Ballot that the voter has promised for the key; its proposer is the owner.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
}

/// Second phase: asks to accept a value. The sender has it on its own disk already.
#[derive(Clone, PartialEq, Message)]
pub struct Accept {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Epoch of the sender's membership; refused under any other.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    /// The round.
    #[prost(message, required, tag = "3")]
    pub ballot: Ballot,
    /// The value.
    #[prost(bytes = "bytes", tag = "4")]
    pub value: bytes::Bytes,
    /// The sender's recovery epoch; refused where the receiver's is later.
    #[prost(uint64, tag = "5")]
    pub recovery_epoch: u64,
    /// In place of the value: the ballot under which this voter has accepted the very same value.
    #[prost(message, optional, tag = "6")]
    pub same_as: Option<Ballot>,
}

/// Answer to [`Prepare`] and [`Accept`]; sent only once what it says is on the voter's disk.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    /// Promised or accepted.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// On a promise, the voter's register with its value; on a refusal, its ballots without the value,
    /// if it knows the key; else none.
    #[prost(message, optional, tag = "2")]
    pub register: Option<Register>,
    /// On a refusal, the voter's membership, which may be newer.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    /// The voter's recovery epoch; votes of two recovery epochs do not count together.
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
}

/// Asks for all registers of a member; changes nothing.
#[derive(Clone, PartialEq, Message)]
pub struct ReadBallots {
    /// Epoch of the asker's membership.
    #[prost(uint64, tag = "1")]
    pub membership: u64,
    /// Whether values are wanted, or ballots only.
    #[prost(bool, tag = "2")]
    pub values: bool,
}

/// Answer to [`ReadBallots`] and [`RecoverRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct BallotReport {
    /// Whether the member votes at all; only then does its answer count.
    #[prost(bool, tag = "1")]
    pub votes: bool,
    /// All its registers; values only where the question asked for them, never on [`RecoverRequest`].
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
    /// Whether it is of a voter in the membership of this epoch: only then does it count there.
    pub fn votes_in(&self, membership: u64) -> bool {
        let epoch = self.membership.as_ref().map(|membership| membership.epoch);
        self.votes && epoch == Some(membership)
    }
}

/// An empty disk asks for all ballots, and ends what its former incarnation had on the way: whoever
/// answers is in the new recovery epoch, and votes in no earlier one.
#[derive(Clone, PartialEq, Message)]
pub struct RecoverRequest {
    /// Epoch of the asker's membership; under another one the answer has no values.
    #[prost(uint64, tag = "1")]
    pub membership: u64,
    /// The asker's present incarnation; messages of earlier ones are dropped from now on.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The new recovery epoch, above all that the asker knows.
    #[prost(uint64, tag = "3")]
    pub recovery_epoch: u64,
}

/// Asks for one register.
#[derive(Clone, PartialEq, Message)]
pub struct RegisterRequest {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
}

/// Answer to [`RegisterRequest`].
#[derive(Clone, PartialEq, Message)]
pub struct RegisterResponse {
    /// Whether there is an answer; not if a majority could not be reached.
    #[prost(bool, tag = "1")]
    pub is_known: bool,
    /// The register, with its value.
    #[prost(message, optional, tag = "2")]
    pub register: Option<Register>,
}

/// Asks a holder for the part of an accepted value that begins at `offset`.
#[derive(Clone, PartialEq, Message)]
pub struct ValueChunkRequest {
    /// Key of the register.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The accepted ballot whose value is read; a holder that is past it gives its later one.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
    /// Bytes that the asker has.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// Part of an accepted value.
#[derive(Clone, PartialEq, Message)]
pub struct ValueChunk {
    /// The ballot that the value was accepted at; blank where the holder has nothing.
    #[prost(message, required, tag = "1")]
    pub ballot: Ballot,
    /// Where this part begins.
    #[prost(uint64, tag = "2")]
    pub offset: u64,
    /// Bytes of the whole value.
    #[prost(uint64, tag = "3")]
    pub total: u64,
    /// The part.
    #[prost(bytes = "bytes", tag = "4")]
    pub bytes: bytes::Bytes,
}

/// Tells that the value at this ballot is committed. A hint: who has accepted it may count it as
/// committed, others find out by themselves.
#[derive(Clone, PartialEq, Message)]
pub struct CommitNotice {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Ballot of the committed value.
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}
