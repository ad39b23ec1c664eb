//! A router's life: how it starts, and how it ends.

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
        "cut" => router.in_flight.all(), "cut_new" => router.in_flight.accepted_late());
    router.log_counters();
    for task in tasks {
        task.abort();
    }
    Ok(())
}

/// Unready at once, serving until the platform has noticed, then only what runs.
async fn leave(router: &Arc<Router>, accepting: tokio::task::JoinHandle<()>) {
    let end =
        Instant::now() + router.settings().bounds.grace.saturating_sub(constants::GRACE_MARGIN);
    router.begin_shutdown(end);
    tokio::time::sleep(constants::PROBES_MISSED).await;
    accepting.abort();
    router.closing.send_replace(true);
    while router.open.load(Ordering::Relaxed) > 0 && Instant::now() < end {
        tokio::time::sleep(constants::ROLLOUT_INTERVAL).await;
    }
}
