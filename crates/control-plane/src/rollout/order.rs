//! One order to one engine, and what its reports say of it.

use super::Rollout;
use crate::engines::client::{Answer, CallError, EngineClient};
use crate::leases::ROLLOUT_LEASE;
use crate::leases::lease::FencedLease;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Engine, EngineState};
use std::sync::Arc;
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
    /// since it has been ordered and runs nothing any more
    alone: Option<Instant>,
    call_seq: u64,
    revision: u64,
}

impl<'a> Progress<'a> {
    /// Nothing is known yet.
    pub fn new(model: &'a str, version: u64) -> Self {
        Progress { model, version, ordered: false, alone: None, call_seq: 0, revision: 0 }
    }

    /// Takes a report. Within one engine's incarnation neither the number of its orders nor its version
    /// of the weights falls, and the model stays: what says otherwise comes from another one that was given
    /// the address.
    pub fn on_report(&mut self, r: &Report, now: Instant) -> Result<Next, OrderError> {
        let loaded = r.models.iter().find(|m| m.name == self.model);
        let Some(revision) = loaded.map(|m| m.revision) else {
            return Err(OrderError::WrongEngine);
        };
        if r.call_seq < self.call_seq || revision < self.revision {
            return Err(OrderError::WrongEngine);
        }
        (self.call_seq, self.revision) = (r.call_seq, revision);
        if revision >= self.version {
            return Ok(Next::Done(self.alone.map_or(Duration::ZERO, |t| now - t)));
        }
        if self.ordered {
            self.alone = (r.active == 0).then(|| self.alone.unwrap_or(now));
        }
        let order = !r.busy && !self.ordered;
        Ok(if order { Next::Order(r.call_seq) } else { Next::Wait })
    }

    /// The engine has taken the order, with so many requests running.
    fn ordered(&mut self, active: u32, now: Instant) {
        self.ordered = true;
        self.alone = (active == 0).then_some(now);
    }
}

/// How long an order may be under way: it has reached the engine before the lease ends, or never does.
pub fn order_timeout(m: FencedLease, now: Instant) -> Option<Duration> {
    let remaining = m.until.saturating_duration_since(now).saturating_sub(constants::ORDER_TRAVEL);
    (remaining >= constants::ORDER_LEAST).then(|| remaining.min(constants::ENGINE_CALL_TIMEOUT))
}

/// The engine is still known at its address, and none that came after it is.
pub fn is_at_its_address<'a>(e: &Engine, mut engines: impl Iterator<Item = &'a Engine>) -> bool {
    let mut there = false;
    let another = engines.any(|k| {
        let is_alive =
            k.state() != EngineState::Deregistered && !k.heartbeat_missed && k.address == e.address;
        there |= is_alive && k.id == e.id;
        is_alive && k.id != e.id
    });
    there && !another
}

/// Orders, and waits until the engine shows the weights.
pub async fn order(
    rollout: &Arc<Rollout>,
    client: &mut EngineClient,
    e: &Engine,
    model: &str,
    version: u64,
) -> Result<Duration, OrderError> {
    let latest = Instant::now() + constants::ORDER_LONGEST;
    let mut until = Instant::now() + constants::ORDER_TIMEOUT;
    let mut progress = Progress::new(model, version);
    while Instant::now() < until {
        if !rollout.cluster_state.read(|n| is_at_its_address(e, n.engines.values())) {
            return Err(OrderError::Unknown);
        }
        if let Some(r) = report(client, e).await? {
            if r.busy {
                until = latest.min(Instant::now() + constants::ORDER_TIMEOUT);
            }
            match progress.on_report(&r, Instant::now())? {
                Next::Done(took) => return Ok(took),
                Next::Wait => {}
                Next::Order(expected) => {
                    match send_order(rollout, client, &progress, e, expected).await? {
                        OrderOutcome::Accepted => {
                            fleet_core::log_event!(rollout.process.log, Event::WeightUpdateOrdered, "id" => &e.id, "version" => version);
                            progress.ordered(r.active, Instant::now());
                        }
                        OrderOutcome::AlreadyApplied => return Ok(Duration::ZERO),
                        OrderOutcome::Unclear => {}
                    }
                }
            }
        }
        tokio::time::sleep(constants::REPORT_INTERVAL).await;
    }
    Err(OrderError::Timeout)
}

enum OrderOutcome {
    Accepted,
    /// the engine has the weights already
    AlreadyApplied,
    /// not taken, or no answer: the next report tells
    Unclear,
}

async fn send_order(
    rollout: &Arc<Rollout>,
    client: &mut EngineClient,
    p: &Progress<'_>,
    e: &Engine,
    expected: u64,
) -> Result<OrderOutcome, OrderError> {
    if client.open().await.is_err() {
        return Ok(OrderOutcome::Unclear);
    }
    let fenced_lease = rollout.leases.fenced_lease(ROLLOUT_LEASE).ok_or(OrderError::LeaseLost)?;
    let Some(limit) = order_timeout(fenced_lease, Instant::now()) else {
        return Ok(OrderOutcome::Unclear);
    };
    let body = serde_json::json!({
        "operation": "revision", "model": p.model, "revision": p.version, "method": "defer",
        "holder": rollout.process.node.name, "fence": fenced_lease.fencing_token, "expected": expected,
    });
    let target = [("X-Target-Instance", e.id.as_str())];
    let body = body.to_string().into_bytes();
    let sent = client.send(http::Method::POST, "/anisedyke/order", &target, body, limit);
    let mut shutting_down = rollout.process.shutdown_signal();
    let answer = tokio::select! {
        answer = sent => answer,
        _ = shutting_down.wait_for(|l| *l) => return Err(OrderError::LeaseLost),
    };
    match answer.map(|a| a.status.as_u16()) {
        Ok(202) => Ok(OrderOutcome::Accepted),
        Ok(200) => Ok(OrderOutcome::AlreadyApplied),
        Ok(412) => Err(OrderError::Fenced),
        Ok(421) => Err(OrderError::WrongEngine),
        Ok(_) | Err(_) => Ok(OrderOutcome::Unclear),
    }
}

async fn report(client: &mut EngineClient, e: &Engine) -> Result<Option<Report>, OrderError> {
    let target = [("X-Target-Instance", e.id.as_str())];
    let limit = constants::ENGINE_CALL_TIMEOUT;
    let path = "/anisedyke/report";
    read_report(client.call(http::Method::GET, path, &target, Vec::new(), limit).await)
}

fn read_report(answer: Result<Answer, CallError>) -> Result<Option<Report>, OrderError> {
    match answer {
        Ok(a) if a.status == http::StatusCode::MISDIRECTED_REQUEST => Err(OrderError::WrongEngine),
        Ok(a) if a.status == http::StatusCode::OK => Ok(serde_json::from_slice(&a.body).ok()),
        Ok(_) | Err(_) => Ok(None),
    }
}

#[cfg(test)]
#[path = "order_tests.rs"]
mod tests;
