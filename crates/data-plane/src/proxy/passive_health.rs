//! What a response shows of the engine that gave it.

use super::headers;
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

/// The load and the weights that an engine names beside any answer.
pub fn record_engine_report(
    view: &FleetView,
    engine: &EngineHandle,
    model: Option<&str>,
    head: &HeaderMap,
) {
    let load = headers::text(head, &headers::INSTANCE_LOAD);
    if let Some(reported) = load.and_then(|text| ReportedLoad::read(text, Instant::now())) {
        engine.work().reported = Some(reported);
    }
    let version = headers::text(head, &headers::WEIGHT_VERSIONS);
    let version = version.and_then(|text| text.trim().parse().ok());
    if let (Some(model), Some(version)) = (model, version) {
        view.saw_weights(engine, model, version);
    }
}

/// Counts a response that has begun, and what its engine now has cached of the prompt.
pub fn count_answer(
    router: &Router,
    request: &ClientRequest,
    choice: &Choice,
    status: StatusCode,
    wait: Duration,
) {
    if let Some(idle_time) = choice.engine.record_success() {
        router.idle_timeouts.of(&request.service).record_idle_close(idle_time, Instant::now());
    }
    router.counters.responses.fetch_add(1, Ordering::Relaxed);
    if request.prompt.is_prefill_heavy() {
        count_wait(&router.log, &router.counters, &choice.engine, wait);
    }
    if let Some(salt) = choice.salt.as_ref().filter(|_| status.is_success()) {
        router.fleet_view.prefix_view.sent(&choice.engine.id, salt, &request.prompt.pairs());
    }
}

/// Ejects an engine that broke off or accepted no connection.
pub fn record_connection_failure(log: &slog::Logger, engine: &EngineHandle, why: &str) {
    engine.record_failure(Instant::now());
    fleet_core::log_event!(log, Event::EngineError, "id" => &engine.id, "why" => why);
}

/// Sets the first waits at a newcomer against those at all engines.
fn count_wait(log: &slog::Logger, counters: &Counters, engine: &EngineHandle, wait: Duration) {
    let answers = counters.prefill_heavy_answers.fetch_add(1, Ordering::Relaxed) + 1;
    let wait_us = wait.as_micros() as u64;
    let all_us = counters.prefill_heavy_wait_us.fetch_add(wait_us, Ordering::Relaxed) + wait_us;
    if let Some(own) = engine.first_waits(wait) {
        fleet_core::log_event!(log, Event::EngineWarmedUp, "id" => &engine.id,
            "own_ms" => own.as_millis() as u64, "all_ms" => all_us / answers / 1000);
    }
}
