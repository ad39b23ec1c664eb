//! The frame that every message travels in.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use super::{
    Accept, Alive, Beats, Change, Changed, Committed, Fetch, Fetched, Found, Hello, Join, Joined,
    Lease, Leased, Loads, Peek, Peeked, PreVote, PreVoted, Prepare, Recover, RingAsk, RingGive,
    View, Vote,
};
use prost::Message;

#[derive(Clone, PartialEq, Message)]
pub struct Done {}

#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// of the call that this is or answers; 0 for what is pushed
    #[prost(uint64, tag = "1")]
    pub call: u64,
    #[prost(bool, tag = "2")]
    pub answer: bool,
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 40, 41"
    )]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    #[prost(message, tag = "3")]
    Hello(Hello),
    #[prost(message, tag = "4")]
    Prepare(Prepare),
    #[prost(message, tag = "5")]
    Accept(Accept),
    #[prost(message, tag = "6")]
    Vote(Vote),
    #[prost(message, tag = "7")]
    Peek(Peek),
    #[prost(message, tag = "8")]
    Peeked(Peeked),
    #[prost(message, tag = "9")]
    Recover(Recover),
    #[prost(message, tag = "10")]
    Fetch(Fetch),
    #[prost(message, tag = "11")]
    Fetched(Fetched),
    #[prost(message, tag = "12")]
    Committed(Committed),
    #[prost(message, tag = "13")]
    Change(Change),
    #[prost(message, tag = "14")]
    Changed(Changed),
    #[prost(message, tag = "15")]
    Lease(Lease),
    #[prost(message, tag = "16")]
    Leased(Leased),
    #[prost(message, tag = "17")]
    Beats(Beats),
    #[prost(message, tag = "18")]
    Join(Join),
    #[prost(message, tag = "19")]
    Joined(Joined),
    #[prost(message, tag = "20")]
    Alive(Alive),
    #[prost(message, tag = "21")]
    View(View),
    #[prost(message, tag = "22")]
    RingAsk(RingAsk),
    #[prost(message, tag = "23")]
    RingGive(RingGive),
    #[prost(message, tag = "24")]
    Done(Done),
    #[prost(message, tag = "25")]
    Nothing(Done),
    #[prost(message, tag = "26")]
    Found(Found),
    #[prost(message, tag = "27")]
    Loads(Loads),
    #[prost(message, tag = "40")]
    PreVote(PreVote),
    #[prost(message, tag = "41")]
    PreVoted(PreVoted),
}
