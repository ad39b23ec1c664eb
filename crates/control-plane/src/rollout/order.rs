//! One order to one engine, and what its reports say of it.

use super::Rollout;
use crate::cluster_state::ClusterState;
use crate::engines::client::{Answer, CallError, EngineClient};
use crate::leases::ROLLOUT_LEASE;
use crate::leases::lease::FencedLease;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Engine, EngineState};
use std::time::Duration;
use tokio::time::Instant;

/// Why an order was not carried out.
#[derive(Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum OrderError {
    /// the duty is no longer held
    LeaseLost,
    /// a higher fence was seen
    Fenced,
    /// no end of the order in time
    Timeout,
    /// the engine is no longer known
    Unknown,
    /// another engine answers at its address
    WrongEngine,
}

/// What an engine reports of itself. It bears no id.
#[derive(Debug, Clone, serde::Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Report {
    #[serde(default)]
    models: Vec<Loaded>,
    #[serde(default)]
    busy: bool,
    #[serde(default)]
    call_seq: u64,
    #[serde(default)]
    active: u32,
}

#[derive(Debug, Clone, serde::Deserialize)]
struct Loaded {
    name: String,
    revision: u64,
}

/// What is to be done after a report.
#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    /// give the order, if this many were taken before it
    Order(u64),
    /// ask again
    Wait,
    /// it has the weights; so long it was alone with the load
    Done(Duration),
}

/// How far an order has come, by the reports of one engine.
pub struct Progress<'a> {
    model: &'a str,
    version: u64,
    ordered: bool,
    /// Since when it has been ordered and runs nothing any more.
    idle_since: Option<Instant>,
    /// Orders that it has taken; never falls.
    call_seq: u64,
    /// Version that it has; never falls.
    revision: u64,
}

impl<'a> Progress<'a> {
    /// Nothing is known yet.
    pub fn new(model: &'a str, version: u64) -> Self {
        Progress { model, version, ordered: false, idle_since: None, call_seq: 0, revision: 0 }
    }

    /// Takes a report. Within one engine's incarnation neither the number of its orders nor its version
    /// of the weights falls, and the model stays: what says otherwise comes from another one that was given
    /// the address.
    pub fn on_report(&mut self, report: &Report, now: Instant) -> Result<Next, OrderError> {
        let loaded = report.models.iter().find(|model| model.name == self.model);
        let Some(revision) = loaded.map(|model| model.revision) else {
            return Err(OrderError::WrongEngine);
        };
        if report.call_seq < self.call_seq || revision < self.revision {
            return Err(OrderError::WrongEngine);
        }
        (self.call_seq, self.revision) = (report.call_seq, revision);
        if revision >= self.version {
            let load = self.idle_since.map_or(Duration::ZERO, |since| now - since);
            return Ok(Next::Done(load));
        }
        if self.ordered {
            self.idle_since = (report.active == 0).then(|| self.idle_since.unwrap_or(now));
        }
        let may_order = !report.busy && !self.ordered;
        Ok(if may_order { Next::Order(report.call_seq) } else { Next::Wait })
    }

    /// The engine has taken the order, with so many requests running.
    fn ordered(&mut self, active: u32, now: Instant) {
        self.ordered = true;
        self.idle_since = (active == 0).then_some(now);
    }
}

/// How long an order may be under way: it has reached the engine before the lease ends, or never does.
pub fn order_timeout(lease: FencedLease, now: Instant) -> Option<Duration> {
    let remaining =
        lease.until.saturating_duration_since(now).saturating_sub(constants::ORDER_TRAVEL);
    (remaining >= constants::ORDER_LEAST).then(|| remaining.min(constants::ENGINE_CALL_TIMEOUT))
}

/// The engine is still known at its address, and none that came after it is.
pub fn is_at_its_address<'a>(
    engine: &Engine,
    mut engines: impl Iterator<Item = &'a Engine>,
) -> bool {
    let mut is_there = false;
    let another_is_there = engines.any(|known| {
        let is_alive = known.state() != EngineState::Deregistered
            && !known.heartbeat_missed
            && known.address == engine.address;
        is_there |= is_alive && known.id == engine.id;
        is_alive && known.id != engine.id
    });
    is_there && !another_is_there
}

