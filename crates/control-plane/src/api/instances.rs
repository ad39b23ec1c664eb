//! Handlers for heartbeats and deregistration of engines.

use super::{Context, json_response, read_limited};
use crate::service::instances;
use fleet_core::constants;
use http::StatusCode;

#[derive(serde::Deserialize, schemars::JsonSchema)]
pub struct InstancePath {
    id: String,
}

#[dropshot::endpoint { method = POST, path = "/anisedyke/Instances.Heartbeat/{id}" }]
pub async fn heartbeat(
    rqctx: dropshot::RequestContext<Context>,
    path: dropshot::Path<InstancePath>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body =
        read_limited(rqctx.context().process(), body, constants::HEARTBEAT_MAX_BYTES).await?;
    instances::heartbeat(rqctx.context().registry(), path.into_inner().id, body.bytes).await?;
    json_response(StatusCode::OK, "{}")
}

#[dropshot::endpoint { method = POST, path = "/anisedyke/Instances.Deregister/{id}" }]
pub async fn deregister(
    rqctx: dropshot::RequestContext<Context>,
    path: dropshot::Path<InstancePath>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body =
        read_limited(rqctx.context().process(), body, constants::HEARTBEAT_MAX_BYTES).await?;
    instances::deregister(rqctx.context().registry(), path.into_inner().id, body.bytes).await?;
    json_response(StatusCode::OK, "{}")
}
