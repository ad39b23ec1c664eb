//! Numbered log events. Their catalogue is docs/events.md; CONTRIBUTING.md describes how to add one.

use slog::Drain;

macro_rules! events {
    ($($name:ident = $no:literal, $level:ident, $text:literal;)*) => {
        /// Log events; the value is the number in the catalogue.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event { $(#[doc = $text] $name = $no,)* }
        impl Event {
            /// All events, in the order of their definition.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Message text of the event.
            pub fn text(self) -> &'static str { match self { $(Event::$name => $text,)* } }

            /// Log level of the event.
            pub fn level(self) -> slog::Level { match self { $(Event::$name => slog::Level::$level,)* } }
        }
    };
}

events! {
    Started = 100, Info, "started";
    Stopping = 101, Info, "stopping";
    Stopped = 102, Info, "stopped";
    SettingsReloaded = 103, Info, "settings reloaded";
    SettingsRejected = 104, Warning, "settings rejected, the previous ones stay in force";
    Counters = 105, Info, "counters";
    ListenError = 106, Error, "cannot listen";
    MetricsUnavailable = 107, Warning, "metrics cannot be served";
    DiskOpened = 200, Info, "disk opened";
    DiskEmpty = 201, Warning, "empty disk: recovering state from the other voters";
    DiskError = 202, Warning, "disk write failed or hangs";
    DiskRecovered = 203, Info, "disk writes succeed again";
    SlotDamaged = 204, Warning, "state slot corrupt";
    Voting = 205, Info, "voting: state is complete";
    DiskAbsent = 206, Info, "no disk: non-voting";
    KeyOwnershipAcquired = 210, Info, "key ownership acquired";
    KeyOwnershipReleased = 211, Info, "key ownership released";
    ConfigCommitted = 220, Info, "configuration committed";
    ConfigRejected = 221, Info, "configuration rejected";
    TargetVersionSet = 222, Info, "target weights set";
    MembershipChanged = 230, Info, "membership changed";
    Joining = 231, Info, "requesting membership";
    ContactGained = 232, Info, "quorum contact gained";
    ContactLost = 233, Warning, "quorum contact lost";
    LeaseAcquired = 240, Info, "lease acquired";
    LeaseReleased = 241, Info, "lease released";
    WeightUpdateOrdered = 250, Info, "weight update ordered";
    WeightUpdateCompleted = 251, Info, "weight update completed";
    WeightUpdateFailed = 252, Warning, "weight update failed";
    EngineNew = 260, Info, "engine registered or updated";
    EngineDraining = 261, Info, "engine draining";
    EngineDeregistered = 262, Info, "engine deregistered";
    EngineHeartbeatMissed = 263, Warning, "engine heartbeat missed";
    PeerRejected = 270, Warning, "peer message rejected";
    RingStarted = 280, Info, "invalidation ring started";
    HolderReset = 281, Info, "cached prefixes of a holder reset";
    ReaderReset = 282, Info, "invalidation reader reset";
    RelayStarted = 283, Info, "invalidation ring relayed";
    RelayStopped = 284, Info, "invalidation ring relayed no longer";
    LinkUp = 300, Debug, "link to controller up";
    LinkDown = 301, Info, "link to controller down";
    Ready = 310, Info, "ready";
    Unready = 311, Info, "not ready";
    DrainEnded = 312, Info, "drain ended";
    ConfigInForce = 320, Info, "configuration in force";
    TargetVersionLearned = 321, Info, "target weights learned";
    EngineError = 330, Info, "connection to engine failed";
    ResponseRejected = 331, Info, "response rejected";
    EngineWarmedUp = 333, Info, "engine warmed up";
    DispatchFailed = 332, Info, "request failed after dispatch";
}

/// Creates the root logger of a process, which writes to standard error and adds the node and the role to each line.
pub fn root(level: slog::Level, node: &str, role: &str) -> slog::Logger {
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_original_order().build().fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    slog::Logger::root(drain, slog::o!("node" => node.to_owned(), "role" => role.to_owned()))
}

/// Logs an [`Event`](crate::log::Event) at its level, with its number as `no` and the given key-value pairs.
///
/// `log_event!(log, Event::Ready, "version" => 3)`
#[macro_export]
macro_rules! log_event {
    ($log:expr, $event:expr $(, $k:literal => $v:expr)* $(,)?) => {{
        let e: $crate::log::Event = $event;
        match e.level() {
            slog::Level::Error | slog::Level::Critical =>
                slog::error!($log, "{}", e.text(); "no" => e as u32 $(, $k => $v)*),
            slog::Level::Warning =>
                slog::warn!($log, "{}", e.text(); "no" => e as u32 $(, $k => $v)*),
            slog::Level::Info =>
                slog::info!($log, "{}", e.text(); "no" => e as u32 $(, $k => $v)*),
            _ => slog::debug!($log, "{}", e.text(); "no" => e as u32 $(, $k => $v)*),
        }
    }};
}

#[cfg(test)]
#[path = "log_tests.rs"]
mod tests;
