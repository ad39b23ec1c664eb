//! Engines tell that they live, and that they leave.

use super::{Rejection, require_contact};
use crate::engines::registry::{EngineRegistry, HeartbeatSource};
use bytes::Bytes;
use fleet_core::constants;
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
    check_id(&id)?;
    let draining = heartbeat.state == State::Draining;
    // also out of contact: routers that reach only this node need to hear of it
    let engine = registry.record_heartbeat(heartbeat.into_engine(id), HeartbeatSource::Engine);
    require_contact(registry.consensus())?;
    if draining {
        record_departure(registry, engine).await?;
    }
    Ok(())
}

fn check_id(id: &str) -> Result<(), Rejection> {
    if id.len() <= constants::ENGINE_ID_MAX_BYTES {
        return Ok(());
    }
    Err(malformed("id: too long"))
}

/// Acknowledged only when a majority of the controllers has it, in memory and on disk.
async fn record_departure(registry: &Arc<EngineRegistry>, engine: Engine) -> Result<(), Rejection> {
    // a drain that comes late, behind a call that says that the engine is ready
    if engine.state() == EngineState::Ready || registry.record_departure(engine).await {
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
    check_id(&id)?;
    let current = registry.get(&id);
    let call = current.as_ref().map_or(0, |e| e.call);
    let mut engine = current.unwrap_or_else(|| Engine { id, ..Default::default() });
    engine.call = call.max(deregister_body.call_seq.unwrap_or(call + 1));
    engine.set_state(EngineState::Deregistered);
    let engine = registry.record_heartbeat(engine, HeartbeatSource::Engine);
    require_contact(registry.consensus())?;
    record_departure(registry, engine).await
}
