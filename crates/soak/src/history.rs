//! What the stand-ins saw, with the time.

use crate::http::ReadError;
use parking_lot::Mutex;
use std::time::Duration;
use tokio::time::Instant;

/// Time since the run began.
pub type At = Duration;

/// How a request may be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may run twice.
    Safe,
    /// It may run at most once.
    Unsafe,
    /// A stream, which may run at most once.
    Stream,
}

impl Kind {
    /// Every kind.
    pub const EVERY: [Kind; 3] = [Kind::Safe, Kind::Unsafe, Kind::Stream];

    /// The first part of its path.
    pub fn path(self) -> &'static str {
        match self {
            Kind::Safe => "safe",
            Kind::Unsafe => "unsafe",
            Kind::Stream => "stream",
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Ending {
    /// A whole response.
    Answered {
        /// its status
        status: u16,
        /// its body
        body: String,
    },
    /// The connection ended first.
    Closed(ReadError),
    /// The client gave up.
    TimedOut,
}

/// One request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    /// The client's id of it.
    pub attempt: String,
    /// How it may be treated.
    pub kind: Kind,
    /// The machine that it was sent to.
    pub machine: usize,
    /// When its last byte was sent.
    pub sent: At,
    /// When it ended.
    pub ended: At,
    /// How it ended.
    pub ending: Ending,
}

/// What became of a request at an engine.
#[derive(Debug, Clone)]
pub struct EngineEvent {
    /// The client's id of the request.
    pub attempt: String,
    /// The engine.
    pub engine: String,
    /// When.
    pub at: At,
}

/// What was done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// It was started.
    Started,
    /// SIGTERM.
    Terminated,
    /// SIGKILL in the middle of its work.
    Killed,
    /// SIGKILL, since it still ran when its grace period was over.
    Overran,
    /// SIGHUP.
    HungUp,
    /// It was seen to have ended, in order.
    Exited,
    /// It was seen to have ended in another way, or when nobody had asked it to.
    Died,
}

/// The programs of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// The control plane.
    Controller,
    /// The data plane.
    Router,
}

impl Program {
    /// The name of its file.
    pub fn name(self) -> &'static str {
        match self {
            Program::Controller => "controller",
            Program::Router => "router",
        }
    }
}

/// Something that was done to a process.
#[derive(Debug, Clone, Copy)]
pub struct ProcessEvent {
    /// The machine.
    pub machine: usize,
    /// Which of its processes.
    pub program: Program,
    /// What was done.
    pub action: Action,
    /// When; for an end, when it was seen.
    pub at: At,
}

/// An engine's departure that a controller acknowledged.
#[derive(Debug, Clone)]
pub struct Departure {
    /// The engine.
    pub engine: String,
    /// When the acknowledgement came.
    pub acknowledged: At,
}

/// All that was seen in a run.
#[derive(Debug, Default)]
pub struct History {
    /// Requests that have ended.
    pub requests: Vec<Request>,
    /// Requests that reached an engine.
    pub arrivals: Vec<EngineEvent>,
    /// Requests that an engine began to run.
    pub begun: Vec<EngineEvent>,
    /// What was done to processes, in its order.
    pub processes: Vec<ProcessEvent>,
    /// Acknowledged departures.
    pub departures: Vec<Departure>,
    /// The highest version of a configuration that was acknowledged.
    pub acknowledged_version: u64,
    /// The version that was read back at the end; none if nobody gave one.
    pub last_version: Option<u64>,
}

/// The history of a run, and its clock.
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
    pub fn now(&self) -> At {
        self.began.elapsed()
    }

    /// Adds to the history.
    pub fn add(&self, add: impl FnOnce(&mut History)) {
        add(&mut self.history.lock());
    }

    /// Takes the history out at the end.
    pub fn take(&self) -> History {
        std::mem::take(&mut self.history.lock())
    }
}
