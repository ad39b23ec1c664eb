//! Messages about the membership of the controllers.

use prost::Message;

/// A controller with a vote.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its IPv4 address, which identifies it in ballots and votes.
    #[prost(string, tag = "2")]
    pub ip: String,
    /// Zone of the node.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// Its listen address for engines and operators, IP:PORT.
    #[prost(string, tag = "4")]
    pub control: String,
    /// Epoch of the membership that added this member. A node that only knows earlier epochs was removed in the
    /// meantime or was never a member, and has no state to vote with.
    #[prost(uint64, tag = "5")]
    pub joined_epoch: u64,
}

impl Member {
    /// Its address; `None` if it cannot be parsed.
    pub fn addr(&self) -> Option<std::net::Ipv4Addr> {
        self.ip.parse().ok()
    }

    /// Its node number in ballots; `None` if its address cannot be parsed.
    pub fn id(&self) -> Option<u64> {
        self.addr().map(crate::node::node_id_of)
    }
}

/// The voting controllers.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Membership {
    /// Increases by one with each membership change; 0 before the first.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// All voters.
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

impl Membership {
    /// Number of members that form a majority.
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

/// First frame of a link: identifies the side that opened it.
#[derive(Clone, PartialEq, Message)]
pub struct Handshake {
    /// Name of the node.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its IPv4 address.
    #[prost(string, tag = "2")]
    pub ip: String,
    /// Zone of the node.
    #[prost(string, tag = "3")]
    pub zone: String,
    /// A [`crate::node::Role`] as a number.
    #[prost(uint32, tag = "4")]
    pub role: u32,
    /// Random number of this process start; never 0.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

/// Requests membership for a controller; repeated until it is a member.
#[derive(Clone, PartialEq, Message)]
pub struct JoinRequest {
    /// The requesting controller.
    #[prost(message, required, tag = "1")]
    pub member: Member,
    /// The controller has no disk: it asks for the membership and never becomes a member.
    #[prost(bool, tag = "2")]
    pub is_observer: bool,
    /// How long its process has been running, in ms.
    #[prost(uint64, tag = "3")]
    pub running_ms: u64,
}

/// Answer to [`JoinRequest`]; the controller becomes a member later, by a membership change.
#[derive(Clone, PartialEq, Message)]
pub struct JoinResponse {
    /// The membership in force, as known to the answering controller.
    #[prost(message, optional, tag = "1")]
    pub membership: Option<Membership>,
}
