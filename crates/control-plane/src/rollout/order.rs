//! Sends an order to load new weights to one engine, and follows its progress through the engine's reports.

use super::Rollout;
use crate::cluster_state::ClusterState;
use crate::engines::client::{CallError, HttpClient, HttpResponse};
use crate::leases::ROLLOUT_LEASE;
use crate::leases::lease::FencedLease;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Engine, EngineState};
use std::time::Duration;
use tokio::time::Instant;

/// Why an order failed.
#[derive(Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum OrderError {
    /// the duty is no longer held
    LeaseLost,
    /// a higher fence was seen
    Fenced,
    /// no end of the order in time
    Timeout,
    /// the engine is no longer known
    UnknownEngine,
    /// another engine answers at its address
    WrongEngine,
}

/// An engine's report of its own state. It carries no engine id.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    #[serde(default)]
    models: Vec<LoadedModel>,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    call_seq: u64,
    #[serde(default)]
    active: u32,
}

#[derive(Debug, Clone, serde::Deserialize)]
struct LoadedModel {
    name: String,
    revision: u64,
}

/// What to do after a report.
#[derive(Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the order; the engine must have accepted exactly this many orders before it.
    Order(u64),
    /// Poll the engine again.
    Wait,
    /// The engine has the weights; it spent this time loading them, with no requests running.
    Done(Duration),
}

/// Progress of one order, derived from the engine's reports.
pub struct Progress<'a> {
    model: &'a str,
    version: u64,
    /// Whether the engine has accepted the order.
    ordered: bool,
    /// When the engine, having accepted the order, became idle.
    idle_since: Option<Instant>,
    /// Number of orders that the engine has accepted; never decreases.
    call_seq: u64,
    /// Version of the weights that the engine has loaded; never decreases.
    loaded_version: u64,
}

impl<'a> Progress<'a> {
    /// No report has been received yet.
    pub fn new(model: &'a str, version: u64) -> Self {
        Progress {
            model,
            version,
            ordered: false,
            idle_since: None,
            call_seq: 0,
            loaded_version: 0,
        }
    }

    /// Processes a report. Within one incarnation of an engine, its order count and its weight version never decrease
    /// and its model never changes. A report that violates this comes from another engine that was assigned the
    /// address.
    pub fn on_report(&mut self, report: &Report, now: Instant) -> Result<NextStep, OrderError> {
        let loaded = report.models.iter().find(|model| model.name == self.model);
        let Some(revision) = loaded.map(|model| model.revision) else {
            return Err(OrderError::WrongEngine);
        };
        if report.call_seq < self.call_seq || revision < self.loaded_version {
            return Err(OrderError::WrongEngine);
        }
        (self.call_seq, self.loaded_version) = (report.call_seq, revision);
        if revision >= self.version {
            let load_duration = self.idle_since.map_or(Duration::ZERO, |since| now - since);
            return Ok(NextStep::Done(load_duration));
        }
        if self.ordered {
            self.idle_since = (report.active == 0).then(|| self.idle_since.unwrap_or(now));
        }
        let may_order = !report.busy && !self.ordered;
        Ok(if may_order { NextStep::Order(report.call_seq) } else { NextStep::Wait })
    }

    /// Records that the engine has accepted the order, with `active` requests running.
    fn on_order_accepted(&mut self, active: u32, now: Instant) {
        self.ordered = true;
        self.idle_since = (active == 0).then_some(now);
    }
}

/// Timeout of an order, chosen so that it reaches the engine before the lease ends or not at all. `None` if too little
/// time is left to send it.
pub fn order_timeout(lease: FencedLease, now: Instant) -> Option<Duration> {
    let remaining = lease
        .expires_at
        .saturating_duration_since(now)
        .saturating_sub(constants::ORDER_DELIVERY_TIME);
    (remaining >= constants::ORDER_MIN_LEASE_LEFT)
        .then(|| remaining.min(constants::ENGINE_CALL_TIMEOUT))
}

/// Whether the engine is still alive at its address and no other live engine has the same address.
pub fn is_at_its_address<'a>(
    engine: &Engine,
    mut engines: impl Iterator<Item = &'a Engine>,
) -> bool {
    let mut is_present = false;
    let is_address_shared = engines.any(|known| {
        let is_alive = known.state() != EngineState::Deregistered
            && !known.heartbeat_missed
            && known.address == engine.address;
        is_present |= is_alive && known.id == engine.id;
        is_alive && known.id != engine.id
    });
    is_present && !is_address_shared
}

