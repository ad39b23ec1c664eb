//! The data plane: the library that the `router` program runs.
//!
//! A router accepts client requests, chooses an engine for each, relays the response, and retries where that is
//! allowed. Routing decisions use only what controllers have sent and what the router's own requests have shown; no
//! other process is queried while a request is handled.
//!
//! Read the modules in this order:
//!
//! 1. [`proxy`]: the path of a request, from the client's connection to the last byte of the response
//! 2. [`load_balancer`]: which engine a request goes to
//! 3. [`pool`]: connections to engines, and the state that is kept for each engine
//! 4. [`retry_budget`]: limits how many requests may be sent to a second engine
//! 5. [`fleet_view`]: what controllers send, and the configuration in force
//! 6. [`runtime`]: startup and shutdown; [`shutdown`]: the phases of a shutdown; [`memory`]: budgets of the bytes
//!    that are kept; [`counters`] and `metrics`: what the router reports about itself

// A process that carries traffic must not panic on a missing value; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod counters;
pub mod fleet_view;
pub mod load_balancer;
pub mod memory;
mod metrics;
pub mod pool;
pub mod proxy;
pub mod retry_budget;
pub mod runtime;
pub mod shutdown;

pub use counters::Counters;
pub use runtime::{RouterError, run};

use fleet_core::log::Event;
use fleet_core::random::RandomSource;
use shutdown::Phase;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// The complete state of a router.
///
/// Lock order: routing table, engine map, the `EngineActivity` of one engine, queue of invalidations, prompt index.
/// Locks of two engines are never held together.
pub struct Router {
    /// Identity of this process: role, address, zone and incarnation.
    pub node: fleet_core::node::Node,
    /// The root logger.
    pub log: slog::Logger,
    settings: parking_lot::RwLock<Arc<fleet_core::settings::Settings>>,
    /// Configuration, engines and routers as last reported by the controllers.
    pub fleet_view: fleet_view::FleetView,
    /// Retry budgets by service.
    pub budgets: retry_budget::Budgets,
    /// Estimates of how long engines keep idle connections, by service.
    pub idle_timeouts: pool::idle_timeout::IdleTimeouts,
    /// Budgets of the received bytes that are kept.
    pub memory: memory::MemoryBudgets,
    /// Event counts that are logged and exported as metrics.
    pub counters: Counters,
    /// When this state was created.
    pub started: tokio::time::Instant,
    /// The readiness that was last written to the log.
    logged_ready: AtomicBool,
    /// The shutdown phase.
    pub shutdown: shutdown::Shutdown,
    /// Mean response time per output token, by service.
    pub response_times: proxy::response_time::ResponseTimes,
    /// Number of open client connections.
    pub open_connections: AtomicUsize,
    /// Requests accepted whose response is not yet complete.
    pub in_flight: Arc<proxy::in_flight::InFlight>,
    /// One permit for each request that may be in flight.
    pub request_permits: Arc<tokio::sync::Semaphore>,
    /// Held for each part of a large body that is relayed, so that such bodies take turns.
    pub bulk_turn: tokio::sync::Semaphore,
    random: RandomSource,
}

impl Router {
    /// Creates a router that does not listen on any address and knows nothing of the fleet yet.
    pub fn assemble(settings: fleet_core::settings::Settings, log: slog::Logger) -> Arc<Router> {
        let node = fleet_core::node::Node::start(&settings, fleet_core::node::Role::Router);
        Arc::new(Router {
            random: RandomSource::seeded(node.incarnation),
            fleet_view: fleet_view::FleetView::new(),
            budgets: retry_budget::Budgets::default(),
            idle_timeouts: pool::idle_timeout::IdleTimeouts::default(),
            memory: memory::MemoryBudgets::default(),
            counters: Counters::default(),
            started: tokio::time::Instant::now(),
            logged_ready: AtomicBool::new(false),
            shutdown: shutdown::Shutdown::default(),
            response_times: proxy::response_time::ResponseTimes::default(),
            open_connections: AtomicUsize::new(0),
            in_flight: Arc::default(),
            request_permits: Arc::new(tokio::sync::Semaphore::new(
                fleet_core::constants::MAX_REQUESTS_IN_FLIGHT,
            )),
            bulk_turn: tokio::sync::Semaphore::new(1),
            settings: parking_lot::RwLock::new(Arc::new(settings)),
            node,
            log,
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<fleet_core::settings::Settings> {
        self.settings.read().clone()
    }

    /// A random number; not suitable for cryptography.
    pub fn random(&self) -> u64 {
        self.random.next()
    }

    /// Whether shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.phase() > Phase::Serving
    }

    /// Whether a request with this many output tokens is expected to complete before this router exits. Also true
    /// while no shutdown has begun or no response time is known; false once the router closes its connections.
    pub fn can_complete(&self, service: &str, output_tokens: u64) -> bool {
        let Some(ends_at) = self.shutdown.ends_at() else { return true };
        let expected = self.response_times.estimate(service, output_tokens).unwrap_or_default();
        self.shutdown.phase() < Phase::Closing && tokio::time::Instant::now() + expected <= ends_at
    }

    /// Whether the router can serve clients: a configuration is in force and shutdown has not begun. Logs each
    /// change.
    pub fn is_ready(&self) -> bool {
        let now = !self.is_shutting_down() && self.fleet_view.routing_table().is_some();
        if self.logged_ready.swap(now, Ordering::Relaxed) != now {
            fleet_core::log_event!(self.log, if now { Event::Ready } else { Event::Unready });
        }
        now
    }
}
