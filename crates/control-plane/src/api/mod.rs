//! The HTTP side of what engines and the operator call: one handler for each call, one file for each resource.
//!
//! Handlers translate and decide nothing; what is decided is in [`crate::service`]. Bodies are taken untyped, so that a 400
//! names the place in the body.

mod config;
mod fleet;
mod instances;
mod membership;
mod rollout;
mod weights;

use crate::Controller;
use crate::service::Rejection;
use futures_util::StreamExt;
use std::sync::Arc;

/// What each handler is given: the controller that it answers for.
pub type Context = Arc<Controller>;

/// Typed answer to what can't be taken.
pub fn rejected(status: http::StatusCode, code: &str, message: String) -> dropshot::HttpError {
    let status = dropshot::ErrorStatusCode::from_status(status)
        .unwrap_or(dropshot::ErrorStatusCode::INTERNAL_SERVER_ERROR);
    dropshot::HttpError {
        status_code: status,
        error_code: Some(code.to_owned()),
        external_message: message.clone(),
        internal_message: message,
        headers: None,
    }
}

impl From<Rejection> for dropshot::HttpError {
    fn from(rejection: Rejection) -> Self {
        rejected(rejection.status, rejection.code, rejection.message)
    }
}

/// An answer of JSON.
///
/// # Errors
///
/// The status or a header is none; handlers only use constants.
pub fn json(
    status: http::StatusCode,
    body: impl Into<dropshot::Body>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    http::Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body.into())
        .map_err(|e| dropshot::HttpError::for_internal_error(e.to_string()))
}

/// An answer that shows how something stands.
fn json_view(
    view: &impl serde::Serialize,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body = serde_json::to_string(view)
        .map_err(|error| dropshot::HttpError::for_internal_error(error.to_string()))?;
    json(http::StatusCode::OK, body)
}

/// The body, or 413 where it holds more than it may.
///
/// # Errors
///
/// 413 for a body of more than `most` bytes, and the server's own error where the connection broke.
pub async fn read_limited(
    body: dropshot::StreamingBody,
    most: usize,
) -> Result<bytes::Bytes, dropshot::HttpError> {
    let mut parts = std::pin::pin!(body.into_stream());
    let mut out = bytes::BytesMut::new();
    while let Some(part) = parts.next().await {
        out.extend_from_slice(&part?);
        if out.len() > most {
            let message = format!("more than {most} bytes");
            return Err(rejected(http::StatusCode::PAYLOAD_TOO_LARGE, "too_large", message));
        }
    }
    Ok(out.freeze())
}

/// Starts the server of all handlers.
///
/// # Errors
///
/// The address can't be listened at.
pub fn serve(
    controller: &Context,
    at: std::net::SocketAddr,
) -> Result<dropshot::HttpServer<Context>, std::io::Error> {
    let mut api = dropshot::ApiDescription::new();
    let registered = api
        .register(instances::heartbeat)
        .and_then(|()| api.register(instances::deregister))
        .and_then(|()| api.register(config::replace))
        .and_then(|()| api.register(config::fetch))
        .and_then(|()| api.register(weights::put))
        .and_then(|()| api.register(fleet::view))
        .and_then(|()| api.register(rollout::view))
        .and_then(|()| api.register(membership::view));
    registered.map_err(|e| std::io::Error::other(e.to_string()))?;
    let settings = dropshot::ConfigDropshot {
        bind_address: at,
        default_request_body_max_bytes: fleet_core::constants::CONFIG_BYTES * 2,
        default_handler_task_mode: dropshot::HandlerTaskMode::Detached,
        ..Default::default()
    };
    let quiet = slog::Logger::root(slog::Discard, slog::o!());
    dropshot::ServerBuilder::new(api, controller.clone(), quiet)
        .config(settings)
        .start()
        .map_err(|e| std::io::Error::other(e.to_string()))
}
