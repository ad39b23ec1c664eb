//! Names of headers on the way through, and what they hold.

use crate::fleet_view::routing_table::Tenant;
use fleet_core::configuration::Route;
use fleet_core::constants;
use http::{HeaderMap, HeaderName, header};
use smallvec::SmallVec;
use std::time::Duration;

/// The client's id of this try; engines repeat it.
pub const ATTEMPT_ID: HeaderName = HeaderName::from_static("x-attempt-id");
/// The event after which a stream goes on.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// An engine's stamp on its answer.
pub const SERVER_SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// ms that the caller waits.
pub const DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
/// A tenant's key; no engine sees it.
pub const KEY: HeaderName = HeaderName::from_static("x-key");
/// The name of the key's tenant.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// The only engine that may run the request.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-target-instance");
/// The version of the weights that the request may run under.
pub const EXPECTED_VERSION: HeaderName = HeaderName::from_static("x-expected-version");
/// The salt under which blocks of the prompt are cached.
pub const CACHE_SALT: HeaderName = HeaderName::from_static("x-cache-salt");
/// How soon the engine admits the request.
pub const URGENCY: HeaderName = HeaderName::from_static("x-urgency");
/// Where the engine may take parts of the prompt from.
pub const KV_SOURCE: HeaderName = HeaderName::from_static("x-kv-source");
/// The store that the engine sends its parts to.
pub const KV_SINK: HeaderName = HeaderName::from_static("x-kv-sink");
/// An engine's proof that it has not run the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// An engine's running and waiting requests, and its slots.
pub const INSTANCE_LOAD: HeaderName = HeaderName::from_static("x-instance-load");
/// The version of the weights that an answer was made with.
pub const WEIGHT_VERSIONS: HeaderName = HeaderName::from_static("x-weight-versions");
/// How long the peer keeps an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers of a client that are not sent on: those of one connection, and those that only we set.
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

/// Headers of an engine's answer that concern its connection to us alone.
static STRIPPED_FROM_RESPONSES: [HeaderName; 5] =
    [header::CONNECTION, header::TRANSFER_ENCODING, header::TRAILER, header::UPGRADE, KEEP_ALIVE];

/// Headers that no `Connection` header can take away: they say what the message is.
static ALWAYS_KEPT: [HeaderName; 6] = [
    header::HOST,
    header::CONTENT_TYPE,
    header::CONTENT_LENGTH,
    ATTEMPT_ID,
    LAST_EVENT_ID,
    SERVER_SEAL,
];

/// Removes the headers that the message itself names as those of one connection.
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

/// Leaves what an engine may see of a client's headers.
pub fn strip_request(headers: &mut HeaderMap) {
    strip_connection_options(headers);
    for name in &STRIPPED_FROM_REQUESTS {
        headers.remove(name);
    }
}

/// Leaves what a client may see of an engine's headers.
pub fn strip_answer(headers: &mut HeaderMap) {
    strip_connection_options(headers);
    for name in &STRIPPED_FROM_RESPONSES {
        headers.remove(name);
    }
}

/// The header's text, if it is there and is text.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// How long the client waits; none if malformed.
pub fn read_deadline(headers: &HeaderMap) -> Option<Duration> {
    let Some(value) = headers.get(DEADLINE_MS) else { return Some(constants::DEADLINE_DEFAULT) };
    let ms: f64 = value.to_str().ok()?.trim().parse().ok()?;
    if !(0.0..1e9).contains(&ms) {
        return None;
    }
    Some(Duration::from_secs_f64(ms / 1000.0))
}

/// A tenant's rank goes before the route's; 0 is first.
pub fn urgency(route: &Route, tenant: Option<&Tenant>) -> u64 {
    let rank = tenant.map_or(0, |t| t.priority).clamp(0, 4) as u64;
    (rank * 2 + route.priority.clamp(0, 1) as u64).min(9)
}

#[cfg(test)]
#[path = "headers_tests.rs"]
mod tests;
