//! What the system's own processes say to each other.

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
pub struct Member {
    #[prost(string, tag = "1")]
    pub name: String,
    #[prost(string, tag = "2")]
    pub ip: String,
    #[prost(string, tag = "3")]
    pub zone: String,
    #[prost(string, tag = "4")]
    pub control: String,
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

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Taken {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(uint64, tag = "2")]
    pub digest: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct ConfigValue {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: bytes::Bytes,
    #[prost(message, repeated, tag = "3")]
    pub taken: Vec<Taken>,
    #[prost(uint64, tag = "4")]
    pub isolation: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct WeightsValue {
    #[prost(uint64, tag = "1")]
    pub version: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct DutyValue {
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(string, tag = "2")]
    pub holder: String,
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
pub struct Prepare {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(uint64, tag = "2")]
    pub membership: u64,
    #[prost(message, required, tag = "3")]
    pub ballot: Ballot,
    #[prost(uint64, tag = "4")]
    pub recovery_epoch: u64,
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

#[derive(Clone, PartialEq, Message)]
pub struct Change {
    #[prost(oneof = "ChangeKind", tags = "1, 2, 3")]
    pub kind: Option<ChangeKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ChangeKind {
    #[prost(message, tag = "1")]
    Replace(ReplaceConfig),
    #[prost(message, tag = "2")]
    Name(NameVersion),
    #[prost(message, tag = "3")]
    Raise(RaiseFence),
}

#[derive(Clone, PartialEq, Message)]
pub struct ReplaceConfig {
    #[prost(uint64, tag = "1")]
    pub base: u64,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(bytes = "bytes", tag = "3")]
    pub body: bytes::Bytes,
}

#[derive(Clone, PartialEq, Message)]
pub struct NameVersion {
    #[prost(string, tag = "1")]
    pub model: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct RaiseFence {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(string, tag = "2")]
    pub holder: String,
}

#[derive(Clone, Copy, PartialEq, Eq, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum Outcome {
    /// nothing is known: it may yet be in force
    Unknown = 0,
    Done = 1,
    /// another version is in place
    Stale = 2,
    Invalid = 3,
}

#[derive(Clone, PartialEq, Message)]
pub struct Changed {
    #[prost(enumeration = "Outcome", tag = "1")]
    pub outcome: i32,
    #[prost(uint64, tag = "2")]
    pub number: u64,
    #[prost(string, tag = "3")]
    pub holder: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct Lease {
    #[prost(string, tag = "1")]
    pub duty: String,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub ms: u64,
    /// gives it back
    #[prost(bool, tag = "4")]
    pub leave: bool,
    /// a new incarnation of the same node may stand in for the one before it at once
    #[prost(string, tag = "5")]
    pub node: String,
}

#[derive(Clone, PartialEq, Message)]
pub struct Leased {
    #[prost(bool, tag = "1")]
    pub ok: bool,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct Weights {
    #[prost(string, tag = "1")]
    pub model: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// What is known of an engine; the highest call of an instance wins.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Engine {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(uint64, tag = "2")]
    pub call: u64,
    #[prost(string, tag = "3")]
    pub service: String,
    #[prost(string, tag = "4")]
    pub address: String,
    #[prost(string, tag = "5")]
    pub zone: String,
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    #[prost(enumeration = "Standing", tag = "7")]
    pub standing: i32,
    #[prost(message, repeated, tag = "8")]
    pub weights: Vec<Weights>,
    #[prost(bool, tag = "9")]
    pub silent: bool,
    /// under an order of the roll-out: rises with each turn, odd while one runs
    #[prost(uint64, tag = "10")]
    pub turn: u64,
    /// about to be ordered: rises with each time, odd while it gets no more long streams
    #[prost(uint64, tag = "11")]
    pub fade: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug, prost::Enumeration)]
#[repr(i32)]
pub enum Standing {
    Ready = 0,
    Draining = 1,
    Gone = 2,
}

#[derive(Clone, PartialEq, Message)]
pub struct Beats {
    #[prost(message, repeated, tag = "1")]
    pub engines: Vec<Engine>,
    /// wants all that the other knows in return
    #[prost(bool, tag = "2")]
    pub ask: bool,
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

/// A router tells that it incarnations, and what it has.
#[derive(Clone, PartialEq, Message)]
pub struct Alive {
    #[prost(uint64, tag = "1")]
    pub version: u64,
    #[prost(bool, tag = "2")]
    pub leaving: bool,
}

/// Loads of engines, in parallel lists: from a router its own sends in flight, from a controller the
/// sum over its routers, to a router the sum over all.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Loads {
    /// of the engine's id; two that share a key only look busier than they are
    #[prost(fixed32, repeated, tag = "1")]
    pub keys: Vec<u32>,
    /// tokens of sends that have not begun, in units of `LOAD_TOKENS`
    #[prost(uint32, repeated, tag = "2")]
    pub unread: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub runs: Vec<u32>,
    /// of these, sends that somebody waits for
    #[prost(uint32, repeated, tag = "4")]
    pub interactive: Vec<u32>,
}

#[derive(Clone, PartialEq, Message)]
pub struct NamedWeights {
    #[prost(string, tag = "1")]
    pub model: String,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// Pushed to routers; each field only when it has news.
#[derive(Clone, PartialEq, Message)]
pub struct View {
    #[prost(message, optional, tag = "1")]
    pub membership: Option<Membership>,
    #[prost(uint64, tag = "2")]
    pub config: u64,
    #[prost(message, repeated, tag = "3")]
    pub weights: Vec<NamedWeights>,
    #[prost(message, repeated, tag = "4")]
    pub engines: Vec<Engine>,
    #[prost(message, optional, tag = "5")]
    pub ring: Option<RingHead>,
    #[prost(uint32, tag = "6")]
    pub routers: u32,
    /// the reader is behind by more than half of the ring
    #[prost(bool, tag = "7")]
    pub nudge: bool,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct RingHead {
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub head: u64,
    #[prost(string, tag = "4")]
    pub keeper: String,
    /// parts that holders were found to keep, so far
    #[prost(uint64, tag = "5")]
    pub found: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct RingAsk {
    #[prost(uint64, tag = "1")]
    pub fence: u64,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    #[prost(uint64, tag = "3")]
    pub cursor: u64,
    #[prost(uint64, tag = "4")]
    pub reader: u64,
    /// wants a digest to start from
    #[prost(bool, tag = "5")]
    pub refill: bool,
    /// findings seen so far
    #[prost(uint64, tag = "6")]
    pub found: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct RingGive {
    #[prost(message, optional, tag = "1")]
    pub head: Option<RingHead>,
    #[prost(bool, tag = "2")]
    pub reset: bool,
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<RingEntry>,
    /// cursor behind the entries, or the ring position of the digest
    #[prost(uint64, tag = "4")]
    pub cursor: u64,
    /// all that is kept on a reset, else what was found since; taken in before the entries
    #[prost(message, repeated, tag = "5")]
    pub digest: Vec<HeldParts>,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct RingEntry {
    #[prost(uint64, tag = "1")]
    pub scope: u64,
    #[prost(oneof = "Purge", tags = "2, 3, 4, 5")]
    pub what: Option<Purge>,
}

#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum Purge {
    #[prost(message, tag = "2")]
    Part(PartAt),
    /// all that a holder keeps
    #[prost(string, tag = "3")]
    Holder(String),
    /// all kept under older weights of a model
    #[prost(message, tag = "4")]
    Weights(Weights),
    /// all kept under older generations of the shared isolation
    #[prost(uint64, tag = "5")]
    Isolation(u64),
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct PartAt {
    #[prost(string, tag = "1")]
    pub holder: String,
    #[prost(string, tag = "2")]
    pub salt: String,
    #[prost(uint64, tag = "3")]
    pub part: u64,
    /// tokens of it that are left
    #[prost(uint64, tag = "4")]
    pub kept: u64,
}

#[derive(Clone, PartialEq, Eq, Message)]
pub struct HeldParts {
    #[prost(string, tag = "1")]
    pub holder: String,
    #[prost(string, tag = "2")]
    pub salt: String,
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
    /// tokens kept of each
    #[prost(uint64, repeated, tag = "4")]
    pub kept: Vec<u64>,
}

/// Shared parts that a router's own sends leave at a holder.
#[derive(Clone, PartialEq, Message)]
pub struct Found {
    #[prost(message, repeated, tag = "1")]
    pub held: Vec<HeldParts>,
}

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
        tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27"
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
}
