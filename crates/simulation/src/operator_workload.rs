//! Operators: each sends configurations one after the other, and again after silence.

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

/// One configuration that an operator wants in force.
#[derive(Clone)]
struct Order {
    base: u64,
    version: Version,
    valid: bool,
    body: Bytes,
}

struct Operator {
    world: Arc<World>,
    number: usize,
    rng: fastrand::Rng,
    /// the version that it believes to be current
    base: u64,
    drawn: u64,
    acknowledged: Vec<Order>,
}

/// Sends orders until the run is over.
pub async fn operate(world: Arc<World>, number: usize) {
    let rng = world.rng("operator", number);
    let backoff_ms = world.plan.order_interval_ms;
    let mut operator = Operator { world, number, rng, base: 0, drawn: 0, acknowledged: Vec::new() };
    while !operator.world.is_over() {
        let backoff = operator.rng.u64(backoff_ms / 2..backoff_ms * 3 / 2);
        tokio::time::sleep(Duration::from_millis(backoff)).await;
        let order = operator.next();
        operator.send(order).await;
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
    /// A new order, or at times an old one that was acknowledged.
    fn next(&mut self) -> Order {
        let again = self.rng.u64(0..100) < constants::AGAIN_IN_100;
        if again && !self.acknowledged.is_empty() {
            let which = self.rng.usize(0..self.acknowledged.len());
            return self.acknowledged[which].clone();
        }
        self.drawn += 1;
        let label = format!("operator-{}-order-{}", self.number, self.drawn);
        let number = self.base + self.rng.u64(1..=2);
        let valid = self.rng.u64(0..100) >= constants::INVALID_IN_100;
        let service = if valid { "service" } else { "none" };
        let body = body_of(number, &label, service);
        let version = Version { number, digest: digest(&body) };
        Order { base: self.base, version, valid, body }
    }

    /// Sends an order until its answer is clear.
    async fn send(&mut self, order: Order) {
        let mut backoff = constants::RESEND_BACKOFF_MS;
        for _ in 0..constants::SENDINGS_MOST {
            match self.send_once(&order).await {
                Reply::Acknowledged => {
                    self.base = self.base.max(order.version.number);
                    self.acknowledged.push(order);
                    return;
                }
                Reply::Refused | Reply::Invalid => break,
                Reply::Unknown => {}
            }
            if self.world.is_over() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(backoff / 2 + self.rng.u64(0..backoff))).await;
            backoff = (backoff * 2).min(constants::RESEND_BACKOFF_MAX_MS);
        }
        self.resolve().await;
    }

    async fn send_once(&mut self, order: &Order) -> Reply {
        let machines = self.world.machines();
        let machine = machines[self.rng.usize(0..machines.len())].clone();
        let place = self.record(order, &machine);
        let reply = self.exchange(&machine, order).await;
        let completed = self.world.now();
        let mut history = self.world.history.lock();
        history.writes[place].completed = completed;
        history.writes[place].reply = reply;
        reply
    }

    /// Records a sending before it is sent; it may take effect at any time from now on.
    fn record(&self, order: &Order, machine: &Machine) -> usize {
        let mut history = self.world.history.lock();
        history.writes.push(Write {
            operator: self.number,
            machine: machine.number,
            base: order.base,
            version: order.version,
            valid: order.valid,
            invoked: self.world.now(),
            completed: u64::MAX,
            reply: Reply::Unknown,
        });
        history.writes.len() - 1
    }

    async fn exchange(&self, machine: &Arc<Machine>, order: &Order) -> Reply {
        let (base, body) = (order.base.to_string(), order.body.clone());
        let call = async move |controller: Arc<Controller>| {
            configuration::replace(controller.consensus(), Some(&base), body).await
        };
        let answer = self.world.call(machine, call).await;
        self.as_mutant(reply_of(answer))
    }

    fn as_mutant(&self, reply: Reply) -> Reply {
        match (self.world.injected_bug, reply) {
            (Some(InjectedBug::EarlyAcknowledgement), Reply::Unknown) => Reply::Acknowledged,
            (Some(InjectedBug::HastyRefusal), Reply::Unknown) => Reply::Refused,
            (_, reply) => reply,
        }
    }

    /// Finds out which version is current, if anybody says so.
    async fn resolve(&mut self) {
        for _ in 0..constants::RESOLVES_MOST {
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

fn reply_of(answer: Option<Result<configuration::Replaced, Rejection>>) -> Reply {
    match answer {
        Some(Ok(_)) => Reply::Acknowledged,
        Some(Err(rejection)) if rejection.status == StatusCode::PRECONDITION_FAILED => {
            Reply::Refused
        }
        Some(Err(rejection)) if rejection.status == StatusCode::BAD_REQUEST => Reply::Invalid,
        Some(Err(_)) | None => Reply::Unknown,
    }
}
