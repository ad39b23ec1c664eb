//! Messages of the replicated registers: prepare, accept, reads and recovery.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::Membership;
use prost::Message;

#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Message)]
pub struct Ballot {
    #[prost(uint64, tag = "1")]
    pub n: u64,
    #[prost(uint64, tag = "2")]
    pub node: u64,
    #[prost(uint64, tag = "3")]
    pub seq: u64,
}

impl Ballot {
    /// Rounds of one owner under one epoch.
    pub fn epoch(&self) -> (u64, u64) {
        (self.n, self.node)
    }
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Register {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
    #[prost(message, required, tag = "3")]
    pub accepted: Ballot,
    #[prost(bytes = "bytes", tag = "4")]
    pub value: bytes::Bytes,
}

#[derive(Clone, PartialEq, Message)]
pub struct Prepare {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    #[prost(message, required, tag = "3")]
    pub ballot: Ballot,
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
    /// Accepted ballot of the proposer's own acceptor: values that are not newer may be left out.
    #[prost(message, required, tag = "5")]
    pub known: Ballot,
}

/// Asks a voter whether the key's owner has gone silent, before any ballot is prepared.
#[derive(Clone, PartialEq, Message)]
pub struct PreVote {
    /// Key that the asker means to take over.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Membership epoch of the asker; voters of another one say no.
    #[prost(uint64, tag = "2")]
    pub membership: u64,
}

/// Answer to [`PreVote`].
#[derive(Clone, PartialEq, Message)]
pub struct PreVoted {
    /// Whether this voter would take part in an election now.
    #[prost(bool, tag = "1")]
    pub ok: bool,
    /// Ballot that the voter has promised for the key; its proposer is the owner.
    #[prost(message, required, tag = "2")]
    pub promised: Ballot,
}

#[derive(Clone, PartialEq, Message)]
pub struct Accept {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    #[prost(message, required, tag = "3")]
    pub ballot: Ballot,
    #[prost(bytes = "bytes", tag = "4")]
    pub value: bytes::Bytes,
    #[prost(uint64, tag = "5")]
    pub recovery_epoch: u64,
    /// In place of the value: the ballot under which this voter has accepted the very same value.
    #[prost(message, optional, tag = "6")]
    pub same_as: Option<Ballot>,
}

/// Answer to Prepare and Accept.
#[derive(Clone, PartialEq, Message)]
pub struct Vote {
    #[prost(bool, tag = "1")]
    pub ok: bool,
    #[prost(message, optional, tag = "2")]
    pub register: Option<Register>,
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Peek {
    #[prost(uint64, tag = "1")]
    pub membership: u64,
    #[prost(bool, tag = "2")]
    pub values: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Peeked {
    #[prost(bool, tag = "1")]
    pub votes: bool,
    #[prost(message, repeated, tag = "2")]
    pub registers: Vec<Register>,
    #[prost(message, optional, tag = "3")]
    pub membership: Option<Membership>,
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
}

/// An empty disk asks for all, and ends what its former incarnation had on the way: whoever answers is in
/// the new recovery_epoch, and votes in no earlier one.
#[derive(Clone, PartialEq, Message)]
pub struct Recover {
    #[prost(uint64, tag = "1")]
    pub membership: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub recovery_epoch: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Fetch {
    #[prost(string, tag = "1")]
    pub key: String,
    /// asks a majority first
    #[prost(bool, tag = "2")]
    pub confirm: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Fetched {
    #[prost(bool, tag = "1")]
    pub known: bool,
    #[prost(message, optional, tag = "2")]
    pub register: Option<Register>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Committed {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(message, required, tag = "2")]
    pub ballot: Ballot,
}
