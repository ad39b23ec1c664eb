//! Startup, main loop and shutdown of a router.

use crate::shutdown::Phase;
use crate::{Router, fleet_view, pool, proxy};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::program::ProgramContext;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tokio::time::Instant;

/// Why a router failed to start.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum RouterError {
    /// the setting {0} is missing; a router needs it
    SettingMissing(&'static str),
    /// cannot listen on {0}: {1}
    Listen(std::net::SocketAddr, std::io::ErrorKind),
}

/// Runs a router until it is told to stop and has shut down.
///
/// # Errors
///
/// A required setting is missing, or a listening address cannot be bound. No task has been started then.
pub async fn run(start: ProgramContext) -> Result<(), RouterError> {
    let ProgramContext { settings, log, mut stop, mut reloaded_settings, metrics } = start;
    let front = settings.front_addr.ok_or(RouterError::SettingMissing("bindAddrs.frontHttp"))?;
    let probe =
        settings.readiness_addr.ok_or(RouterError::SettingMissing("bindAddrs.readiness"))?;
    let listen = |address| {
        fleet_core::link::listen(address)
            .map_err(|e: std::io::Error| RouterError::Listen(address, e.kind()))
    };
    let (front, probe) = (listen(front)?, listen(probe)?);
    let router = Router::assemble(settings, log.clone());
    let tasks = [
        tokio::spawn(proxy::readiness::run_readiness_server(router.clone(), probe)),
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
    let client_listener =
        tokio::spawn(proxy::client_listener::run_client_listener(router.clone(), front));
    fleet_core::log_event!(log, Event::Started, "incarnation" => router.node.incarnation);
    let mut counters_timer = tokio::time::interval(constants::COUNTERS_INTERVAL);
    counters_timer.tick().await;
    loop {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => break,
            Some(new_settings) = reloaded_settings.recv() => *router.settings.write() = Arc::new(new_settings),
            _ = counters_timer.tick() => router.log_counters(),
        }
    }
    fleet_core::log_event!(log, Event::Stopping);
    shut_down(&router, client_listener).await;
    fleet_core::log_event!(log, Event::DrainEnded,
        "cut" => router.in_flight.total(), "cut_new" => router.in_flight.accepted_during_shutdown(),
        "answered" => router.counters.failed_at_end.load(Ordering::Relaxed));
    router.log_counters();
    for task in tasks {
        task.abort();
    }
    Ok(())
}

/// Shuts down in phases: reports unready at once and keeps serving until the platform's probes have noticed, then
/// closes connections as their requests complete, and finally has the router answer the requests that are still
/// pending.
async fn shut_down(router: &Arc<Router>, client_listener: tokio::task::JoinHandle<()>) {
    let started_at = Instant::now();
    let grace = router.settings().bounds.grace;
    let exit_deadline = started_at + grace.saturating_sub(constants::GRACE_MARGIN);
    let terminating_at = started_at + grace.saturating_sub(constants::SHUTDOWN_RESPONSE_MARGIN);
    router.shutdown.begin(exit_deadline);
    tokio::time::sleep_until(terminating_at.min(started_at + constants::PROBE_FAILURE_DELAY)).await;
    client_listener.abort();
    router.shutdown.advance(Phase::Closing);
    wait_for_connections(router, terminating_at).await;
    router.shutdown.advance(Phase::Terminating);
    wait_for_connections(router, exit_deadline).await;
}

/// Waits until no client connection is open, but no longer than `deadline`.
async fn wait_for_connections(router: &Router, deadline: Instant) {
    while router.open_connections.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        tokio::time::sleep(constants::DRAIN_POLL_INTERVAL).await;
    }
}
