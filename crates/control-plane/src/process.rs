//! What every part of a controller knows of the process that it runs in.
//!
//! It is built once, before any part, and holds nothing that they decide on together: who the process is,
//! where it logs, the settings in force, random numbers, and whether the process is to end.

use fleet_core::node::Node;
use fleet_core::random::RandomSource;
use fleet_core::settings::Settings;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// One run of a controller's process.
pub struct Process {
    /// Who it is.
    pub node: Node,
    /// Where its events go.
    pub log: slog::Logger,
    /// When it started.
    pub started: Instant,
    settings: parking_lot::RwLock<Arc<Settings>>,
    random: RandomSource,
    shutting_down: watch::Sender<bool>,
}

impl Process {
    /// A process that has just started. Its random numbers follow from its incarnation.
    pub fn new(node: Node, settings: Settings, log: slog::Logger) -> Process {
        Process {
            random: RandomSource::seeded(node.incarnation),
            node,
            log,
            started: Instant::now(),
            settings: parking_lot::RwLock::new(Arc::new(settings)),
            shutting_down: watch::channel(false).0,
        }
    }

    /// The settings in force; they may be read again while the process runs.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.read().clone()
    }

    /// Puts other settings in force.
    pub fn reconfigure(&self, settings: Settings) {
        *self.settings.write() = Arc::new(settings);
    }

    /// The next pseudo-random number.
    pub fn random(&self) -> u64 {
        self.random.next()
    }

    /// A pseudo-random number below a bound.
    pub fn random_below(&self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// A random pause of up to so many ms, never none, before something is tried again.
    pub fn random_backoff(&self, most_ms: u64) -> Duration {
        Duration::from_millis(1 + self.random_below(most_ms))
    }

    /// Whether the process was asked to end.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    /// Turns true when the process is asked to end.
    pub fn shutdown_signal(&self) -> watch::Receiver<bool> {
        self.shutting_down.subscribe()
    }

    /// Tells all parts that the process is to end.
    pub fn begin_shutdown(&self) {
        self.shutting_down.send_replace(true);
    }
}