/// Orders an engine to load a version, and waits until it reports that version. Returns how long loading took.
///
/// # Errors
///
/// The lease was lost, a higher fencing token was seen, the engine is no longer known, another engine answers at its
/// address, or the order did not complete in time.
///
/// # Cancel safety
///
/// The engine executes an order that was sent even if this future is dropped.
pub async fn execute(
    rollout: &Rollout,
    client: &mut HttpClient,
    engine: &Engine,
    model: &str,
    version: u64,
) -> Result<Duration, OrderError> {
    let hard_deadline = Instant::now() + constants::ORDER_MAX_DURATION;
    let mut deadline = Instant::now() + constants::ORDER_TIMEOUT;
    let mut progress = Progress::new(model, version);
    while Instant::now() < deadline {
        let is_present = |state: &ClusterState| is_at_its_address(engine, state.engines.values());
        if !rollout.cluster_state.read(is_present) {
            return Err(OrderError::UnknownEngine);
        }
        if let Some(report) = fetch_report(client, engine).await? {
            if report.busy {
                deadline = hard_deadline.min(Instant::now() + constants::ORDER_TIMEOUT);
            }
            if let Some(load_duration) =
                advance(rollout, client, &mut progress, engine, &report).await?
            {
                return Ok(load_duration);
            }
        }
        tokio::time::sleep(constants::REPORT_INTERVAL).await;
    }
    Err(OrderError::Timeout)
}

/// Acts on a report; returns how long loading took once it is complete.
async fn advance(
    rollout: &Rollout,
    client: &mut HttpClient,
    progress: &mut Progress<'_>,
    engine: &Engine,
    report: &Report,
) -> Result<Option<Duration>, OrderError> {
    let expected = match progress.on_report(report, Instant::now())? {
        NextStep::Done(load_duration) => return Ok(Some(load_duration)),
        NextStep::Wait => return Ok(None),
        NextStep::Order(expected) => expected,
    };
    match send_order(rollout, client, progress, engine, expected).await? {
        OrderOutcome::Accepted => {
            fleet_core::log_event!(rollout.process.log, Event::WeightUpdateOrdered,
                "id" => &engine.id, "version" => progress.version);
            progress.on_order_accepted(report.active, Instant::now());
            Ok(None)
        }
        OrderOutcome::AlreadyApplied => Ok(Some(Duration::ZERO)),
        OrderOutcome::Indeterminate => Ok(None),
    }
}

/// Outcome of sending an order.
enum OrderOutcome {
    /// The engine executes it.
    Accepted,
    /// The engine has the weights already.
    AlreadyApplied,
    /// It was not accepted, or not answered: the next report shows whether it took effect.
    Indeterminate,
}

async fn send_order(
    rollout: &Rollout,
    client: &mut HttpClient,
    progress: &Progress<'_>,
    engine: &Engine,
    expected: u64,
) -> Result<OrderOutcome, OrderError> {
    if client.open().await.is_err() {
        return Ok(OrderOutcome::Indeterminate);
    }
    let lease = rollout.leases.fenced_lease(ROLLOUT_LEASE).ok_or(OrderError::LeaseLost)?;
    let Some(timeout) = order_timeout(lease, Instant::now()) else {
        return Ok(OrderOutcome::Indeterminate);
    };
    let body = serde_json::json!({
        "operation": "revision", "model": progress.model, "revision": progress.version,
        "method": "defer", "holder": rollout.process.node.name, "fence": lease.fencing_token,
        "expected": expected,
    });
    let target = [("X-Target-Instance", engine.id.as_str())];
    let body = body.to_string().into_bytes();
    let pending_response =
        client.send(http::Method::POST, "/anisedyke/order", &target, body, timeout);
    let mut shutting_down = rollout.process.shutdown_signal();
    let response = tokio::select! {
        response = pending_response => response,
        _ = shutting_down.wait_for(|is_shutting_down| *is_shutting_down) => {
            return Err(OrderError::LeaseLost);
        }
    };
    match response.map(|response| response.status.as_u16()) {
        Ok(202) => Ok(OrderOutcome::Accepted),
        Ok(200) => Ok(OrderOutcome::AlreadyApplied),
        Ok(412) => {
            rollout.leases.on_token_rejected(ROLLOUT_LEASE, lease.fencing_token);
            Err(OrderError::Fenced)
        }
        Ok(421) => Err(OrderError::WrongEngine),
        Ok(_) | Err(_) => Ok(OrderOutcome::Indeterminate),
    }
}

async fn fetch_report(
    client: &mut HttpClient,
    engine: &Engine,
) -> Result<Option<Report>, OrderError> {
    let target = [("X-Target-Instance", engine.id.as_str())];
    let timeout = constants::ENGINE_CALL_TIMEOUT;
    let path = "/anisedyke/report";
    parse_report(client.call(http::Method::GET, path, &target, Vec::new(), timeout).await)
}

fn parse_report(response: Result<HttpResponse, CallError>) -> Result<Option<Report>, OrderError> {
    match response {
        Ok(response) if response.status == http::StatusCode::MISDIRECTED_REQUEST => {
            Err(OrderError::WrongEngine)
        }
        Ok(response) if response.status == http::StatusCode::OK => {
            Ok(serde_json::from_slice(&response.body).ok())
        }
        Ok(_) | Err(_) => Ok(None),
    }
}

#[cfg(test)]
#[path = "order_tests.rs"]
mod tests;
