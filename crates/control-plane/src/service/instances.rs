//! Engines tell that they live, and that they leave.

use super::{Rejection, require_contact};
use crate::engines::registry::{EngineRegistry, HeartbeatSource};
use bytes::Bytes;
use fleet_core::wire::{Engine, EngineState, Weights};
use std::sync::Arc;

#[derive(serde::Deserialize)]
#[serde(rename_all = "camelCase")]
struct HeartbeatBody {
    service: String,
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    slots: u32,
    state: State,
    #[serde(default)]
    models: Vec<Loaded>,
    call_seq: u64,
}

#[derive(serde::Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum State {
    Ready,
    Draining,
}

#[derive(serde::Deserialize)]
struct Loaded {
    name: String,
    revision: u64,
}

#[derive(serde::Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct DeregisterBody {
    #[serde(default)]
    call_seq: Option<u64>,
}

fn malformed(error: impl ToString) -> Rejection {
    Rejection::bad_request("malformed", error)
}

impl HeartbeatBody {
    fn into_engine(self, id: String) -> Engine {
        let weights =
            self.models.into_iter().map(|m| Weights { model: m.name, version: m.revision });
        let mut engine = Engine {
            id,
            call: self.call_seq,
            service: self.service,
            address: self.address,
            zone: self.zone,
            slots: self.slots,
            weights: weights.collect(),
            ..Default::default()
        };
        engine.set_state(match self.state {
            State::Ready => EngineState::Ready,
            State::Draining => EngineState::Draining,
        });
        engine
    }
}

/// Takes a heartbeat; that of a draining engine is acknowledged when a majority has it.
///
/// # Errors
///
/// 400 for a call that can't be read; 503 out of contact, and where no majority has a drain in time. It is recorded all the same.
pub async fn heartbeat(
    registry: &Arc<EngineRegistry>,
    id: String,
    body: Bytes,
) -> Result<(), Rejection> {
    let heartbeat: HeartbeatBody = serde_json::from_slice(&body).map_err(malformed)?;
    if heartbeat.address.parse::<std::net::SocketAddr>().is_err() {
        return Err(malformed("address: not an address with a port"));
    }
    let draining = heartbeat.state == State::Draining;
    // also out of contact: routers that reach only this node need to hear of it
    registry.record_heartbeat(heartbeat.into_engine(id.clone()), HeartbeatSource::Engine);
    require_contact(registry.consensus())?;
    if draining {
        replicated(registry, &id).await?;
    }
    Ok(())
}

/// Acknowledged only when a majority of the controllers has it.
async fn replicated(registry: &Arc<EngineRegistry>, id: &str) -> Result<(), Rejection> {
    let Some(engine) = registry.get(id) else { return Ok(()) };
    if registry.replicate_now(engine).await {
        return Ok(());
    }
    Err(Rejection::unavailable("no_majority", "not told to a majority"))
}

/// Takes an engine's farewell, acknowledged when a majority has it.
///
/// # Errors
///
/// 400 for a call that can't be read; 503 out of contact, and where no majority has it in time. It is recorded all the same.
pub async fn deregister(
    registry: &Arc<EngineRegistry>,
    id: String,
    body: Bytes,
) -> Result<(), Rejection> {
    let deregister_body: DeregisterBody = if body.is_empty() {
        DeregisterBody::default()
    } else {
        serde_json::from_slice(&body).map_err(malformed)?
    };
    let current = registry.get(&id);
    let call = current.as_ref().map_or(0, |e| e.call);
    let mut engine = current.unwrap_or_else(|| Engine { id: id.clone(), ..Default::default() });
    engine.call = call.max(deregister_body.call_seq.unwrap_or(call + 1));
    engine.set_state(EngineState::Deregistered);
    registry.record_heartbeat(engine, HeartbeatSource::Engine);
    require_contact(registry.consensus())?;
    replicated(registry, &id).await
}
