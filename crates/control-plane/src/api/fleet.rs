//! The fleet as this controller sees it; read-only, and made only when asked for.

use super::{Context, json};
use fleet_core::wire::{Engine, EngineState};
use http::StatusCode;

fn engine_json(e: &Engine) -> serde_json::Value {
    let state = match e.state() {
        EngineState::Ready => "ready",
        EngineState::Draining => "draining",
        EngineState::Deregistered => "gone",
    };
    let models: Vec<_> = e
        .weights
        .iter()
        .map(|w| serde_json::json!({"name": w.model, "revision": w.version}))
        .collect();
    serde_json::json!({"id": e.id, "service": e.service, "address": e.address, "zone": e.zone,
        "slots": e.slots, "standing": state, "silent": e.heartbeat_missed, "models": models})
}

#[dropshot::endpoint { method = GET, path = "/anisedyke/Fleet.Look" }]
pub async fn view(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body = rq.context().cluster_state().read(|n| {
        serde_json::json!({
            "revision": n.config.map_or(0, |c| c.0),
            "routers": n.routers,
            "engines": n.engines.values().map(engine_json).collect::<Vec<_>>(),
        })
    });
    json(StatusCode::OK, body.to_string())
}
