//! The traffic plane: what the router program is made of.

pub mod budget;
pub mod fleet_view;
pub mod place;
pub mod pool;
pub mod serve;

use fleet_core::constants;
use fleet_core::log::Event;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RouterError {
    /// {0}: not in the settings, which a router needs
    ParamMissing(&'static str),
    /// cannot listen at {0}: {1}
    Listen(std::net::SocketAddr, std::io::ErrorKind),
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
/// Counted in memory, written out now and then.
#[derive(Default)]
pub struct Counters {
    pub taken: AtomicU64,
    pub begun: AtomicU64,
    pub refused: AtomicU64,
    pub failed: AtomicU64,
    pub resumed: AtomicU64,
    pub again: AtomicU64,
    pub connections: AtomicU64,
    pub parts_held: AtomicU64,
    pub parts_missing: AtomicU64,
    /// sends with a source that is known to keep what is missing, with a guessed one, with a sink
    pub moves: AtomicU64,
    pub guesses: AtomicU64,
    pub sinks: AtomicU64,
    /// sends whose prompt a store is known to keep some of
    pub stored: AtomicU64,
    pub shared_missing: AtomicU64,
    pub heavy_answers: AtomicU64,
    pub heavy_wait_us: AtomicU64,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
/// All state of a router. Lock order: table, engines, one engine's work, inbox, index; never two engines.
pub struct Router {
    pub node: fleet_core::node::Node,
    pub log: slog::Logger,
    settings: parking_lot::RwLock<Arc<fleet_core::settings::Settings>>,
    pub fleet_view: fleet_view::FleetView,
    pub budgets: budget::Budgets,
    /// how long engines keep idle connections
    pub idle_lives: pool::idle_life::IdleLives,
    pub counters: Counters,
    pub started: tokio::time::Instant,
    ready: AtomicBool,
    leaving: AtomicBool,
    pub open: AtomicUsize,
    closing: tokio::sync::watch::Sender<bool>,
    rng_state: AtomicU64,
}

#[expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]
impl Router {
    /// A router that as yet listens nowhere and sees nothing.
    pub fn assemble(settings: fleet_core::settings::Settings, log: slog::Logger) -> Arc<Router> {
        let node = fleet_core::node::Node::start(&settings, fleet_core::node::Role::Router);
        Arc::new(Router {
            rng_state: AtomicU64::new(node.incarnation),
            fleet_view: fleet_view::FleetView::new(),
            budgets: budget::Budgets::default(),
            idle_lives: pool::idle_life::IdleLives::default(),
            counters: Counters::default(),
            started: tokio::time::Instant::now(),
            ready: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            closing: tokio::sync::watch::channel(false).0,
            settings: parking_lot::RwLock::new(Arc::new(settings)),
            node,
            log,
        })
    }

    pub fn settings(&self) -> Arc<fleet_core::settings::Settings> {
        self.settings.read().clone()
    }

    pub fn rng_state(&self) -> u64 {
        let x = self.rng_state.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
        fleet_core::node::stable_hash(&[&x.to_le_bytes()])
    }

    pub fn is_ready(&self) -> bool {
        let now = !self.leaving.load(Ordering::Relaxed) && self.fleet_view.table().is_some();
        if self.ready.swap(now, Ordering::Relaxed) != now {
            fleet_core::log_event!(self.log, if now { Event::Ready } else { Event::Unready });
        }
        now
    }

    fn count_out(&self) {
        let c = &self.counters;
        let get = |a: &AtomicU64| a.load(Ordering::Relaxed);
        fleet_core::log_event!(self.log, Event::Counters,
            "taken" => get(&c.taken), "begun" => get(&c.begun), "refused" => get(&c.refused),
            "failed" => get(&c.failed), "resumed" => get(&c.resumed), "again" => get(&c.again),
            "connections" => get(&c.connections), "parts_held" => get(&c.parts_held),
            "parts_missing" => get(&c.parts_missing), "moves" => get(&c.moves),
            "guesses" => get(&c.guesses), "sinks" => get(&c.sinks), "stored" => get(&c.stored),
            "shared_missing" => get(&c.shared_missing), "index" => self.fleet_view.prefix_view.look().entries());
    }
}

/// Runs a router until it is told to stop.
pub async fn run(
    settings: fleet_core::settings::Settings,
    log: slog::Logger,
    mut stop: tokio::sync::watch::Receiver<bool>,
    mut reread: tokio::sync::mpsc::Receiver<fleet_core::settings::Settings>,
) -> Result<(), RouterError> {
    let front = settings.front.ok_or(RouterError::ParamMissing("bindAddrs.frontHttp"))?;
    let probe = settings.readiness.ok_or(RouterError::ParamMissing("bindAddrs.readiness"))?;
    let listen = |a| {
        fleet_core::link::listen(a).map_err(|e: std::io::Error| RouterError::Listen(a, e.kind()))
    };
    let (front, probe) = (listen(front)?, listen(probe)?);
    let d = Router::assemble(settings, log.clone());
    let tasks = [
        tokio::spawn(serve::probes(d.clone(), probe)),
        tokio::spawn(fleet_view::links::watching(d.clone())),
        tokio::spawn(fleet_view::config_fetch::fetching(d.clone())),
        tokio::spawn(fleet_view::purge::reading(d.clone())),
        tokio::spawn(fleet_view::purge::telling(d.clone())),
        tokio::spawn(fleet_view::loads::telling(d.clone())),
        tokio::spawn(fleet_view::purge::scrubbing(d.clone())),
        tokio::spawn(pool::sweeping(d.clone())),
    ];
    let accepting = tokio::spawn(serve::accepting(d.clone(), front));
    fleet_core::log_event!(log, Event::Started, "incarnation" => d.node.incarnation);
    let mut counted = tokio::time::interval(constants::COUNTERS_PAUSE);
    counted.tick().await;
    loop {
        tokio::select! {
            _ = stop.wait_for(|s| *s) => break,
            Some(p) = reread.recv() => *d.settings.write() = Arc::new(p),
            _ = counted.tick() => d.count_out(),
        }
    }
    fleet_core::log_event!(log, Event::Stopping);
    leave(&d, accepting).await;
    d.count_out();
    for t in tasks {
        t.abort();
    }
    Ok(())
}

/// Unready at once, serving until the platform has noticed, then only what runs.
async fn leave(d: &Arc<Router>, accepting: tokio::task::JoinHandle<()>) {
    let end = tokio::time::Instant::now()
        + d.settings().bounds.grace.saturating_sub(constants::GRACE_MARGIN);
    d.leaving.store(true, Ordering::Relaxed);
    tokio::time::sleep(constants::PROBES_MISSED).await;
    accepting.abort();
    d.closing.send_replace(true);
    while d.open.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < end {
        tokio::time::sleep(constants::ROLL_TICK).await;
    }
}
