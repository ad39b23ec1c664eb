//! The data plane: the library that the `router` program runs.
//!
//! A router takes requests of clients, chooses an engine for each, relays the response, and retries where that is
//! allowed. It decides by what controllers sent it and what its own requests showed; it asks nobody on the way of a request.
//!
//! Read the modules in this order:
//!
//! 1. [`proxy`]: the way of a request, from the client's connection to the last byte of the response
//! 2. [`load_balancer`]: which engine a request goes to
//! 3. [`pool`]: connections to engines, and what is known of each engine
//! 4. [`retry_budget`]: how many requests may go to a second engine
//! 5. [`fleet_view`]: what controllers send, and the configuration in force
//! 6. [`runtime`]: start and end; [`shutdown`]: the phases of the end; [`counters`] and `metrics`: what it shows of itself

// A process that carries traffic does not panic for a value that is not there; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod counters;
pub mod fleet_view;
pub mod load_balancer;
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

/// All state of a router.
///
/// Lock order: routing table, engines, one engine's work, inbox of invalidations, prompt index; never two engines.
pub struct Router {
    /// Who this process is.
    pub node: fleet_core::node::Node,
    /// The root logger.
    pub log: slog::Logger,
    settings: parking_lot::RwLock<Arc<fleet_core::settings::Settings>>,
    /// What is known of the fleet.
    pub fleet_view: fleet_view::FleetView,
    /// Budgets of retries, by service.
    pub budgets: retry_budget::Budgets,
    /// How long engines keep idle connections.
    pub idle_timeouts: pool::idle_timeout::IdleTimeouts,
    /// Counters.
    pub counters: Counters,
    /// When it was assembled.
    pub started: tokio::time::Instant,
    /// The readiness that was logged last.
    ready: AtomicBool,
    /// How far its end has come.
    pub shutdown: shutdown::Shutdown,
    /// How long responses take.
    pub stream_paces: proxy::stream_pace::StreamPaces,
    /// Open connections of clients.
    pub open: AtomicUsize,
    /// Requests accepted and not yet answered completely.
    pub in_flight: Arc<proxy::in_flight::InFlight>,
    random: RandomSource,
}

impl Router {
    /// A router that as yet listens nowhere and sees nothing.
    pub fn assemble(settings: fleet_core::settings::Settings, log: slog::Logger) -> Arc<Router> {
        let node = fleet_core::node::Node::start(&settings, fleet_core::node::Role::Router);
        Arc::new(Router {
            random: RandomSource::seeded(node.incarnation),
            fleet_view: fleet_view::FleetView::new(),
            budgets: retry_budget::Budgets::default(),
            idle_timeouts: pool::idle_timeout::IdleTimeouts::default(),
            counters: Counters::default(),
            started: tokio::time::Instant::now(),
            ready: AtomicBool::new(false),
            shutdown: shutdown::Shutdown::default(),
            stream_paces: proxy::stream_pace::StreamPaces::default(),
            open: AtomicUsize::new(0),
            in_flight: Arc::default(),
            settings: parking_lot::RwLock::new(Arc::new(settings)),
            node,
            log,
        })
    }

    /// The settings in force.
    pub fn settings(&self) -> Arc<fleet_core::settings::Settings> {
        self.settings.read().clone()
    }

    /// A random number; not for secrets.
    pub fn random(&self) -> u64 {
        self.random.next()
    }

    /// Whether this router was asked to end.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.phase() > Phase::Serving
    }

    /// Whether a request that puts out so many tokens is expected to be complete before this router ends. True while
    /// it is not known when that is, or how long responses take, unless the router closes its connections already.
    pub fn can_finish(&self, service: &str, tokens: u64) -> bool {
        let Some(ends_at) = self.shutdown.ends_at() else { return true };
        let expected = self.stream_paces.expected(service, tokens).unwrap_or_default();
        self.shutdown.phase() < Phase::Closing && tokio::time::Instant::now() + expected <= ends_at
    }

    /// Whether clients may come: a configuration is in force, and the router is not shutting down.
    pub fn is_ready(&self) -> bool {
        let now = !self.is_shutting_down() && self.fleet_view.routing_table().is_some();
        if self.ready.swap(now, Ordering::Relaxed) != now {
            fleet_core::log_event!(self.log, if now { Event::Ready } else { Event::Unready });
        }
        now
    }
}
