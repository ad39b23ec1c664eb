//! Messages about who the controllers are.

use prost::Message;

/// A controller with a vote.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// The node's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its IPv4 address, which names it in ballots and votes.
    #[prost(string, tag = "2")]
    pub ip: String,
    /// The zone it stands in.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Where it takes calls of engines and the operator, IP:PORT.
    #[prost(string, tag = "4")]
    pub control: String,
    /// epoch of the membership that took this member in: one that knows only earlier ones was
    /// removed meanwhile, or was never a member, and holds nothing to vote with
    #[prost(uint64, tag = "5")]
    pub joined_epoch: u64,
}

impl Member {
    /// Its address; none where it cannot be read.
    pub fn addr(&self) -> Option<std::net::Ipv4Addr> {
        self.ip.parse().ok()
    }

    /// Its number in ballots; none where its address cannot be read.
    pub fn id(&self) -> Option<u64> {
        self.addr().map(crate::node::id_of)
    }
}

/// The controllers that vote.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Membership {
    /// Rises by one with each change of members; 0 before the first.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// All voters.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

impl Membership {
    /// Of how many members a majority consists.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// First frame of a link: who has opened it.
#[derive(Clone, PartialEq, Message)]
pub struct Handshake {
    /// The node's name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its IPv4 address.
    #[prost(string, tag = "2")]
    pub ip: String,
    /// The zone it stands in.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// A [`crate::node::Role`] as its number.
    #[prost(uint32, tag = "4")]
    pub role: u32,
    /// Random number of this start of the process; never 0.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// A controller outside the membership asks for a place in it, again and again until it has one.
#[derive(Clone, PartialEq, Message)]
pub struct JoinRequest {
    /// Who asks.
    #[prost(message, required, tag = "1")]
    pub member: Member,
    /// Has no disk: wants to know the membership, never to be in it.
    #[prost(bool, tag = "2")]
    pub observes: bool,
    /// For how long its process has run.
    #[prost(uint64, tag = "3")]
    pub running_ms: u64,
}

/// Answer to [`JoinRequest`]; a place is given later, by a new membership.
#[derive(Clone, PartialEq, Message)]
pub struct JoinResponse {
    /// The membership in force, as the answering controller knows it.
    #[prost(message, optional, tag = "1")]
    pub membership: Option<Membership>,
}
