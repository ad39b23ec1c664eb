//! The frame that every message travels in.

use super::{
    Accept, Alive, Beats, Change, Changed, Committed, ConfigAsk, ConfigGive, Fetch, FetchPiece,
    Fetched, Found, Hello, Join, Joined, Lease, Leased, Loads, Peek, Peeked, Piece, PreVote,
    PreVoted, Prepare, Recover, RingAsk, RingGive, View, Vote,
};
use prost::Message;

/// An answer without content.
#[derive(Clone, PartialEq, Message)]
pub struct Done {}

/// One message on a link. On the wire, its length as four bytes, big-endian, goes before it; at most
/// `FRAME_MAX` bytes. An unknown body is read as none.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of the call that this is, or that it answers, unique to the caller's side of a link; 0
    /// for what is pushed and never answered.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Whether this answers the call of that number.
    #[prost(bool, tag = "2")]
    pub answer: bool,
    /// The message itself; none where the receiver does not know its kind.
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 32, 33, 40, 41, 42"
    )]
    pub body: Option<Body>,
}

/// The kinds of message. Tags are never used again.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of a link, from who opened it; not answered.
    #[prost(message, tag = "3")]
    Hello(Hello),
    /// Controller to controller; answered with `Vote`.
    #[prost(message, tag = "4")]
    Prepare(Prepare),
    /// Controller to controller; answered with `Vote`.
    #[prost(message, tag = "5")]
    Accept(Accept),
    /// Answer to `Prepare` and `Accept`.
    #[prost(message, tag = "6")]
    Vote(Vote),
    /// Controller to controller; answered with `Peeked`.
    #[prost(message, tag = "7")]
    Peek(Peek),
    /// Answer to `Peek` and `Recover`.
    #[prost(message, tag = "8")]
    Peeked(Peeked),
    /// Controller with an empty disk to the others; answered with `Peeked`.
    #[prost(message, tag = "9")]
    Recover(Recover),
    /// Anyone to a controller; answered with `Fetched`.
    #[prost(message, tag = "10")]
    Fetch(Fetch),
    /// Answer to `Fetch`.
    #[prost(message, tag = "11")]
    Fetched(Fetched),
    /// Owner of a key to the other controllers; not answered.
    #[prost(message, tag = "12")]
    Committed(Committed),
    /// Controller to the owner of a key, or who is taken for it; answered with `Changed`.
    #[prost(message, tag = "13")]
    Change(Change),
    /// Answer to `Change`.
    #[prost(message, tag = "14")]
    Changed(Changed),
    /// Controller to controller; answered with `Leased`.
    #[prost(message, tag = "15")]
    Lease(Lease),
    /// Answer to `Lease`.
    #[prost(message, tag = "16")]
    Leased(Leased),
    /// Controller to controller; answered with `Beats`.
    #[prost(message, tag = "17")]
    Beats(Beats),
    /// Controller to controller; answered with `Joined`.
    #[prost(message, tag = "18")]
    Join(Join),
    /// Answer to `Join`.
    #[prost(message, tag = "19")]
    Joined(Joined),
    /// Router to controller; answered with `Nothing`.
    #[prost(message, tag = "20")]
    Alive(Alive),
    /// Pushed by a controller to a router.
    #[prost(message, tag = "21")]
    View(View),
    /// Router to the index-keeper; answered with `RingGive`.
    #[prost(message, tag = "22")]
    RingAsk(RingAsk),
    /// Answer to `RingAsk`.
    #[prost(message, tag = "23")]
    RingGive(RingGive),
    /// Answer without content: it was done.
    #[prost(message, tag = "24")]
    Done(Done),
    /// Answer without content: it was heard.
    #[prost(message, tag = "25")]
    Nothing(Done),
    /// Router to the index-keeper; not answered.
    #[prost(message, tag = "26")]
    Found(Found),
    /// Both ways between routers and controllers, and between controllers; not answered.
    #[prost(message, tag = "27")]
    Loads(Loads),
    /// Controller that reads its state back, to one that holds a value; answered with `Piece`.
    #[prost(message, tag = "28")]
    FetchPiece(FetchPiece),
    /// Answer to `FetchPiece`.
    #[prost(message, tag = "29")]
    Piece(Piece),
    /// Asks whether a key's owner is silent.
    #[prost(message, tag = "40")]
    PreVote(PreVote),
    /// Answers `PreVote`.
    #[prost(message, tag = "41")]
    PreVoted(PreVoted),
    /// A controller has given back the keys that it owned; answered with `Nothing`.
    #[prost(message, tag = "42")]
    Leaving(Done),
    /// Router to controller; answered with `ConfigGive`.
    #[prost(message, tag = "32")]
    ConfigAsk(ConfigAsk),
    /// Answer to `ConfigAsk`.
    #[prost(message, tag = "33")]
    ConfigGive(ConfigGive),
}
