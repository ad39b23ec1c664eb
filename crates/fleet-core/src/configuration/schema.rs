//! The schema of a configuration, with the defaults of optional fields.

use serde::Deserialize;
use validator::Validate;

/// Retry semantics of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// Idempotent: a request may be executed more than once.
    Safe,
    /// A request may be executed at most once.
    Unsafe,
    /// The response is an event stream; a request may be executed at most once unless the stream can be resumed.
    Streaming,
}

/// A service with its weight in the traffic split of a route.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct WeightedService {
    /// Name of the service.
    pub service: String,
    /// Weight in relation to the other weights of the route; a service of weight 0 gets no requests.
    #[serde(default)]
    pub weight: u32,
}

/// Matches requests by host and path prefix and defines where and how they are sent.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// Descriptive name; may be empty.
    #[serde(default)]
    pub name: String,
    /// Host to match; case-insensitive.
    pub host: String,
    /// Path prefix to match; the longest matching prefix wins.
    pub path_prefix: String,
    /// Whether and how requests may be retried.
    pub kind: RouteKind,
    /// Maximum time in ms that a request is held; at least 1.
    #[serde(deserialize_with = "deserialize_whole_number")]
    #[validate(range(min = 1))]
    pub timeout_ms: u64,
    /// Target latency in ms: a response within this time has its full value; 0 for none.
    #[serde(default, deserialize_with = "deserialize_whole_number")]
    pub target_ms: u64,
    /// Priority; 0 is the highest. A tenant's priority takes precedence.
    #[serde(default)]
    pub priority: i64,
    /// The only service, if there is no split.
    #[serde(default)]
    pub service: Option<String>,
    /// Services with their weights; takes precedence over `service`.
    #[serde(default)]
    pub split: Option<Vec<WeightedService>>,
    /// Maximum number of engines that one request may be sent to; defaults to 1.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
    /// Whether requests need no API key.
    #[serde(default)]
    pub public: bool,
    /// Whether requests share prompt prefixes.
    #[serde(default)]
    pub sticky: bool,
    /// Whether an interrupted stream may be resumed at another engine.
    #[serde(default)]
    pub resumable: bool,
    /// Maximum pause in ms between two events of a stream that is on time; 0 for none.
    #[serde(default, deserialize_with = "deserialize_whole_number")]
    pub gap_target_ms: u64,
}

/// Also accepts whole numbers that are written with a fraction, such as `5.0`.
fn deserialize_whole_number<'de, D: serde::Deserializer<'de>>(
    deserializer: D,
) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if !(0.0..1e15).contains(&number) || number.fract() != 0.0 {
        return Err(serde::de::Error::custom("not a whole number"));
    }
    Ok(number as u64)
}

fn default_max_attempts() -> u32 {
    1
}

/// A model that engines serve.
#[derive(Debug, Clone, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
}

/// Declared properties of the engines of a service; 0 where not given.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    #[serde(default)]
    pub slots: u32,
    /// Capacity of the KV cache in tokens, for running requests and cached prefixes together.
    #[serde(default)]
    pub kv_capacity: u64,
    /// Size in bytes of one token in a KV transfer.
    #[serde(default)]
    pub kv_token_bytes: f64,
    /// Bandwidth of the engine's network link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: f64,
    /// Number of control calls that it accepts concurrently, in addition to requests.
    #[serde(default)]
    pub max_inflight: u32,
    /// Models that it serves.
    #[serde(default)]
    pub models: Vec<Model>,
}

/// A group of interchangeable engines, or a store of cached prefixes.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    /// Its name; never empty.
    #[validate(length(min = 1))]
    pub name: String,
    /// Maximum number of connections that one engine accepts from all clients together.
    #[serde(default)]
    pub max_conns: u32,
    /// Properties of its engines; `None` for a store.
    #[serde(default)]
    pub engine: Option<EngineSpec>,
    /// Address of the store; `None` for a group of engines.
    #[serde(default)]
    pub kv_store: Option<String>,
    /// Zone of the store.
    #[serde(default)]
    pub zone: Option<String>,
    /// Capacity of the store in tokens.
    #[serde(default)]
    pub kv_capacity: u64,
    /// Bandwidth of the store's network link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: f64,
    /// Number of calls that the store accepts concurrently.
    #[serde(default)]
    pub max_inflight: u32,
}

/// Limits on client requests and connections.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Maximum size of a request's head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout in ms for receiving a request's head.
    pub header_timeout_ms: u64,
    /// Time in ms after which an idle client connection is closed.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
            header_timeout_ms: 5000,
            idle_timeout_ms: 30_000,
        }
    }
}

/// A customer of the fleet, identified by API keys.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    /// Its name; never empty.
    #[validate(length(min = 1))]
    pub name: String,
    /// API keys that identify the tenant.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Priority of its requests, which takes precedence over the route's; 0 is the highest.
    #[serde(default)]
    pub priority: i64,
    /// Whether its cached prefixes are not shared with other tenants.
    #[serde(default)]
    pub isolated: bool,
}

/// The complete configuration of the fleet.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Configuration {
    /// Revision number; a configuration replaces those with lower numbers.
    pub revision: u64,
    /// Routes in any order; each has a unique host and prefix.
    #[validate(nested)]
    pub routes: Vec<Route>,
    /// Engine services and stores.
    #[validate(nested)]
    pub services: Vec<Service>,
    /// Limits on client requests and connections.
    #[serde(default)]
    pub limits: Limits,
    /// Tenants; empty if no request needs an API key.
    #[serde(default)]
    #[validate(nested)]
    pub tenants: Vec<Tenant>,
}

impl Route {
    /// The services of the route with their weights; a single `service` has weight 1.
    pub fn weighted_services(&self) -> Vec<(&str, u32)> {
        if let Some(split) = &self.split {
            return split.iter().map(|share| (share.service.as_str(), share.weight)).collect();
        }
        self.service.iter().map(|service| (service.as_str(), 1)).collect()
    }
}
