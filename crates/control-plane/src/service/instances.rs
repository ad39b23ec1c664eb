//! Heartbeats and deregistration of engines.

use super::{Rejection, require_contact};
use crate::engines::registry::{EngineRegistry, HeartbeatSource};
use bytes::Bytes;
use fleet_core::constants;
use fleet_core::wire::{Engine, EngineState, WeightsVersion};
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
    state: ReportedState,
    #[serde(default)]
    models: Vec<LoadedModel>,
    call_seq: u64,
}

#[derive(serde::Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
enum ReportedState {
    Ready,
    Draining,
}

#[derive(serde::Deserialize)]
struct LoadedModel {
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
        let weights = self
            .models
            .into_iter()
            .map(|loaded| WeightsVersion { model: loaded.name, version: loaded.revision });
        let mut engine = Engine {
            id,
            call_seq: self.call_seq,
            service: self.service,
            address: self.address,
            zone: self.zone,
            slots: self.slots,
            weights: weights.collect(),
            ..Default::default()
        };
        engine.set_state(match self.state {
            ReportedState::Ready => EngineState::Ready,
            ReportedState::Draining => EngineState::Draining,
        });
        engine
    }
}

/// Records a heartbeat. The heartbeat of a draining engine is acknowledged only once a majority has recorded it.
///
/// # Errors
///
/// 400 for an invalid call; 503 without contact with a majority, and if no majority records a drain in time. After 503
/// the heartbeat is recorded on this node all the same.
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
    let is_draining = heartbeat.state == ReportedState::Draining;
    // Record it even without contact with a majority, for the routers that reach only this node.
    let engine = registry.record_heartbeat(heartbeat.into_engine(id), HeartbeatSource::Engine);
    require_contact(registry.consensus())?;
    if is_draining {
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

/// Succeeds only once a majority of the controllers has the departure in memory and on disk.
async fn record_departure(registry: &Arc<EngineRegistry>, engine: Engine) -> Result<(), Rejection> {
    // A ready state means that this drain arrived late, after a newer call that reported the engine as ready.
    if engine.state() == EngineState::Ready || registry.record_departure(engine).await {
        return Ok(());
    }
    Err(Rejection::unavailable("no_majority", "not told to a majority"))
}

/// Records that an engine terminates. Acknowledged only once a majority has recorded it.
///
/// # Errors
///
/// 400 for an invalid call; 503 without contact with a majority, and if no majority records it in time. After 503 the
/// deregistration is recorded on this node all the same.
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
    let call_seq = current.as_ref().map_or(0, |engine| engine.call_seq);
    let mut engine = current.unwrap_or_else(|| Engine { id, ..Default::default() });
    engine.call_seq = call_seq.max(deregister_body.call_seq.unwrap_or(call_seq + 1));
    engine.set_state(EngineState::Deregistered);
    let engine = registry.record_heartbeat(engine, HeartbeatSource::Engine);
    require_contact(registry.consensus())?;
    record_departure(registry, engine).await
}
