//! Handler for the view of the fleet as this controller sees it. Read-only; the view is computed on request.

use super::{Context, json_view};
use crate::cluster_state::ClusterState;
use fleet_core::wire::{Engine, EngineState};
use serde::Serialize;

/// The views declare their fields in alphabetical order, which is the order in which clients have always received them.
#[derive(Serialize)]
struct FleetView {
    engines: Vec<EngineView>,
    /// Version of the newest configuration that this controller knows to be committed; 0 before the first.
    revision: u64,
    /// Number of routers that are connected to controllers.
    routers: u32,
}

#[derive(Serialize)]
struct EngineView {
    address: String,
    id: String,
    models: Vec<ModelView>,
    service: String,
    /// Whether the engine missed its heartbeats.
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
        let model = |weights: &fleet_core::wire::WeightsVersion| ModelView {
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
    rqctx: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    json_view(&rqctx.context().cluster_state().read(FleetView::of))
}
