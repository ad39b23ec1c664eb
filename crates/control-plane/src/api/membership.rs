//! The control plane as this controller sees it; read-only.

use super::{Context, json_view};

#[dropshot::endpoint { method = GET, path = "/anisedyke/Members.Look" }]
pub async fn view(
    rq: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    json_view(&crate::service::membership::view(rq.context().view_sources()).await)
}
