//! The events of a run as recorded by clients, engines and the test itself, with their times.

use crate::engine_model::Begun;
use crate::http::ReadError;
use crate::operator::isolated_tenants;
use parking_lot::Mutex;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Time since the run began.
pub type Timestamp = Duration;

/// How often a request may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// May be executed more than once.
    Safe,
    /// Must be executed at most once.
    Unsafe,
    /// A streaming request, which must be executed at most once.
    Stream,
    /// A streaming request that may be resumed, and executed more than once.
    Resumable,
}

impl Kind {
    /// Every kind.
    pub const VARIANTS: [Kind; 4] = [Kind::Safe, Kind::Unsafe, Kind::Stream, Kind::Resumable];

    /// Whether its response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::Resumable)
    }

    /// Whether it must be executed at most once.
    pub fn runs_at_most_once(self) -> bool {
        matches!(self, Kind::Unsafe | Kind::Stream)
    }

    /// The first segment of its path.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream => "stream",
            Kind::Resumable => "resumable",
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// A complete response.
    Answered {
        /// The HTTP status code.
        status: u16,
        /// The body, without its framing.
        body: String,
    },
    /// The connection closed, or the response was malformed.
    Closed(ReadError),
    /// The client timed out.
    TimedOut,
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    /// Attempt id, unique in the run.
    pub attempt: String,
    /// How often it may be executed, and whether its response is a stream.
    pub kind: Kind,
    /// Number of the machine that it was sent to.
    pub machine: usize,
    /// When its last byte was sent.
    pub sent: Timestamp,
    /// When it ended.
    pub ended: Timestamp,
    /// How it ended.
    pub ending: Ending,
}

/// An event of a request at an engine.
#[derive(Debug, Clone)]
pub struct EngineEvent {
    /// Attempt id of the request.
    pub attempt: String,
    /// Id of the engine.
    pub engine: String,
    /// When it happened.
    pub at: Timestamp,
}

/// A request that an engine began to execute with its model.
#[derive(Debug, Clone)]
pub struct ModelRun {
    /// Attempt id of the request.
    pub attempt: String,
    /// Id of the engine.
    pub engine: String,
    /// When it began.
    pub at: Timestamp,
    /// The tenant that the router named.
    pub tenant: String,
    /// The weights, and the kept prompt parts that it used.
    pub begun: Begun,
}

/// A configuration that the operator sent.
#[derive(Debug, Clone)]
pub struct SentConfiguration {
    /// The tenants that it isolates.
    pub isolated: Vec<&'static str>,
    /// When it was first sent; it may be in force from then on.
    pub sent: Timestamp,
    /// When it was acknowledged; `None` if it was not, or not yet.
    pub acknowledged: Option<Timestamp>,
}

/// A version of the model's weights that a controller acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct NamedVersion {
    /// Number of the version.
    pub version: u64,
    /// When it was acknowledged.
    pub acknowledged: Timestamp,
}

/// An action on a process, or its exit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Started.
    Started,
    /// Sent SIGTERM.
    Terminated,
    /// Sent SIGKILL as a disruption.
    Killed,
    /// Sent SIGKILL because it was still running at the end of its grace period.
    KilledAfterGrace,
    /// Sent SIGHUP.
    HungUp,
    /// Exited successfully after SIGTERM.
    Exited,
    /// Exited with a failure, or without having been told to.
    Died,
}

/// A program that runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// The control plane.
    Controller,
    /// The data plane.
    Router,
}

impl Program {
    /// Name of its executable file.
    pub fn name(self) -> &'static str {
        match self {
            Program::Controller => "controller",
            Program::Router => "router",
        }
    }
}

/// An event of a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessEvent {
    /// Number of the machine.
    pub machine: usize,
    /// The program that the process runs.
    pub program: Program,
    /// What happened to the process.
    pub action: Action,
    /// When it happened; for an exit, when it was detected.
    pub at: Timestamp,
}

/// An engine's departure that a controller acknowledged.
#[derive(Debug, Clone)]
pub struct Departure {
    /// Id of the engine.
    pub engine: String,
    /// When the acknowledgement arrived.
    pub acknowledged: Timestamp,
}

/// The most memory that a process was seen to use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeakMemory {
    /// Number of its machine.
    pub machine: usize,
    /// The program that it ran.
    pub program: Program,
    /// Resident bytes (`VmHWM`).
    pub bytes: u64,
}

/// The recorded events of a run.
#[derive(Debug, Default)]
pub struct History {
    /// Requests that have ended.
    pub requests: Vec<Request>,
    /// Requests that reached an engine.
    pub arrivals: Vec<EngineEvent>,
    /// Requests that an engine began to execute.
    pub executions: Vec<EngineEvent>,
    /// The same with what the model of the engine did.
    pub model_runs: Vec<ModelRun>,
    /// Configurations in the order of their versions, the first one at index 0.
    pub configurations: Vec<SentConfiguration>,
    /// Named versions of the weights.
    pub named_versions: Vec<NamedVersion>,
    /// Process events, in order of time.
    pub processes: Vec<ProcessEvent>,
    /// Acknowledged departures.
    pub departures: Vec<Departure>,
    /// Ids of engines whose responses have no end.
    pub faulty_engines: Vec<String>,
    /// The peak of each program on each machine.
    pub peaks: Vec<PeakMemory>,
    /// The highest acknowledged configuration version.
    pub acknowledged_version: u64,
    /// The configuration version that was read back at the end; `None` if no controller returned one.
    pub last_version: Option<u64>,
}

impl History {
    /// The requests by their attempt ids.
    pub fn requests_by_attempt(&self) -> HashMap<&str, &Request> {
        self.requests.iter().map(|request| (request.attempt.as_str(), request)).collect()
    }

    /// Records that a configuration is sent for the first time, or again.
    pub fn record_sent_configuration(&mut self, version: u64, sent: Timestamp) {
        if self.configurations.len() < version as usize {
            let isolated = isolated_tenants(version);
            self.configurations.push(SentConfiguration { isolated, sent, acknowledged: None });
        }
    }

    /// Records that the configuration sent last is acknowledged.
    pub fn record_acknowledgement(&mut self, version: u64, at: Timestamp) {
        self.acknowledged_version = version;
        if let Some(last) = self.configurations.last_mut() {
            last.acknowledged = Some(at);
        }
    }
}

/// Collects the history of a run, and measures its time.
pub struct Recorder {
    began: Instant,
    history: Mutex<History>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder { began: Instant::now(), history: Mutex::default() }
    }
}

impl Recorder {
    /// Time since the run began.
    pub fn now(&self) -> Timestamp {
        self.began.elapsed()
    }

    /// Changes the history.
    pub fn add(&self, add: impl FnOnce(&mut History)) {
        add(&mut self.history.lock());
    }

    /// Raises the peak of a program on a machine.
    pub fn add_memory(&self, sample: PeakMemory) {
        self.add(|history| {
            let is_same = |known: &&mut PeakMemory| {
                known.machine == sample.machine && known.program == sample.program
            };
            match history.peaks.iter_mut().find(is_same) {
                Some(known) => known.bytes = known.bytes.max(sample.bytes),
                None => history.peaks.push(sample),
            }
        });
    }

    /// Returns the history, and leaves an empty one.
    pub fn take(&self) -> History {
        std::mem::take(&mut self.history.lock())
    }
}
