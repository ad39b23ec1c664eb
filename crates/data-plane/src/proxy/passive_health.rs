//! Passive health checks: what responses and connection failures show about an engine.

use super::headers;
use super::response_check::InvalidResponse;
use super::stage::ClientRequest;
use crate::fleet_view::FleetView;
use crate::load_balancer::Choice;
use crate::pool::{EngineHandle, ReportedLoad};
use crate::{Counters, Router};
use fleet_core::log::Event;
use http::{HeaderMap, StatusCode};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::Instant;

/// Records the load and the weight version that an engine reports in response headers. The response must belong to
/// the request: its attempt id has been compared.
pub fn record_engine_report(
    view: &FleetView,
    engine: &EngineHandle,
    model: Option<&str>,
    head: &HeaderMap,
) {
    let load = headers::text(head, &headers::INSTANCE_LOAD);
    if let Some(reported) = load.and_then(|text| ReportedLoad::parse(text, Instant::now())) {
        engine.activity().reported = Some(reported);
    }
    let version = headers::text(head, &headers::WEIGHT_VERSIONS);
    let version = version.and_then(|text| text.trim().parse().ok());
    if let (Some(model), Some(version)) = (model, version) {
        view.record_weights(engine, model, version);
    }
}

/// Records a response whose head was accepted: clears the engine's failures, and notes which prompt parts the engine
/// now has cached.
pub fn record_response(
    router: &Router,
    request: &ClientRequest,
    choice: &Choice,
    status: StatusCode,
    latency: Duration,
) {
    if let Some(idle_time) = choice.engine.record_success() {
        router
            .idle_timeouts
            .for_service(&request.service)
            .record_idle_close(idle_time, Instant::now());
    }
    router.counters.responses.fetch_add(1, Ordering::Relaxed);
    if request.prompt.is_prefill_heavy() {
        record_prefill_heavy_latency(&router.log, &router.counters, &choice.engine, latency);
    }
    if let Some(salt) = choice.salt.as_ref().filter(|_| status.is_success()) {
        router.fleet_view.prefix_view.record_dispatch(
            &choice.engine.id,
            salt,
            &request.prompt.part_sizes(),
        );
    }
}

/// Ejects an engine that closed a connection unexpectedly or accepted none.
pub fn record_connection_failure(log: &slog::Logger, engine: &EngineHandle, reason: &str) {
    engine.record_failure(Instant::now());
    fleet_core::log_event!(log, Event::EngineError, "id" => &engine.id, "why" => reason);
}

/// Ejects an engine while a body of it goes on without an end.
pub fn record_endless_body(log: &slog::Logger, engine: &EngineHandle) {
    if engine.record_endless_body(Instant::now()) {
        fleet_core::log_event!(log, Event::EngineError, "id" => &engine.id, "why" => "body without an end");
    }
}

/// Logs a response that is not relayed, and ejects an engine that sends several in a row. A rejection without proof is
/// not counted: the engine is alive and says that it is full.
pub fn record_invalid_response(
    log: &slog::Logger,
    engine: &EngineHandle,
    status: StatusCode,
    error: InvalidResponse,
) {
    fleet_core::log_event!(log, Event::ResponseRejected, "id" => &engine.id,
        "status" => status.as_u16(), "why" => error.to_string());
    let is_counted = error != InvalidResponse::UnprovenRejection;
    if is_counted && engine.record_invalid_response() {
        record_connection_failure(log, engine, "invalid responses in a row");
    }
}

/// Logs how an engine's first response times after its start compare with the mean of all engines.
fn record_prefill_heavy_latency(
    log: &slog::Logger,
    counters: &Counters,
    engine: &EngineHandle,
    latency: Duration,
) {
    let responses = counters.prefill_heavy_responses.fetch_add(1, Ordering::Relaxed) + 1;
    let latency_us = latency.as_micros() as u64;
    let total_us =
        counters.prefill_heavy_latency_us.fetch_add(latency_us, Ordering::Relaxed) + latency_us;
    if let Some(engine_mean) = engine.record_warm_up_latency(latency) {
        fleet_core::log_event!(log, Event::EngineWarmedUp, "id" => &engine.id,
            "own_ms" => engine_mean.as_millis() as u64, "all_ms" => total_us / responses / 1000);
    }
}
