//! Handler that sets the target version of a model's weights.

use super::{Context, json_response, read_limited};
use crate::service::weights;
use http::StatusCode;

#[dropshot::endpoint { method = POST, path = "/anisedyke/version-put" }]
pub async fn put(
    rqctx: dropshot::RequestContext<Context>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body =
        read_limited(rqctx.context().process(), body, fleet_core::constants::HEARTBEAT_MAX_BYTES)
            .await?;
    weights::put(rqctx.context().consensus(), body.bytes).await?;
    json_response(StatusCode::OK, "{}")
}
