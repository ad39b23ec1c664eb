//! The recorded calls of the workloads, with their responses and the times of both.

use serde::Serialize;

/// Time since the run began, in microseconds of the simulated clock.
pub type Micros = u64;

/// Identifies a configuration by its revision number and a digest of its body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
pub struct Version {
    /// The revision number.
    pub number: u64,
    /// Distinguishes configurations with the same number.
    pub digest: u64,
}

/// The response to one attempt of an operator to send a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Reply {
    /// 200: the change took effect, now or earlier.
    Acknowledged,
    /// 412: another version is current.
    Refused,
    /// 400: the configuration is invalid.
    Invalid,
    /// 503, a timeout or a reset: the outcome is unknown.
    Unknown,
}

/// One attempt to send a configuration.
#[derive(Debug, Clone, Serialize)]
pub struct Write {
    /// Number of the operator that sent it.
    pub operator: usize,
    /// Number of the machine that it was sent to.
    pub machine: usize,
    /// The version that it builds on.
    pub base: u64,
    /// The version that it would put into effect.
    pub version: Version,
    /// False if the body is invalid and must be rejected.
    pub valid: bool,
    /// When it was sent.
    pub invoked: Micros,
    /// When the response arrived or the operator timed out; `u64::MAX` while it is pending.
    pub completed: Micros,
    /// The response; `Unknown` while the attempt is pending.
    pub reply: Reply,
}

/// One read of the configuration that returned a version.
#[derive(Debug, Clone, Serialize)]
pub struct Read {
    /// Number of the machine that was read from.
    pub machine: usize,
    /// The version that it returned.
    pub version: Version,
    /// When the request was sent.
    pub invoked: Micros,
    /// When the response arrived.
    pub completed: Micros,
}

/// A controller that held a lease at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LeaseObservation {
    /// Name of the lease.
    pub lease_name: &'static str,
    /// Number of the machine that held it.
    pub machine: usize,
    /// Number of the start of that machine's process.
    pub start: u64,
    /// Its fencing token.
    pub fencing_token: u64,
    /// When it was sampled.
    pub at: Micros,
}

/// The membership that one controller considered current.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MembershipObservation {
    /// Number of the machine where it was sampled.
    pub machine: usize,
    /// The membership's epoch.
    pub epoch: u64,
    /// The members' addresses, sorted.
    pub members: Vec<String>,
    /// When this epoch was first sampled there.
    pub at: Micros,
}

/// One call over a link, as observed by its caller and its server.
#[derive(Debug, Clone, Serialize)]
pub struct LinkCall {
    /// The request, unique to the call.
    pub question: String,
    /// The response that the caller received, if any.
    pub answered: Option<String>,
    /// How often the server handled the request.
    pub handled: usize,
}

/// The state of a member at the end of the run, after the time for catching up.
#[derive(Debug, Clone, Serialize)]
pub struct CaughtUp {
    /// Number of the machine; `None` for a member that was permanently removed.
    pub machine: Option<usize>,
    /// Whether it votes.
    pub votes: bool,
    /// The newest configuration version in its local state; 0 if it does not run.
    pub version: u64,
}

/// The state of an engine with an acknowledged drain at one controller, after all faults.
#[derive(Debug, Clone, Serialize)]
pub struct DrainObservation {
    /// The engine's id.
    pub engine: String,
    /// Number of the machine that acknowledged the drain.
    pub acknowledged_by: usize,
    /// When the drain was acknowledged.
    pub acknowledged: Micros,
    /// Number of the machine where the engine was looked up.
    pub machine: usize,
    /// True if that controller still considers the engine ready for requests.
    pub ready: bool,
}

/// The events of one run that the invariants apply to.
#[derive(Debug, Clone, Default, Serialize)]
pub struct History {
    /// All attempts to send a configuration, in the order in which they began.
    pub writes: Vec<Write>,
    /// All reads that returned a version, in the order in which they completed.
    pub reads: Vec<Read>,
    /// The lease holders, at each sample in which they had changed.
    pub holders: Vec<LeaseObservation>,
    /// Every membership that a controller considered current.
    pub memberships: Vec<MembershipObservation>,
    /// Calls over links.
    pub calls: Vec<LinkCall>,
    /// The members' states at the end.
    pub caught_up: Vec<CaughtUp>,
    /// States of engines with acknowledged drains, after all faults.
    pub drains: Vec<DrainObservation>,
    /// Panics of the code under test, each with its source location.
    pub panics: Vec<String>,
    /// When the last fault ended.
    pub calm_from: Micros,
    /// Final reads, which began after the last acknowledgement and the end of all faults.
    pub last_reads: Vec<Read>,
    /// Whether the run lasted until the end of the progress timeout after the last fault.
    pub finished: bool,
}

impl History {
    /// A hash that is equal for equal histories.
    pub fn fingerprint(&self) -> u64 {
        let text = serde_json::to_string(self).unwrap_or_default();
        fleet_core::node::stable_hash(&[text.as_bytes()])
    }
}
