//! Names of the headers that a router reads or sets, and how their values are read.

use crate::fleet_view::tenants::Tenant;
use fleet_core::configuration::Route;
use fleet_core::constants;
use http::{HeaderMap, HeaderName, header};
use smallvec::SmallVec;
use std::time::Duration;

/// The client's id of this attempt; engines repeat it in their responses.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// The event after which a stream is to be resumed.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// The seal that an engine puts on its responses; a success without it is not relayed.
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// Milliseconds until the caller's deadline.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// A tenant's API key; not forwarded to engines.
pub const KEY: HeaderName = HeaderName::from_static("x-key");
/// The name of the tenant to which the API key belongs.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// The id of the only engine instance that may run the request.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
/// The version of the weights with which the request is to run.
pub const EXPECTED_VERSION: HeaderName = HeaderName::from_static("x-expected-version");
/// The salt under which KV blocks of the prompt are cached.
pub const CACHE_SALT: HeaderName = HeaderName::from_static("x-cache-salt");
/// Scheduling priority at the engine, 0 to 9; 0 is admitted first.
pub const URGENCY: HeaderName = HeaderName::from_static("x-urgency");
/// The address from which the engine may fetch KV blocks of the prompt.
pub const KV_SOURCE: HeaderName = HeaderName::from_static("x-kv-source");
/// The address of the store to which the engine sends its KV blocks.
pub const KV_SINK: HeaderName = HeaderName::from_static("x-kv-sink");
/// Set by an engine that has not run the request and never will.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// An engine's running requests, waiting requests and slots, separated by commas.
pub const INSTANCE_LOAD: HeaderName = HeaderName::from_static("x-instance-load");
/// The version of the weights with which a response was made.
pub const WEIGHT_VERSIONS: HeaderName = HeaderName::from_static("x-weight-versions");
/// How long the peer keeps an idle connection (`timeout=` in seconds).
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Request headers that are not forwarded: hop-by-hop headers, and those that only the router may set.
static STRIPPED_FROM_REQUESTS: [HeaderName; 20] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
    KEY,
    TENANT,
    TARGET_INSTANCE,
    EXPECTED_VERSION,
    CACHE_SALT,
    URGENCY,
    KV_SOURCE,
    KV_SINK,
    DEADLINE_MS,
];

/// Hop-by-hop headers of an engine's response.
static STRIPPED_FROM_RESPONSES: [HeaderName; 5] =
    [header::CONNECTION, header::TRANSFER_ENCODING, header::TRAILER, header::UPGRADE, KEEP_ALIVE];

/// Headers that are kept even if a `Connection` header names them: they frame or identify the message.
static ALWAYS_KEPT: [HeaderName; 6] = [
    header::HOST,
    header::CONTENT_TYPE,
    header::CONTENT_LENGTH,
    ATTEMPT_ID,
    LAST_EVENT_ID,
    SERVER_SEAL,
];

/// Removes the headers that the `Connection` header names as hop-by-hop.
fn strip_connection_options(headers: &mut HeaderMap) {
    let mut options: SmallVec<[HeaderName; 4]> = SmallVec::new();
    for value in headers.get_all(header::CONNECTION) {
        let Ok(list) = value.to_str() else { continue };
        options.extend(list.split(',').filter_map(|name| name.trim().parse::<HeaderName>().ok()));
    }
    for name in options.iter().filter(|name| !ALWAYS_KEPT.contains(name)) {
        headers.remove(name);
    }
}

/// Removes the headers that are not forwarded to an engine.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_connection_options(headers);
    for name in &STRIPPED_FROM_REQUESTS {
        headers.remove(name);
    }
}

/// Removes the headers that are not relayed to a client.
pub fn strip_response(headers: &mut HeaderMap) {
    strip_connection_options(headers);
    for name in &STRIPPED_FROM_RESPONSES {
        headers.remove(name);
    }
}

/// The header's value; `None` if it is absent or not visible ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The time that the client waits, or the default if it sets no deadline; `None` if malformed.
pub fn parse_deadline(headers: &HeaderMap) -> Option<Duration> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Some(constants::DEADLINE_DEFAULT) };
    let ms: f64 = value.to_str().ok()?.trim().parse().ok()?;
    if !(0.0..1e9).contains(&ms) {
        return None;
    }
    Some(Duration::from_secs_f64(ms / 1000.0))
}

/// Whether the body is a stream of server-sent events.
pub fn is_event_stream(headers: &HeaderMap) -> bool {
    let media_type = text(headers, &header::CONTENT_TYPE).and_then(|text| text.split(';').next());
    media_type.is_some_and(|name| name.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// The value of [`URGENCY`]: ordered by the tenant's priority first, then by the route's; 0 is most urgent.
pub fn urgency(route: &Route, tenant: Option<&Tenant>) -> u64 {
    let tenant_priority = tenant.map_or(0, |t| t.priority).clamp(0, 4) as u64;
    (tenant_priority * 2 + route.priority.clamp(0, 1) as u64).min(9)
}

#[cfg(test)]
#[path = "headers_tests.rs"]
mod tests;
