//! The frame that carries every message.

use super::{
    Accept, BallotReport, CachedPrefixes, ChangeRequest, ChangeResponse, CommitNotice,
    ConfigRequest, ConfigResponse, EngineHeartbeats, FleetUpdate, Handshake, JoinRequest,
    JoinResponse, LeaseRequest, LeaseResponse, LoadReport, PreVoteRequest, PreVoteResponse,
    Prepare, ReadBallots, RecoverRequest, RegisterRequest, RegisterResponse, RingRequest,
    RingResponse, RouterHeartbeat, ValueChunk, ValueChunkRequest, Vote,
};
use prost::Message;

/// An answer without content.
#[derive(Clone, PartialEq, Message)]
pub struct Empty {}

/// One message on a link. On the wire it is preceded by its length as a big-endian 32-bit integer; it has at most
/// `FRAME_MAX_BYTES` bytes. An unknown body is decoded as `None`.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    /// Number of the call, or of the call that this answers; unique per caller and link. 0 for messages that are
    /// never answered.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Whether this is the answer to the call with that number.
    #[prost(bool, tag = "2")]
    pub answer: bool,
    /// The message; `None` if the receiver does not know its kind.
    #[prost(
        oneof = "Body",
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 32, 33, 40, 41, 42"
    )]
    pub body: Option<Body>,
}

/// Kinds of messages. Tags are never reused.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of a link, sent by the side that opened it; not answered.
    #[prost(message, tag = "3")]
    Handshake(Handshake),
    /// Controller to controller; answered with `Vote`.
    #[prost(message, tag = "4")]
    Prepare(Prepare),
    /// Controller to controller; answered with `Vote`.
    #[prost(message, tag = "5")]
    Accept(Accept),
    /// Answer to `Prepare` and `Accept`.
    #[prost(message, tag = "6")]
    Vote(Vote),
    /// Controller to controller; answered with `BallotReport`.
    #[prost(message, tag = "7")]
    ReadBallots(ReadBallots),
    /// Answer to `ReadBallots` and `RecoverRequest`.
    #[prost(message, tag = "8")]
    BallotReport(BallotReport),
    /// From a controller with an empty disk to the others; answered with `BallotReport`.
    #[prost(message, tag = "9")]
    RecoverRequest(RecoverRequest),
    /// From any process to a controller; answered with `RegisterResponse`.
    #[prost(message, tag = "10")]
    RegisterRequest(RegisterRequest),
    /// Answer to `RegisterRequest`.
    #[prost(message, tag = "11")]
    RegisterResponse(RegisterResponse),
    /// From the owner of a key to the other controllers; not answered.
    #[prost(message, tag = "12")]
    CommitNotice(CommitNotice),
    /// From a controller to the presumed owner of a key; answered with `ChangeResponse`.
    #[prost(message, tag = "13")]
    ChangeRequest(ChangeRequest),
    /// Answer to `ChangeRequest`.
    #[prost(message, tag = "14")]
    ChangeResponse(ChangeResponse),
    /// Controller to controller; answered with `LeaseResponse`.
    #[prost(message, tag = "15")]
    LeaseRequest(LeaseRequest),
    /// Answer to `LeaseRequest`.
    #[prost(message, tag = "16")]
    LeaseResponse(LeaseResponse),
    /// Controller to controller; answered with `EngineHeartbeats`.
    #[prost(message, tag = "17")]
    EngineHeartbeats(EngineHeartbeats),
    /// Controller to controller; answered with `JoinResponse`.
    #[prost(message, tag = "18")]
    JoinRequest(JoinRequest),
    /// Answer to `JoinRequest`.
    #[prost(message, tag = "19")]
    JoinResponse(JoinResponse),
    /// Router to controller; answered with `Acknowledged`.
    #[prost(message, tag = "20")]
    RouterHeartbeat(RouterHeartbeat),
    /// Pushed by a controller to a router; not answered.
    #[prost(message, tag = "21")]
    FleetUpdate(FleetUpdate),
    /// Router to the index owner; answered with `RingResponse`.
    #[prost(message, tag = "22")]
    RingRequest(RingRequest),
    /// Answer to `RingRequest`.
    #[prost(message, tag = "23")]
    RingResponse(RingResponse),
    /// Answer without content: the call was executed.
    #[prost(message, tag = "24")]
    Empty(Empty),
    /// Answer without content: the call was received.
    #[prost(message, tag = "25")]
    Acknowledged(Empty),
    /// From a router to the index owner; not answered.
    #[prost(message, tag = "26")]
    CachedPrefixes(CachedPrefixes),
    /// In both directions between routers and controllers, and between controllers; not answered.
    #[prost(message, tag = "27")]
    LoadReport(LoadReport),
    /// From a controller that restores its state to one that holds a value; answered with `ValueChunk`.
    #[prost(message, tag = "28")]
    ValueChunkRequest(ValueChunkRequest),
    /// Answer to `ValueChunkRequest`.
    #[prost(message, tag = "29")]
    ValueChunk(ValueChunk),
    /// Asks whether a key's owner has timed out; answered with `PreVoteResponse`.
    #[prost(message, tag = "40")]
    PreVoteRequest(PreVoteRequest),
    /// Answer to `PreVoteRequest`.
    #[prost(message, tag = "41")]
    PreVoteResponse(PreVoteResponse),
    /// A controller has released the keys that it owned; answered with `Acknowledged`.
    #[prost(message, tag = "42")]
    OwnerResigned(Empty),
    /// Router to controller; answered with `ConfigResponse`.
    #[prost(message, tag = "32")]
    ConfigRequest(ConfigRequest),
    /// Answer to `ConfigRequest`.
    #[prost(message, tag = "33")]
    ConfigResponse(ConfigResponse),
}
