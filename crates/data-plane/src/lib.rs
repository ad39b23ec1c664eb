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

// A process that carries traffic does not panic for a value that is not there; tests may.
#![cfg_attr(not(test), warn(clippy::unwrap_used, clippy::expect_used, clippy::print_stdout))]

pub mod fleet_view;
pub mod load_balancer;
mod metrics;
pub mod pool;
pub mod proxy;
pub mod retry_budget;

use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::random::RandomSource;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// Why a router cannot run.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RouterError {
    /// {0}: not in the settings, which a router needs
    ParamMissing(&'static str),
    /// cannot listen at {0}: {1}
    Listen(std::net::SocketAddr, std::io::ErrorKind),
}

/// Counted in memory, written out every `COUNTERS_INTERVAL` (event 105); all since the start.
#[derive(Default)]
pub struct Counters {
    /// Requests with a route and a service.
    pub requests: AtomicU64,
    /// Answers of engines that have begun.
    pub responses: AtomicU64,
    /// Requests rejected unsent.
    pub rejected: AtomicU64,
    /// Requests that came after SIGTERM and would not have been complete before this router ends.
    pub rejected_at_end: AtomicU64,
    /// Requests that were sent and got no answer of an engine.
    pub failed: AtomicU64,
    /// Dispatches to engines with older weights than the target.
    pub outdated_dispatches: AtomicU64,
    /// Dispatches to engines with older weights that were taken back before the bound.
    pub version_cutoffs: AtomicU64,
    /// Dispatches that an engine rejected with 421.
    pub version_mismatches: AtomicU64,
    /// Responses that an engine broke off.
    pub broken: AtomicU64,
    /// Responses cut at their deadline.
    pub past_deadline: AtomicU64,
    /// Responses that the client left.
    pub abandoned: AtomicU64,
    /// Controllers that were lost.
    pub controllers_lost: AtomicU64,
    /// Streams that went on at another engine.
    pub resumed: AtomicU64,
    /// Retries.
    pub retries: AtomicU64,
    /// New connections to engines.
    pub connections: AtomicU64,
    /// Sends on an idle connection that was reset: the engine had perhaps closed it already.
    pub idle_resets: AtomicU64,
    /// Tokens of prompts that the chosen engine was known to have cached.
    pub cached_tokens: AtomicU64,
    /// Tokens of prompts that it was not known to have cached.
    pub missing_tokens: AtomicU64,
    /// Sends with a source that is known to have cached what is missing.
    pub transfers: AtomicU64,
    /// Sends with a source that is only guessed.
    pub guesses: AtomicU64,
    /// Sends with a sink.
    pub sinks: AtomicU64,
    /// Sends whose prompt a store is known to have some of.
    pub stored: AtomicU64,
    /// Tokens of shared parts that were missing and had no known source.
    pub shared_missing: AtomicU64,
    /// Responses to requests that need much prefill.
    pub prefill_heavy_answers: AtomicU64,
    /// Their waits for a first event, added up, in microseconds.
    pub prefill_heavy_wait_us: AtomicU64,
}

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
    shutting_down: AtomicBool,
    /// When the process ends; set once it is asked to.
    ends_at: std::sync::OnceLock<tokio::time::Instant>,
    /// How long responses take.
    pub stream_paces: proxy::stream_pace::StreamPaces,
    /// Open connections of clients.
    pub open: AtomicUsize,
    /// Requests accepted and not yet answered completely.
    pub in_flight: Arc<proxy::in_flight::InFlight>,
    closing: tokio::sync::watch::Sender<bool>,
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
            shutting_down: AtomicBool::new(false),
            ends_at: std::sync::OnceLock::new(),
            stream_paces: proxy::stream_pace::StreamPaces::default(),
            open: AtomicUsize::new(0),
            in_flight: Arc::default(),
            closing: tokio::sync::watch::channel(false).0,
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
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Asks this router to end: it is unready from now on, and ends at this moment at the latest.
    pub fn begin_shutdown(&self, ends_at: tokio::time::Instant) {
        let _ = self.ends_at.set(ends_at);
        self.shutting_down.store(true, Ordering::Relaxed);
    }

    /// Whether a request that puts out so many tokens is expected to be complete before this router ends. True while
    /// it is not known when that is, or how long responses take.
    pub fn can_finish(&self, service: &str, tokens: u64) -> bool {
        let Some(ends_at) = self.ends_at.get() else { return true };
        let expected = self.stream_paces.expected(service, tokens).unwrap_or_default();
        tokio::time::Instant::now() + expected <= *ends_at
    }

    /// Whether clients may come: a configuration is in force, and the router is not shutting down.
    pub fn is_ready(&self) -> bool {
        let now = !self.shutting_down.load(Ordering::Relaxed)
            && self.fleet_view.routing_table().is_some();
        if self.ready.swap(now, Ordering::Relaxed) != now {
            fleet_core::log_event!(self.log, if now { Event::Ready } else { Event::Unready });
        }
        now
    }

    fn log_counters(&self) {
        let counters = &self.counters;
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        fleet_core::log_event!(self.log, Event::Counters,
            "taken" => get(&counters.requests), "begun" => get(&counters.responses), "refused" => get(&counters.rejected),
            "failed" => get(&counters.failed), "resumed" => get(&counters.resumed), "again" => get(&counters.retries),
            "connections" => get(&counters.connections), "forgotten" => get(&counters.idle_resets),
            "links_rejected" => self.fleet_view.links_rejected(),
            "parts_held" => get(&counters.cached_tokens),
            "parts_missing" => get(&counters.missing_tokens), "moves" => get(&counters.transfers),
            "guesses" => get(&counters.guesses), "sinks" => get(&counters.sinks), "stored" => get(&counters.stored),
            "shared_missing" => get(&counters.shared_missing), "index" => self.fleet_view.prefix_view.current_index().entries());
    }
}

