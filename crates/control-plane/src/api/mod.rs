//! The HTTP API for engines and operators: one handler per call, one file per resource.
//!
//! Handlers only translate between HTTP and [`crate::service`], which makes all decisions. They receive bodies as raw
//! bytes rather than typed by the server, so that the message of a 400 can name the location in the body.

mod answer_body;
mod config;
mod fleet;
mod instances;
mod membership;
mod rollout;
mod weights;

use crate::Controller;
use crate::process::Process;
use crate::service::Rejection;
use fleet_core::body_collector::{BodyCollector, BodyLimits, CollectError};
use fleet_core::byte_budget::ReservedBytes;
use fleet_core::constants;
use futures_util::StreamExt;
use std::sync::Arc;

/// Context of all handlers: the controller that they serve.
pub type Context = Arc<Controller>;

/// Builds an error response with a machine-readable code and a message.
pub fn error_response(
    status: http::StatusCode,
    code: &str,
    message: String,
) -> dropshot::HttpError {
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
        error_response(rejection.status, rejection.code, rejection.message)
    }
}

/// Builds a JSON response.
///
/// # Errors
///
/// The status or a header is invalid, which can't happen with the constants that handlers pass.
pub fn json_response(
    status: http::StatusCode,
    body: impl Into<dropshot::Body>,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    http::Response::builder()
        .status(status)
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(body.into())
        .map_err(|error| dropshot::HttpError::for_internal_error(error.to_string()))
}

/// Serializes a view into a JSON response with status 200.
fn json_view(
    view: &impl serde::Serialize,
) -> Result<http::Response<dropshot::Body>, dropshot::HttpError> {
    let body = serde_json::to_string(view)
        .map_err(|error| dropshot::HttpError::for_internal_error(error.to_string()))?;
    json_response(http::StatusCode::OK, body)
}

/// Reads a request body of at most `max_bytes` bytes. What it has beyond the size of a heartbeat comes from a budget of
/// all calls.
///
/// # Errors
///
/// 413 for a body of more than `max_bytes` bytes, 503 if other calls use up the budget or the caller sends too slowly,
/// and the server's own error if reading from the connection fails.
pub async fn read_limited(
    process: &Process,
    body: dropshot::StreamingBody,
    max_bytes: usize,
) -> Result<ReservedBytes, dropshot::HttpError> {
    let reading = read_within_budget(process, body, max_bytes);
    match tokio::time::timeout(constants::CALL_BODY_TIMEOUT, reading).await {
        Ok(body) => body,
        Err(_) => Err(Rejection::unavailable("too_slow", "the body did not arrive in time").into()),
    }
}

async fn read_within_budget(
    process: &Process,
    body: dropshot::StreamingBody,
    max_bytes: usize,
) -> Result<ReservedBytes, dropshot::HttpError> {
    let mut chunks = std::pin::pin!(body.into_stream());
    let limits = BodyLimits { max_bytes, free_bytes: constants::HEARTBEAT_MAX_BYTES };
    let mut collector = BodyCollector::new(Some(&process.call_body_budget), limits);
    while let Some(chunk) = chunks.next().await {
        collector.push(&chunk?).map_err(|error| reject_body(error, max_bytes))?;
    }
    collector.finish().map_err(|error| reject_body(error, max_bytes))
}

fn reject_body(error: CollectError, max_bytes: usize) -> dropshot::HttpError {
    match error {
        CollectError::TooLarge => {
            let message = format!("more than {max_bytes} bytes");
            error_response(http::StatusCode::PAYLOAD_TOO_LARGE, "too_large", message)
        }
        CollectError::Overloaded => {
            Rejection::unavailable("overloaded", "too many large calls").into()
        }
    }
}

/// Starts the HTTP server of the API.
///
/// # Errors
///
/// The server can't listen on the address.
pub fn serve(
    controller: &Context,
    address: std::net::SocketAddr,
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
    registered.map_err(|error| std::io::Error::other(error.to_string()))?;
    let settings = dropshot::ConfigDropshot {
        bind_address: address,
        default_request_body_max_bytes: constants::CONFIG_MAX_BYTES * 2,
        default_handler_task_mode: dropshot::HandlerTaskMode::Detached,
        ..Default::default()
    };
    let discard_log = slog::Logger::root(slog::Discard, slog::o!());
    dropshot::ServerBuilder::new(api, controller.clone(), discard_log)
        .config(settings)
        .start()
        .map_err(|error| std::io::Error::other(error.to_string()))
}
