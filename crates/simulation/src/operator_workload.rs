//! Simulated operators: each sends configurations one after another, and resends one whose outcome is unknown.

use crate::config_body::digest;
use crate::constants;
use crate::history::{Reply, Version, Write};
use crate::injected_bug::InjectedBug;
use crate::machine::Machine;
use crate::world::World;
use bytes::Bytes;
use control_plane::Controller;
use control_plane::service::{Rejection, configuration};
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;

/// A configuration that an operator sends.
#[derive(Clone)]
struct ConfigUpdate {
    base: u64,
    version: Version,
    valid: bool,
    body: Bytes,
}

struct Operator {
    world: Arc<World>,
    number: usize,
    rng: fastrand::Rng,
    /// The number of the version that the operator considers current.
    base: u64,
    updates_created: u64,
    acknowledged: Vec<ConfigUpdate>,
}

/// Sends updates until the run is over.
pub async fn run_operator(world: Arc<World>, number: usize) {
    let rng = world.rng("operator", number);
    let interval_ms = world.plan.update_interval_ms;
    let mut operator =
        Operator { world, number, rng, base: 0, updates_created: 0, acknowledged: Vec::new() };
    while !operator.world.is_over() {
        let pause = operator.rng.u64(interval_ms / 2..interval_ms * 3 / 2);
        tokio::time::sleep(Duration::from_millis(pause)).await;
        let update = operator.next_update();
        operator.send(update).await;
    }
}

fn body_of(number: u64, label: &str, service: &str) -> Bytes {
    let text = serde_json::json!({
        "revision": number,
        "routes": [{
            "name": "route", "host": "a.example", "pathPrefix": format!("/{label}"),
            "kind": "safe", "timeoutMs": 1000, "service": service,
        }],
        "services": [{ "name": "service" }],
    });
    Bytes::from(text.to_string())
}

impl Operator {
    /// A new update, or at times a repetition of an acknowledged one.
    fn next_update(&mut self) -> ConfigUpdate {
        let is_repeated = self.rng.u64(0..100) < constants::REPEATED_UPDATE_PERCENT;
        if is_repeated && !self.acknowledged.is_empty() {
            let picked = self.rng.usize(0..self.acknowledged.len());
            return self.acknowledged[picked].clone();
        }
        self.updates_created += 1;
        let label = format!("operator-{}-order-{}", self.number, self.updates_created);
        let number = self.base + self.rng.u64(1..=2);
        let valid = self.rng.u64(0..100) >= constants::INVALID_UPDATE_PERCENT;
        let service = if valid { "service" } else { "none" };
        let body = body_of(number, &label, service);
        let version = Version { number, digest: digest(&body) };
        ConfigUpdate { base: self.base, version, valid, body }
    }

    /// Sends an update until it gets a definite response or runs out of attempts.
    async fn send(&mut self, update: ConfigUpdate) {
        let mut backoff = constants::RESEND_BACKOFF_MS;
        for _ in 0..constants::MAX_SEND_ATTEMPTS {
            match self.send_once(&update).await {
                Reply::Acknowledged => {
                    self.base = self.base.max(update.version.number);
                    self.acknowledged.push(update);
                    return;
                }
                Reply::Refused | Reply::Invalid => break,
                Reply::Unknown => {}
            }
            if self.world.is_over() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(backoff / 2 + self.rng.u64(0..backoff))).await;
            backoff = (backoff * 2).min(constants::MAX_RESEND_BACKOFF_MS);
        }
        self.refresh_base().await;
    }

    async fn send_once(&mut self, update: &ConfigUpdate) -> Reply {
        let machines = self.world.machines();
        let machine = machines[self.rng.usize(0..machines.len())].clone();
        let index = self.record_attempt(update, &machine);
        let reply = self.send_to(&machine, update).await;
        let completed = self.world.now();
        let mut history = self.world.history.lock();
        history.writes[index].completed = completed;
        history.writes[index].reply = reply;
        reply
    }

    /// Records an attempt before it is sent, since it may take effect at any time from then on.
    fn record_attempt(&self, update: &ConfigUpdate, machine: &Machine) -> usize {
        let mut history = self.world.history.lock();
        history.writes.push(Write {
            operator: self.number,
            machine: machine.number,
            base: update.base,
            version: update.version,
            valid: update.valid,
            invoked: self.world.now(),
            completed: u64::MAX,
            reply: Reply::Unknown,
        });
        history.writes.len() - 1
    }

    async fn send_to(&self, machine: &Arc<Machine>, update: &ConfigUpdate) -> Reply {
        let (base, body) = (update.base.to_string(), update.body.clone());
        let call = async move |controller: Arc<Controller>| {
            configuration::replace(controller.consensus(), Some(&base), body).await
        };
        let response = self.world.call(machine, call).await;
        self.apply_injected_bug(reply_from(response))
    }

    fn apply_injected_bug(&self, reply: Reply) -> Reply {
        match (self.world.injected_bug, reply) {
            (Some(InjectedBug::EarlyAcknowledgement), Reply::Unknown) => Reply::Acknowledged,
            (Some(InjectedBug::HastyRefusal), Reply::Unknown) => Reply::Refused,
            (_, reply) => reply,
        }
    }

    /// Reads the current version as the new base; keeps the old base if no machine answers.
    async fn refresh_base(&mut self) {
        for _ in 0..constants::MAX_RESOLVE_ATTEMPTS {
            let machines = self.world.machines();
            let machine = machines[self.rng.usize(0..machines.len())].clone();
            if let Some(version) = crate::read_workload::read_once(&self.world, &machine).await {
                self.base = version.number;
                return;
            }
            tokio::time::sleep(Duration::from_millis(constants::RESEND_BACKOFF_MS)).await;
        }
    }
}

fn reply_from(response: Option<Result<configuration::Replaced, Rejection>>) -> Reply {
    match response {
        Some(Ok(_)) => Reply::Acknowledged,
        Some(Err(rejection)) if rejection.status == StatusCode::PRECONDITION_FAILED => {
            Reply::Refused
        }
        Some(Err(rejection)) if rejection.status == StatusCode::BAD_REQUEST => Reply::Invalid,
        Some(Err(_)) | None => Reply::Unknown,
    }
}
