//! Handlers that replace and fetch the configuration.

use super::answer_body::AnswerBody;
use super::{Context, json_response, read_limited};
use crate::service::{Rejection, configuration};
use fleet_core::byte_budget::ReservedBytes;
use http::StatusCode;

#[dropshot::endpoint { method = POST, path = "/anisedyke/Config.Replace" }]
pub async fn replace(
    rqctx: dropshot::RequestContext<Context>,
    body: dropshot::StreamingBody,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let base = rqctx.request.headers().get("X-Base-Revision").and_then(|value| value.to_str().ok());
    // Validate the base before reading the body, so that an invalid request is rejected without receiving all of it.
    configuration::parse_base_version(base)?;
    let body =
        read_limited(rqctx.context().process(), body, fleet_core::constants::CONFIG_MAX_BYTES)
            .await?;
    let replaced =
        configuration::replace(rqctx.context().consensus(), base, body.bytes.clone()).await?;
    json_response(StatusCode::OK, format!("{{\"revision\":{}}}", replaced.version))
}

#[dropshot::endpoint { method = GET, path = "/anisedyke/Config.Fetch" }]
pub async fn fetch(
    rqctx: dropshot::RequestContext<Context>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body = configuration::fetch(rqctx.context().consensus()).await?;
    let reservation = rqctx.context().process().answer_budget.try_reserve(body.len());
    let reservation = reservation
        .ok_or_else(|| Rejection::unavailable("overloaded", "too many callers read slowly"))?;
    let body = ReservedBytes { bytes: body, reservation: Some(reservation) };
    json_response(StatusCode::OK, dropshot::Body::wrap(AnswerBody(body)))
}
