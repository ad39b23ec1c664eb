//! A router's life: how it starts, and how it ends.

use crate::shutdown::Phase;
use crate::{Router, fleet_view, pool, proxy};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::program::Start;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// Why a router cannot run.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RouterError {
    /// {0}: not in the settings, which a router needs
    ParamMissing(&'static str),
    /// cannot listen at {0}: {1}
    Listen(std::net::SocketAddr, std::io::ErrorKind),
}

/// Runs a router until it is stopped.
///
/// # Errors
///
/// A setting is missing, or a port can't be listened at. Nothing runs then.
pub async fn run(start: Start) -> Result<(), RouterError> {
    let Start { settings, log, mut stop, mut reread, metrics } = start;
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
        "cut" => router.in_flight.all(), "cut_new" => router.in_flight.accepted_late(),
        "answered" => router.counters.failed_at_end.load(Ordering::Relaxed));
    router.log_counters();
    for task in tasks {
        task.abort();
    }
    Ok(())
}

/// Unready at once, serving until the platform has noticed, then only what runs, and at last answers to what still waits.
async fn leave(router: &Arc<Router>, accepting: tokio::task::JoinHandle<()>) {
    let begun = Instant::now();
    let grace = router.settings().bounds.grace;
    let end = begun + grace.saturating_sub(constants::GRACE_MARGIN);
    let answers_due = begun + grace.saturating_sub(constants::ANSWERS_DUE_MARGIN);
    router.shutdown.begin(end);
    tokio::time::sleep_until(answers_due.min(begun + constants::PROBES_MISSED)).await;
    accepting.abort();
    router.shutdown.advance(Phase::Closing);
    wait_for_connections(router, answers_due).await;
    router.shutdown.advance(Phase::Answering);
    wait_for_connections(router, end).await;
}

/// Returns once no client has a connection, at this moment at the latest.
async fn wait_for_connections(router: &Router, until: Instant) {
    while router.open.load(Ordering::Relaxed) > 0 && Instant::now() < until {
        tokio::time::sleep(constants::DRAIN_POLL_INTERVAL).await;
    }
}
