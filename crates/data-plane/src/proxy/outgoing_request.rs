//! The request as an engine receives it.

use super::headers;
use super::stage::ClientRequest;
use crate::load_balancer::Choice;
use crate::pool::connection::RequestBody;
use http::{HeaderValue, Request};
use tokio::time::Instant;

/// The request with the headers that the engine receives; `None` if a name does not fit into a header.
pub fn build(
    request: &ClientRequest,
    choice: &Choice,
    resume_after: Option<&str>,
) -> Option<Request<RequestBody>> {
    let remaining_ms =
        request.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
    let urgency = headers::urgency(&request.route, request.tenant.as_deref());
    let tenant = request.tenant.as_ref().map(|t| t.name.as_str());
    let mut outgoing = Request::new(RequestBody::new(request.body.bytes.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let head = outgoing.headers_mut();
    *head = request.headers.clone();
    head.insert(headers::DEADLINE_MS, HeaderValue::from(remaining_ms));
    head.insert(headers::URGENCY, HeaderValue::from(urgency));
    if let Some(version) = choice.version {
        head.insert(headers::EXPECTED_VERSION, HeaderValue::from(version));
    }
    let optional_headers = [
        (headers::TARGET_INSTANCE, Some(choice.engine.id.as_str())),
        (headers::TENANT, tenant),
        (headers::CACHE_SALT, choice.salt.as_deref()),
        (headers::KV_SOURCE, choice.source.as_deref()),
        (headers::KV_SINK, choice.sink.as_deref()),
        (headers::LAST_EVENT_ID, resume_after),
    ];
    for (name, text) in optional_headers {
        let Some(text) = text else { continue };
        head.insert(name, HeaderValue::from_str(text).ok()?);
    }
    Some(outgoing)
}