/// Orders an engine to load a version, and waits until it shows it. Returns how long the load took.
///
/// # Errors
///
/// The lease was lost, another engine answers at the address, or the order has no end in time.
///
/// # Cancel safety
///
/// An order that was sent is carried out by the engine, also where nobody waits for it.
pub async fn order(
    rollout: &Rollout,
    client: &mut EngineClient,
    engine: &Engine,
    model: &str,
    version: u64,
) -> Result<Duration, OrderError> {
    let latest = Instant::now() + constants::ORDER_LONGEST;
    let mut until = Instant::now() + constants::ORDER_TIMEOUT;
    let mut progress = Progress::new(model, version);
    while Instant::now() < until {
        let is_there = |state: &ClusterState| is_at_its_address(engine, state.engines.values());
        if !rollout.cluster_state.read(is_there) {
            return Err(OrderError::Unknown);
        }
        if let Some(report) = report(client, engine).await? {
            if report.busy {
                until = latest.min(Instant::now() + constants::ORDER_TIMEOUT);
            }
            if let Some(load) = advance(rollout, client, &mut progress, engine, &report).await? {
                return Ok(load);
            }
        }
        tokio::time::sleep(constants::REPORT_INTERVAL).await;
    }
    Err(OrderError::Timeout)
}

/// Does what follows from a report; returns how long the load took once it is complete.
async fn advance(
    rollout: &Rollout,
    client: &mut EngineClient,
    progress: &mut Progress<'_>,
    engine: &Engine,
    report: &Report,
) -> Result<Option<Duration>, OrderError> {
    let expected = match progress.on_report(report, Instant::now())? {
        Next::Done(load) => return Ok(Some(load)),
        Next::Wait => return Ok(None),
        Next::Order(expected) => expected,
    };
    match send_order(rollout, client, progress, engine, expected).await? {
        OrderOutcome::Accepted => {
            fleet_core::log_event!(rollout.process.log, Event::WeightUpdateOrdered,
                "id" => &engine.id, "version" => progress.version);
            progress.ordered(report.active, Instant::now());
            Ok(None)
        }
        OrderOutcome::AlreadyApplied => Ok(Some(Duration::ZERO)),
        OrderOutcome::Unclear => Ok(None),
    }
}

/// What became of an order that was sent.
enum OrderOutcome {
    /// The engine carries it out.
    Accepted,
    /// The engine has the weights already.
    AlreadyApplied,
    /// It was not taken, or got no answer: the next report tells.
    Unclear,
}

async fn send_order(
    rollout: &Rollout,
    client: &mut EngineClient,
    progress: &Progress<'_>,
    engine: &Engine,
    expected: u64,
) -> Result<OrderOutcome, OrderError> {
    if client.open().await.is_err() {
        return Ok(OrderOutcome::Unclear);
    }
    let lease = rollout.leases.fenced_lease(ROLLOUT_LEASE).ok_or(OrderError::LeaseLost)?;
    let Some(limit) = order_timeout(lease, Instant::now()) else {
        return Ok(OrderOutcome::Unclear);
    };
    let body = serde_json::json!({
        "operation": "revision", "model": progress.model, "revision": progress.version,
        "method": "defer", "holder": rollout.process.node.name, "fence": lease.fencing_token,
        "expected": expected,
    });
    let target = [("X-Target-Instance", engine.id.as_str())];
    let body = body.to_string().into_bytes();
    let sent = client.send(http::Method::POST, "/anisedyke/order", &target, body, limit);
    let mut shutting_down = rollout.process.shutdown_signal();
    let answer = tokio::select! {
        answer = sent => answer,
        _ = shutting_down.wait_for(|is_shutting_down| *is_shutting_down) => {
            return Err(OrderError::LeaseLost);
        }
    };
    match answer.map(|answer| answer.status.as_u16()) {
        Ok(202) => Ok(OrderOutcome::Accepted),
        Ok(200) => Ok(OrderOutcome::AlreadyApplied),
        Ok(412) => {
            rollout.leases.refused(ROLLOUT_LEASE, lease.fencing_token);
            Err(OrderError::Fenced)
        }
        Ok(421) => Err(OrderError::WrongEngine),
        Ok(_) | Err(_) => Ok(OrderOutcome::Unclear),
    }
}

async fn report(client: &mut EngineClient, engine: &Engine) -> Result<Option<Report>, OrderError> {
    let target = [("X-Target-Instance", engine.id.as_str())];
    let limit = constants::ENGINE_CALL_TIMEOUT;
    let path = "/anisedyke/report";
    read_report(client.call(http::Method::GET, path, &target, Vec::new(), limit).await)
}

fn read_report(answer: Result<Answer, CallError>) -> Result<Option<Report>, OrderError> {
    match answer {
        Ok(answer) if answer.status == http::StatusCode::MISDIRECTED_REQUEST => {
            Err(OrderError::WrongEngine)
        }
        Ok(answer) if answer.status == http::StatusCode::OK => {
            Ok(serde_json::from_slice(&answer.body).ok())
        }
        Ok(_) | Err(_) => Ok(None),
    }
}

#[cfg(test)]
#[path = "order_tests.rs"]
mod tests;