/// Runs a router until it is stopped.
///
/// # Errors
///
/// A setting is missing, or a port can't be listened at. Nothing runs then.
pub async fn run(start: fleet_core::program::Start) -> Result<(), RouterError> {
    let fleet_core::program::Start { settings, log, mut stop, mut reread, metrics } = start;
    let front = settings.front.ok_or(RouterError::ParamMissing("bindAddrs.frontHttp"))?;
    let probe = settings.readiness.ok_or(RouterError::ParamMissing("bindAddrs.readiness"))?;
    let listen = |address| {
        fleet_core::link::listen(address)
            .map_err(|e: std::io::Error| RouterError::Listen(address, e.kind()))
    };
    let (front, probe) = (listen(front)?, listen(probe)?);
    let router = Router::assemble(settings, log.clone());
    let tasks = [
        tokio::spawn(proxy::run_readiness(router.clone(), probe)),
        tokio::spawn(fleet_view::links::run_link_maintenance(router.clone())),
        tokio::spawn(fleet_view::config_fetch::run_config_fetch(router.clone())),
        tokio::spawn(fleet_view::invalidations::run_invalidation_reader(router.clone())),
        tokio::spawn(fleet_view::invalidations::run_findings_reporter(router.clone())),
        tokio::spawn(fleet_view::load_reports::run_load_reporter(router.clone())),
        tokio::spawn(fleet_view::invalidations::run_index_scrubber(router.clone())),
        tokio::spawn(pool::run_idle_sweeper(router.clone())),
    ];
    if let Some(address) = metrics {
        tokio::spawn(telemetry::serve(address, log.clone(), router.clone()));
    }
    let accepting = tokio::spawn(proxy::run_client_listener(router.clone(), front));
    fleet_core::log_event!(log, Event::Started, "incarnation" => router.node.incarnation);
    let mut counted = tokio::time::interval(constants::COUNTERS_INTERVAL);
    counted.tick().await;
    loop {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            Some(newer) = reread.recv() => *router.settings.write() = Arc::new(newer),
            _ = counted.tick() => router.log_counters(),
        }
    }
    fleet_core::log_event!(log, Event::Stopping);
    leave(&router, accepting).await;
    fleet_core::log_event!(log, Event::DrainEnded,
        "cut" => router.in_flight.all(), "cut_new" => router.in_flight.accepted_late());
    router.log_counters();
    for task in tasks {
        task.abort();
    }
    Ok(())
}

/// Unready at once, serving until the platform has noticed, then only what runs.
async fn leave(router: &Arc<Router>, accepting: tokio::task::JoinHandle<()>) {
    let end = tokio::time::Instant::now()
        + router.settings().bounds.grace.saturating_sub(constants::GRACE_MARGIN);
    router.begin_shutdown(end);
    tokio::time::sleep(constants::PROBES_MISSED).await;
    accepting.abort();
    router.closing.send_replace(true);
    while router.open.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(constants::ROLLOUT_INTERVAL).await;
    }
}
