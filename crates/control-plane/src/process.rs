//! Process-wide context that all components of a controller share.
//!
//! It is built once, before any component, and holds none of the replicated state: only the identity of the process,
//! its log, the current settings, the random number generator, and the shutdown signal.

use fleet_core::byte_budget::ByteBudget;
use fleet_core::constants;
use fleet_core::node::Node;
use fleet_core::random::RandomSource;
use fleet_core::settings::Settings;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// One run of a controller process.
pub struct Process {
    /// Identity of this node.
    pub node: Node,
    /// Destination of log events.
    pub log: slog::Logger,
    /// Start time of the process.
    pub started: Instant,
    /// Covers the bodies of responses that this controller is receiving, beyond
    /// [`constants::SMALL_RESPONSE_BYTES`] each.
    pub response_budget: Arc<ByteBudget>,
    /// Covers the bodies of calls of engines and operators, beyond [`constants::HEARTBEAT_MAX_BYTES`] each.
    pub call_body_budget: Arc<ByteBudget>,
    /// Covers configurations on their way to callers that read slowly.
    pub answer_budget: Arc<ByteBudget>,
    settings: parking_lot::RwLock<Arc<Settings>>,
    random: RandomSource,
    shutting_down: watch::Sender<bool>,
}

impl Process {
    /// Creates the context of a process that has just started. The node's incarnation seeds its random numbers.
    pub fn new(node: Node, settings: Settings, log: slog::Logger) -> Process {
        Process {
            random: RandomSource::seeded(node.incarnation),
            node,
            log,
            started: Instant::now(),
            response_budget: ByteBudget::new(constants::RESPONSES_BUDGET_BYTES),
            answer_budget: ByteBudget::new(constants::ANSWERS_BUDGET_BYTES),
            call_body_budget: ByteBudget::new(constants::CALL_BODIES_BUDGET_BYTES),
            settings: parking_lot::RwLock::new(Arc::new(settings)),
            shutting_down: watch::channel(false).0,
        }
    }

    /// The current settings; they may be replaced while the process runs.
    pub fn settings(&self) -> Arc<Settings> {
        self.settings.read().clone()
    }

    /// Replaces the settings.
    pub fn reconfigure(&self, settings: Settings) {
        *self.settings.write() = Arc::new(settings);
    }

    /// The next pseudo-random number.
    pub fn random(&self) -> u64 {
        self.random.next()
    }

    /// A pseudo-random number below `bound`.
    pub fn random_below(&self, bound: u64) -> u64 {
        self.random.below(bound)
    }

    /// A random delay before a retry, from 1 to `max_ms` milliseconds.
    pub fn random_backoff(&self, max_ms: u64) -> Duration {
        Duration::from_millis(1 + self.random_below(max_ms))
    }

    /// Whether shutdown of the process has begun.
    pub fn is_shutting_down(&self) -> bool {
        *self.shutting_down.borrow()
    }

    /// A receiver whose value becomes true when shutdown begins.
    pub fn shutdown_signal(&self) -> watch::Receiver<bool> {
        self.shutting_down.subscribe()
    }

    /// Signals all components that the process is shutting down.
    pub fn begin_shutdown(&self) {
        self.shutting_down.send_replace(true);
    }
}
