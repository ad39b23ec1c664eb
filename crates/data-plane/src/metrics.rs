//! Metrics of a router: its counters, and gauges of its state.

use crate::fleet_view::FleetView;
use crate::{Counters, Router};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use telemetry::{MetricsSource, MetricsWriter};

impl MetricsSource for Router {
    fn write(&self, writer: &mut MetricsWriter<'_>) -> fmt::Result {
        write_counters(&self.counters, writer)?;
        write_requests(self, writer)?;
        write_configuration(&self.fleet_view, writer)?;
        write_targets(&self.fleet_view, writer)?;
        write_engines(&self.fleet_view, writer)?;
        let links = &self.node.link_budgets;
        let places: [telemetry::Place<'_>; 4] = [
            ("request_bodies", &self.memory.request_bodies),
            ("partial_events", &self.memory.partial_events),
            ("received_frames", &links.received),
            ("queued_frames", &links.queued),
        ];
        telemetry::write_memory(&places, writer)
    }
}

fn write_counters(counters: &Counters, writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let rows: [(&str, &str, &AtomicU64); 18] = [
        ("requests", "Requests with a route and a service", &counters.requests),
        ("responses", "Responses of engines that have begun", &counters.responses),
        ("rejected", "Requests rejected before any engine ran them", &counters.rejected),
        (
            "rejected_at_end",
            "Requests rejected since this router ends before they could be complete",
            &counters.rejected_at_end,
        ),
        ("failed", "Requests that were dispatched and got no response", &counters.failed),
        (
            "failed_at_end",
            "Dispatched requests that had no response when this router had to end",
            &counters.failed_at_end,
        ),
        ("resumed", "Streams that went on at another engine", &counters.resumed),
        ("retries", "Retries", &counters.retries),
        ("engine_connections", "New connections to engines", &counters.engine_connections),
        ("idle_resets", "Dispatches on an idle connection that was reset", &counters.idle_resets),
        (
            "outdated_dispatches",
            "Dispatches to engines with older weights than the target",
            &counters.outdated_dispatches,
        ),
        (
            "version_cutoffs",
            "Dispatches to older weights taken back before the bound",
            &counters.version_cutoffs,
        ),
        (
            "isolation_cutoffs",
            "Dispatches taken back since a tenant was isolated while they waited",
            &counters.isolation_cutoffs,
        ),
        (
            "version_mismatches",
            "Dispatches that an engine rejected with 421",
            &counters.version_mismatches,
        ),
        (
            "responses_broken_by_engine",
            "Responses that an engine broke off",
            &counters.responses_broken_by_engine,
        ),
        (
            "responses_past_deadline",
            "Responses cut at their deadline",
            &counters.responses_past_deadline,
        ),
        ("responses_abandoned", "Responses that the client left", &counters.responses_abandoned),
        ("clock_restarts", "Controllers that were lost", &counters.controllers_lost),
    ];
    for (name, help, counter) in rows {
        writer.counter(name, help, counter.load(Ordering::Relaxed))?;
    }
    Ok(())
}

fn write_requests(router: &Router, writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let shutting_down = router.is_shutting_down();
    let during_shutdown = router.in_flight.accepted_during_shutdown() as f64;
    let open = router.open_connections.load(Ordering::Relaxed) as f64;
    writer.gauge("shutting_down", "1 from SIGTERM on", f64::from(u8::from(shutting_down)))?;
    writer.gauge("requests_in_flight", "Requests in flight", router.in_flight.total() as f64)?;
    writer.gauge("requests_in_flight_late", "Those accepted after SIGTERM", during_shutdown)?;
    writer.gauge("client_connections", "Open connections of clients", open)
}

fn write_configuration(view: &FleetView, writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let version = view.routing_table().map_or(0, |table| table.version);
    let links = view.links_up().len() as f64;
    writer.gauge("config_version", "Configuration in force", version as f64)?;
    writer.gauge("controller_links", "Links to controllers that are up", links)?;
    writer.gauge("routers", "Routers that are alive", view.routers() as f64)
}

fn write_targets(view: &FleetView, writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let targets = view.targets();
    let series: Vec<_> = targets
        .iter()
        .flat_map(|(model, targets)| targets.all().iter().map(move |target| (model, target)))
        .map(|(model, target)| {
            let labels = [("model", model.clone()), ("version", target.version.to_string())];
            (labels, target.since.elapsed().as_secs_f64())
        })
        .collect();
    let help =
        "Time since a version was named; older weights are bounded by the first that they lack";
    let series = series.iter().map(|(labels, age)| (&labels[..], *age));
    writer.gauges("target_weights_age_seconds", help, series)
}

fn write_engines(view: &FleetView, writer: &mut MetricsWriter<'_>) -> fmt::Result {
    let mut counts: BTreeMap<(String, u64), usize> = BTreeMap::new();
    for engine in view.engines.read().values() {
        let state = engine.state();
        if state.state() != fleet_core::wire::EngineState::Ready {
            continue;
        }
        for weights in &state.weights {
            *counts.entry((weights.model.clone(), weights.version)).or_default() += 1;
        }
    }
    let series: Vec<_> = counts
        .into_iter()
        .map(|((model, version), count)| {
            ([("model", model), ("version", version.to_string())], count as f64)
        })
        .collect();
    let series = series.iter().map(|(labels, count)| (&labels[..], *count));
    writer.gauges("engines", "Ready engines by version of their weights", series)
}
