//! How far named weights have come; read-only.

use super::{Context, json};
use http::StatusCode;

#[dropshot::endpoint { method = GET, path = "/anisedyke/Rollout.Look" }]
pub async fn look(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    json(StatusCode::OK, crate::duties::rollout::look::look(rq.context()).to_string())
}
