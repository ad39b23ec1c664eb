//! The operator's configuration: its form, and what makes it invalid.

#![expect(missing_docs, reason = "older than the lint; mended when the file is next changed")]

use serde::Deserialize;
use validator::Validate;

#[derive(Debug, Clone, displaydoc::Display, thiserror::Error, PartialEq, Eq)]
pub enum ConfigError {
    /// unreadable: {reason} (line {line}, column {column})
    Unreadable { line: usize, column: usize, reason: String },
    /// {place}: out of bounds
    OutOfBounds { place: String },
    /// {place}: names the unknown service `{service}`
    UnknownService { place: String, service: String },
    /// {place}: same host and prefix as {other}
    SamePlace { place: String, other: String },
    /// {place}: its weights sum to 0
    NoWeight { place: String },
    /// {place}: a key of tenant `{other}` too
    SharedKey { place: String, other: String },
    /// revision: {version} is not above {current}
    VersionNotAbove { version: u64, current: u64 },
}

impl ConfigError {
    pub fn code(&self) -> &'static str {
        match self {
            ConfigError::Unreadable { .. } => "unreadable",
            ConfigError::OutOfBounds { .. } => "out_of_bounds",
            ConfigError::UnknownService { .. } => "unknown_service",
            ConfigError::SamePlace { .. } => "same_place",
            ConfigError::NoWeight { .. } => "no_weight",
            ConfigError::SharedKey { .. } => "shared_key",
            ConfigError::VersionNotAbove { .. } => "version_not_above",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    Safe,
    Unsafe,
    Streaming,
}

#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Share {
    pub service: String,
    #[serde(default)]
    pub weight: u32,
}

#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Route {
    #[serde(default)]
    pub name: String,
    pub host: String,
    pub path_prefix: String,
    pub kind: Kind,
    #[serde(deserialize_with = "whole")]
    #[validate(range(min = 1))]
    pub timeout_ms: u64,
    #[serde(default, deserialize_with = "whole")]
    pub target_ms: u64,
    #[serde(default)]
    pub priority: i64,
    #[serde(default)]
    pub service: Option<String>,
    #[serde(default)]
    pub split: Option<Vec<Share>>,
    #[serde(default = "one")]
    pub max_attempts: u32,
    #[serde(default)]
    pub public: bool,
    #[serde(default)]
    pub sticky: bool,
    #[serde(default)]
    pub resumable: bool,
    #[serde(default, deserialize_with = "whole")]
    pub gap_target_ms: u64,
}

/// Whole numbers are also taken when written as fractions.
fn whole<'de, D: serde::Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
    let v = f64::deserialize(d)?;
    if !(0.0..1e15).contains(&v) || v.fract() != 0.0 {
        return Err(serde::de::Error::custom("not a whole number"));
    }
    Ok(v as u64)
}

fn one() -> u32 {
    1
}

#[derive(Debug, Clone, Deserialize)]
pub struct Model {
    pub name: String,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EngineFacts {
    #[serde(default)]
    pub slots: u32,
    #[serde(default)]
    pub kv_capacity: u64,
    #[serde(default)]
    pub kv_token_bytes: f64,
    #[serde(default)]
    pub link_mbps: f64,
    #[serde(default)]
    pub max_inflight: u32,
    #[serde(default)]
    pub models: Vec<Model>,
}

#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Service {
    #[validate(length(min = 1))]
    pub name: String,
    #[serde(default)]
    pub max_conns: u32,
    #[serde(default)]
    pub engine: Option<EngineFacts>,
    #[serde(default)]
    pub kv_store: Option<String>,
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(default)]
    pub kv_capacity: u64,
    #[serde(default)]
    pub link_mbps: f64,
    #[serde(default)]
    pub max_inflight: u32,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct Limits {
    pub max_header_bytes: usize,
    pub max_body_bytes: usize,
    pub header_timeout_ms: u64,
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

#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Tenant {
    #[validate(length(min = 1))]
    pub name: String,
    #[serde(default)]
    pub api_keys: Vec<String>,
    #[serde(default)]
    pub priority: i64,
    #[serde(default)]
    pub isolated: bool,
}

#[derive(Debug, Clone, Deserialize, Validate)]
#[serde(rename_all = "camelCase")]
pub struct Configuration {
    pub revision: u64,
    #[validate(nested)]
    pub routes: Vec<Route>,
    #[validate(nested)]
    pub services: Vec<Service>,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    #[validate(nested)]
    pub tenants: Vec<Tenant>,
}

fn first_place(e: &validator::ValidationErrors) -> String {
    for (field, kind) in e.errors() {
        match kind {
            validator::ValidationErrorsKind::List(m) => {
                if let Some((i, inner)) = m.iter().next() {
                    return format!("{field}[{i}].{}", first_place(inner));
                }
            }
            validator::ValidationErrorsKind::Struct(inner) => {
                return format!("{field}.{}", first_place(inner));
            }
            validator::ValidationErrorsKind::Field(_) => return field.to_string(),
        }
    }
    String::new()
}

impl Configuration {
    /// Reads and checks a configuration by itself, without what is in force.
    pub fn read(body: &[u8]) -> Result<Configuration, ConfigError> {
        let c: Configuration = serde_json::from_slice(body).map_err(|e| {
            ConfigError::Unreadable { line: e.line(), column: e.column(), reason: e.to_string() }
        })?;
        c.validate().map_err(|e| ConfigError::OutOfBounds { place: first_place(&e) })?;
        c.check()?;
        Ok(c)
    }

    fn check(&self) -> Result<(), ConfigError> {
        let mut services = hashbrown::HashSet::new();
        for s in &self.services {
            services.insert(s.name.as_str());
        }
        let mut places = hashbrown::HashMap::new();
        for (i, r) in self.routes.iter().enumerate() {
            let place = format!("routes[{i}]");
            let key = (r.host.to_ascii_lowercase(), r.path_prefix.as_str());
            if let Some(other) = places.insert(key, i) {
                return Err(ConfigError::SamePlace { place, other: format!("routes[{other}]") });
            }
            let shares = r.shares();
            for (service, _) in &shares {
                if !services.contains(service) {
                    return Err(ConfigError::UnknownService {
                        place,
                        service: (*service).to_owned(),
                    });
                }
            }
            if shares.iter().map(|(_, w)| u64::from(*w)).sum::<u64>() == 0 {
                return Err(ConfigError::NoWeight { place });
            }
        }
        let mut keys: hashbrown::HashMap<&str, usize> = hashbrown::HashMap::new();
        for (i, t) in self.tenants.iter().enumerate() {
            for (j, k) in t.api_keys.iter().enumerate() {
                if let Some(o) = keys.insert(k.as_str(), i).filter(|o| *o != i) {
                    return Err(ConfigError::SharedKey {
                        place: format!("tenants[{i}].apiKeys[{j}]"),
                        other: self.tenants[o].name.clone(),
                    });
                }
            }
        }
        Ok(())
    }
}

impl Route {
    pub fn shares(&self) -> Vec<(&str, u32)> {
        if let Some(split) = &self.split {
            return split.iter().map(|s| (s.service.as_str(), s.weight)).collect();
        }
        self.service.iter().map(|s| (s.as_str(), 1)).collect()
    }
}

#[cfg(test)]
#[path = "configuration_tests.rs"]
mod tests;
