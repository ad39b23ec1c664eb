//! The control plane as this controller sees it; read-only.

use super::{Context, json};
use http::StatusCode;

#[dropshot::endpoint { method = GET, path = "/anisedyke/Members.Look" }]
pub async fn view(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let view = crate::service::membership::view(rq.context().view_sources()).await;
    let body = serde_json::to_string(&view)
        .map_err(|error| dropshot::HttpError::for_internal_error(error.to_string()))?;
    json(StatusCode::OK, body)
}
