//! The fleet as this controller sees it; read-only, and made only when asked for.

use super::{Context, json_view};
use crate::cluster_state::ClusterState;
use fleet_core::wire::{Engine, EngineState};
use serde::Serialize;

/// Fields of the views are in the order of their names, as they always were sent.
#[derive(Serialize)]
struct FleetView {
    engines: Vec<EngineView>,
    /// Version of the newest configuration that this controller knows to be chosen; 0 before the first.
    revision: u64,
    /// Routers that are linked to controllers.
    routers: u32,
}

#[derive(Serialize)]
struct EngineView {
    address: String,
    id: String,
    models: Vec<ModelView>,
    service: String,
    /// Whether its heartbeats are missed.
    silent: bool,
    slots: u32,
    standing: &'static str,
    zone: String,
}

#[derive(Serialize)]
struct ModelView {
    name: String,
    revision: u64,
}

impl FleetView {
    fn of(state: &ClusterState) -> FleetView {
        FleetView {
            engines: state.engines.values().map(EngineView::of).collect(),
            revision: state.config_version(),
            routers: state.routers,
        }
    }
}

impl EngineView {
    fn of(engine: &Engine) -> EngineView {
        let model = |weights: &fleet_core::wire::Weights| ModelView {
            name: weights.model.clone(),
            revision: weights.version,
        };
        EngineView {
            address: engine.address.clone(),
            id: engine.id.clone(),
            models: engine.weights.iter().map(model).collect(),
            service: engine.service.clone(),
            silent: engine.heartbeat_missed,
            slots: engine.slots,
            standing: match engine.state() {
                EngineState::Ready => "ready",
                EngineState::Draining => "draining",
                EngineState::Deregistered => "gone",
            },
            zone: engine.zone.clone(),
        }
    }
}

#[dropshot::endpoint { method = GET, path = "/anisedyke/Fleet.Look" }]
pub async fn view(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    json_view(&rq.context().cluster_state().read(FleetView::of))
}
