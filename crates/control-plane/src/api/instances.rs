//! Engines tell that they live, and that they leave.

use super::{Context, json, read_limited};
use crate::service::instances;
use fleet_core::constants;
use http::StatusCode;

#[derive(serde::Deserialize, schemars::JsonSchema)]
pub struct Id {
    id: String,
}

#[dropshot::endpoint { method = POST, path = "/anisedyke/Instances.Heartbeat/{id}" }]
pub async fn heartbeat(
    rq: dropshot::RequestContext<Context>,
    path: dropshot::Path<Id>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body = read_limited(body, constants::HEARTBEAT_MAX_BYTES).await?;
    instances::heartbeat(rq.context().registry(), path.into_inner().id, body).await?;
    json(StatusCode::OK, "{}")
}

#[dropshot::endpoint { method = POST, path = "/anisedyke/Instances.Deregister/{id}" }]
pub async fn deregister(
    rq: dropshot::RequestContext<Context>,
    path: dropshot::Path<Id>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body = read_limited(body, constants::HEARTBEAT_MAX_BYTES).await?;
    instances::deregister(rq.context().registry(), path.into_inner().id, body).await?;
    json(StatusCode::OK, "{}")
}
