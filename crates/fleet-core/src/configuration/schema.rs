//! The form of a configuration, with the defaults of what may be left out.

use serde::Deserialize;
use validator::Validate;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A request may run more than once.
    Safe,
    /// A request may run at most once.
    Unsafe,
    /// The answer is a series of events; a request may run at most once unless it can be resumed.
    Streaming,
}

/// A service's share of a route.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Share {
    /// Name of the service.
    pub service: String,
    /// Its part, in relation to the other weights of the route; 0 for none.
    #[serde(default)]
    pub weight: u32,
}

/// Which requests go to which service, and how.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    /// For people; may be empty.
    #[serde(default)]
    pub name: String,
    /// Host that it belongs to; case does not count.
    pub host: String,
    /// Start of the paths that it takes; of several, the longest wins.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a request is held, in ms; at least 1.
    #[serde(deserialize_with = "whole")]
    #[validate(range(min = 1))]
    pub timeout_ms: u64,
    /// Time in ms within which an answer is worth most; 0 for none.
    #[serde(default, deserialize_with = "whole")]
    pub target_ms: u64,
    /// Rank, 0 is the highest; a tenant's goes before it.
    #[serde(default)]
    pub priority: i64,
    /// The only service, if there is no split.
    #[serde(default)]
    pub service: Option<String>,
    /// Services with their weights; goes before `service`.
    #[serde(default)]
    pub split: Option<Vec<Share>>,
    /// Engines that one request may be sent to; 1 if not given.
    #[serde(default = "one")]
    pub max_attempts: u32,
    /// Whether requests need no key.
    #[serde(default)]
    pub public: bool,
    /// Whether requests share parts of their prompts.
    #[serde(default)]
    pub sticky: bool,
    /// Whether a broken stream may go on at another engine.
    #[serde(default)]
    pub resumable: bool,
    /// Longest pause in ms between two events of a stream that is in time; 0 for none.
    #[serde(default, deserialize_with = "whole")]
    pub gap_target_ms: u64,
}

/// Whole numbers are also taken when written as fractions.
fn whole<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let number = f64::deserialize(deserializer)?;
    if !(0.0..1e15).contains(&number) || number.fract() != 0.0 {
        return Err(serde::de::Error::custom("not a whole number"));
    }
    Ok(number as u64)
}

fn one() -> u32 {
    1
}

/// A model that engines run.
#[derive(Debug, Clone, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
}

/// What the operator says of the engines of a service. 0 where not given.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineFacts {
    /// Requests that an engine runs at a time.
    #[serde(default)]
    pub slots: u32,
    /// Tokens of running requests and kept parts that fit its memory.
    #[serde(default)]
    pub kv_capacity: u64,
    /// Bytes of a token that is moved.
    #[serde(default)]
    pub kv_token_bytes: f64,
    /// The engine's line, in Mbit/s.
    #[serde(default)]
    pub link_mbps: f64,
    /// Calls that it takes at a time besides requests.
    #[serde(default)]
    pub max_inflight: u32,
    /// Models that it runs.
    #[serde(default)]
    pub models: Vec<Model>,
}

/// A group of engines that answer alike, or a store of kept prompts.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    /// Its name; never empty.
    #[validate(length(min = 1))]
    pub name: String,
    /// Connections that one engine takes from all callers together.
    #[serde(default)]
    pub max_conns: u32,
    /// What its engines are; none for a store.
    #[serde(default)]
    pub engine: Option<EngineFacts>,
    /// Address of the store; only a store has one.
    #[serde(default)]
    pub kv_store: Option<String>,
    /// Zone of the store.
    #[serde(default)]
    pub zone: Option<String>,
    /// Tokens that the store holds.
    #[serde(default)]
    pub kv_capacity: u64,
    /// The store's line, in Mbit/s.
    #[serde(default)]
    pub link_mbps: f64,
    /// Calls that the store takes at a time.
    #[serde(default)]
    pub max_inflight: u32,
}

/// Limits on what clients send.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Longest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time in ms for a head to arrive.
    pub header_timeout_ms: u64,
    /// Time in ms that a connection without a request stays open.
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

/// Who requests belong to.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    /// Its name; never empty.
    #[validate(length(min = 1))]
    pub name: String,
    /// Keys that stand for it.
    #[serde(default)]
    pub api_keys: Vec<String>,
    /// Rank of its requests, before the route's; 0 is the highest.
    #[serde(default)]
    pub priority: i64,
    /// Whether it shares no kept prompts with others.
    #[serde(default)]
    pub isolated: bool,
}

/// The operator's configuration as a whole.
#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Configuration {
    /// The operator's number of it; higher ones replace lower ones.
    pub revision: u64,
    /// All routes.
    #[validate(nested)]
    pub routes: Vec<Route>,
    /// All services and stores.
    #[validate(nested)]
    pub services: Vec<Service>,
    /// Limits on what clients send.
    #[serde(default)]
    pub limits: Limits,
    /// All tenants; none if requests need no key.
    #[serde(default)]
    #[validate(nested)]
    pub tenants: Vec<Tenant>,
}

impl Route {
    /// The services that it goes to, with their weights.
    pub fn shares(&self) -> Vec<(&str, u32)> {
        if let Some(split) = &self.split {
            return split.iter().map(|share| (share.service.as_str(), share.weight)).collect();
        }
        self.service.iter().map(|service| (service.as_str(), 1)).collect()
    }
}
