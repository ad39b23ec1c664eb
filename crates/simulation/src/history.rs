//! What the stand-ins asked and what they were told, with the time of both.

use serde::Serialize;

/// Time since the run began, in microseconds of the simulated clock.
pub type Micros = u64;

/// One configuration as the checker sees it: its number and a digest of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Version {
    /// The number that its operator gave it.
    pub number: u64,
    /// Tells apart two configurations of the same number.
    pub digest: u64,
}

/// What an operator got for one sending of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Reply {
    /// 200: the change is in force, now or earlier.
    Acknowledged,
    /// 412: another version is current.
    Refused,
    /// 400: the configuration can't be taken.
    Invalid,
    /// 503, silence or a reset: nothing is known.
    Unknown,
}

/// One sending of a configuration.
#[derive(Debug, Clone, Serialize)]
pub struct Write {
    /// Which operator sent it.
    pub operator: usize,
    /// The machine that it was sent to.
    pub machine: usize,
    /// The version that it builds on.
    pub base: u64,
    /// What it would put in force.
    pub version: Version,
    /// False for a body that must never be taken.
    pub valid: bool,
    /// When it was sent.
    pub invoked: Micros,
    /// When its reply came, or the operator gave up waiting.
    pub completed: Micros,
    /// How it ended.
    pub reply: Reply,
}

/// One read of the configuration that gave an answer.
#[derive(Debug, Clone, Serialize)]
pub struct Read {
    /// The machine that was asked.
    pub machine: usize,
    /// What it gave.
    pub version: Version,
    /// When the question was sent.
    pub invoked: Micros,
    /// When the answer came.
    pub completed: Micros,
}

/// A controller that could give orders under a duty at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Holder {
    /// The duty's name.
    pub lease_name: &'static str,
    /// The machine that held it.
    pub machine: usize,
    /// Which start of that machine.
    pub start: u64,
    /// The fencing token that it would have used.
    pub fencing_token: u64,
    /// When it was seen.
    pub at: Micros,
}

/// The members that one controller held to be in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MembershipObservation {
    /// Where it was seen.
    pub machine: usize,
    /// The membership's epoch.
    pub epoch: u64,
    /// The members' addresses, in order.
    pub members: Vec<String>,
    /// When it was first seen there.
    pub at: Micros,
}

/// One call of the link's own protocol, as its caller and its server saw it.
#[derive(Debug, Clone, Serialize)]
pub struct LinkCall {
    /// The question.
    pub question: String,
    /// The answer that the caller was given, if any.
    pub answered: Option<String>,
    /// How often the server was given the question.
    pub handled: usize,
}

/// How a member stood when the time for catching up was over.
#[derive(Debug, Clone, Serialize)]
pub struct CaughtUp {
    /// The machine; none for a member that is gone for good.
    pub machine: Option<usize>,
    /// Whether it votes.
    pub votes: bool,
    /// The newest configuration that it holds itself.
    pub version: u64,
}

/// What an acknowledged drain came to at one controller after all faults had ended.
#[derive(Debug, Clone, Serialize)]
pub struct DrainObservation {
    /// The engine that was told to have been drained.
    pub engine: String,
    /// The machine that acknowledged it.
    pub acknowledged_by: usize,
    /// When it was acknowledged.
    pub acknowledged: Micros,
    /// Where it was looked up.
    pub machine: usize,
    /// True if that controller would still have requests sent to it.
    pub ready: bool,
}

/// Everything that happened in one run that the rules speak of.
#[derive(Debug, Clone, Default, Serialize)]
pub struct History {
    /// All sendings of configurations, as they ended.
    pub writes: Vec<Write>,
    /// All reads that gave an answer, as they ended.
    pub reads: Vec<Read>,
    /// Every moment at which a controller was seen to hold a duty.
    pub holders: Vec<Holder>,
    /// Every membership that was seen in force.
    pub memberships: Vec<MembershipObservation>,
    /// Calls over links.
    pub calls: Vec<LinkCall>,
    /// How the members stood at the end.
    pub caught_up: Vec<CaughtUp>,
    /// What acknowledged drains came to.
    pub drains: Vec<DrainObservation>,
    /// Panics of controllers, each with its place.
    pub panics: Vec<String>,
    /// When the last fault ended.
    pub calm_from: Micros,
    /// Reads that began after the last acknowledgement, with all faults ended.
    pub last_reads: Vec<Read>,
    /// Whether the run lasted until the time given for changes after the last fault.
    pub finished: bool,
}

impl History {
    /// A number that is equal for equal histories.
    pub fn fingerprint(&self) -> u64 {
        let text = serde_json::to_string(self).unwrap_or_default();
        fleet_core::node::stable_hash(&[text.as_bytes()])
    }
}
