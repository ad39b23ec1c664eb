//! Numbered log events; their catalogue is docs/events.md. CONTRIBUTING.md tells how to add one.

use slog::Drain;

macro_rules! events {
    ($($name:ident = $no:literal, $level:ident, $text:literal;)*) => {
        /// What a log line tells; its value is the number in the catalogue.
        #[derive(Debug, Clone, Copy, PartialEq, Eq)]
        pub enum Event { $(#[doc = $text] $name = $no,)* }
        impl Event {
            /// All events.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// The text of its lines.
            pub fn text(self) -> &'static str { match self { $(Event::$name => $text,)* } }

            /// The level of its lines.
            pub fn level(self) -> slog::Level { match self { $(Event::$name => slog::Level::$level,)* } }
        }
    };
}

events! {
    Started = 100, Info, "started";
    Stopping = 101, Info, "stopping";
    Stopped = 102, Info, "stopped";
    SettingsReread = 103, Info, "settings read again";
    SettingsRejected = 104, Warning, "settings not usable, the former stay in force";
    Counters = 105, Info, "counters";
    ListenError = 106, Error, "cannot listen";
    DiskOpened = 200, Info, "disk opened";
    DiskEmpty = 201, Warning, "disk is empty, reading from the other members before voting";
    DiskError = 202, Warning, "disk does not take writes";
    DiskMended = 203, Info, "disk takes writes again";
    SlotDamaged = 204, Warning, "a slot is damaged";
    Voting = 205, Info, "this member votes";
    DiskAbsent = 206, Info, "no disk: serves without a vote";
    OwnerTaken = 210, Info, "took over a key";
    OwnerLost = 211, Info, "gave a key away";
    ConfigTaken = 220, Info, "configuration committed";
    ConfigRejected = 221, Info, "configuration refused";
    VersionNamed = 222, Info, "weights named";
    MembershipMoved = 230, Info, "membership moved";
    Joining = 231, Info, "asking to join";
    ContactGained = 232, Info, "in contact with a majority";
    ContactLost = 233, Warning, "out of contact with a majority";
    DutyTaken = 240, Info, "duty lease acquired";
    DutyLeft = 241, Info, "duty lease ended";
    RollOrdered = 250, Info, "engine ordered to new weights";
    RollDone = 251, Info, "engine has new weights";
    RollError = 252, Warning, "order not carried out";
    EngineNew = 260, Info, "engine known";
    EngineDraining = 261, Info, "engine draining";
    EngineGone = 262, Info, "engine gone";
    EngineSilent = 263, Warning, "engine silent";
    PeerRejected = 270, Warning, "message of a peer dropped";
    RingStarted = 280, Info, "ring of invalidations started";
    HolderReset = 281, Info, "coverage of a holder dropped";
    ReaderReset = 282, Info, "reader of the ring reset";
    LinkUp = 300, Debug, "link to a controller up";
    LinkDown = 301, Info, "link to a controller down";
    Ready = 310, Info, "ready";
    Unready = 311, Info, "not ready";
    ConfigInForce = 320, Info, "configuration in force";
    EngineError = 330, Info, "engine broke a connection";
    AnswerSpoilt = 331, Info, "answer not passed on";
    EngineTakenIn = 333, Info, "new engine has warmed up";
    PassError = 332, Info, "request not answered by an engine";
}

/// The logger of a process, to standard error; each line names the node and the role.
pub fn root(level: slog::Level, node: &str, role: &str) -> slog::Logger {
    let plain = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(plain).use_original_order().build().fuse();
    let drain = slog::LevelFilter::new(drain, level).fuse();
    slog::Logger::root(drain, slog::o!("node" => node.to_owned(), "role" => role.to_owned()))
}

/// Logs an [`Event`](crate::log::Event) at its level, with its number as `no` and the given values.
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
