//! How far named weights have come; read-only.

use super::{Context, json};
use http::StatusCode;

#[dropshot::endpoint { method = GET, path = "/anisedyke/Rollout.Look" }]
pub async fn view(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    json(StatusCode::OK, crate::rollout::status::view(rq.context().rollout()).to_string())
}
