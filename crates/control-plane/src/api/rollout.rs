//! Handler for the status of weight rollouts. Read-only.

use super::{Context, json_view};

#[dropshot::endpoint { method = GET, path = "/anisedyke/Rollout.Look" }]
pub async fn view(
    rqctx: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    json_view(&crate::rollout::status::view(rqctx.context().rollout()))
}
