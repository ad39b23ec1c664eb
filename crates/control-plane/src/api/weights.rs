//! New weights are named.

use super::{Context, json, read_limited};
use crate::service::weights;
use http::StatusCode;

#[dropshot::endpoint { method = POST, path = "/anisedyke/version-put" }]
pub async fn put(
    rq: dropshot::RequestContext<Context>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body = read_limited(body, fleet_core::constants::HEARTBEAT_MAX_BYTES).await?;
    weights::put(rq.context().consensus(), body).await?;
    json(StatusCode::OK, "{}")
}
