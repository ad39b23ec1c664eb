//! The operator's configurations.

use super::{Context, json, read_limited};
use crate::service::configuration;
use http::StatusCode;

#[dropshot::endpoint { method = POST, path = "/anisedyke/Config.Replace" }]
pub async fn replace(
    rq: dropshot::RequestContext<Context>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let base = rq.request.headers().get("X-Base-Revision").and_then(|v| v.to_str().ok());
    // before the body is read: who sends no base needn't send all of it
    configuration::base_of(base)?;
    let body = read_limited(body, fleet_core::constants::CONFIG_BYTES).await?;
    let replaced = configuration::replace(rq.context().consensus(), base, body).await?;
    json(StatusCode::OK, format!("{{\"revision\":{}}}", replaced.version))
}

#[dropshot::endpoint { method = GET, path = "/anisedyke/Config.Fetch" }]
pub async fn fetch(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body = configuration::fetch(rq.context().consensus()).await?;
    json(StatusCode::OK, body.to_vec())
}
