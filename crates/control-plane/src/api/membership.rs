//! Handler for the view of the control plane as this controller sees it. Read-only.

use super::{Context, json_view};

#[dropshot::endpoint { method = GET, path = "/anisedyke/Members.Look" }]
pub async fn view(
    rqctx: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    json_view(&crate::service::membership::view(rqctx.context().view_sources()).await)
}
