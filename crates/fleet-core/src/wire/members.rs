//! Messages about who the controllers are.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use prost::Message;

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Member {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub ip: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub control: String,
    /// epoch of the membership that took this member in: one that knows only earlier ones was
    /// removed meanwhile, or was never a member, and holds nothing to vote with
    #[prost(uint64, tag = "5")]
    pub joined_epoch: u64,
}

impl Member {
    pub fn addr(&self) -> Option<std::net::Ipv4Addr> {
        self.ip.parse().ok()
    }
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Membership {
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub ip: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(uint32, tag = "4")]
    pub role: u32,
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Join {
    #[prost(message, required, tag = "1")]
    pub member: Member,
    /// has no disk: wants to know the membership, never to be in it
    #[prost(bool, tag = "2")]
    pub observes: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Joined {
    #[prost(message, optional, tag = "1")]
    pub membership: Option<Membership>,
}
