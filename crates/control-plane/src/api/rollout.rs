//! How far named weights have come; read-only.

use super::{Context, json_view};

#[dropshot::endpoint { method = GET, path = "/anisedyke/Rollout.Look" }]
pub async fn view(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    json_view(&crate::rollout::status::view(rq.context().rollout()))
}
