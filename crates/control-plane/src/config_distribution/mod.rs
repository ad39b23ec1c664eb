//! Distributes configurations to routers: each is confirmed by a majority, and sent as a delta where possible.
//!
//! A router sends the digest of the body that it has. If that body is still retained here, the router gets a delta
//! against it, otherwise the full compressed body. When a configuration comes into force, all routers request it at the
//! same time: requests that wait behind a read share the next one.

mod bodies;
mod shared_read;

use crate::consensus::{ConfigObserver, Consensus, state_machine};
use bodies::Bodies;
use fleet_core::constants;
use fleet_core::digest::BodyDigest;
use fleet_core::wire::{ConfigPayload, ConfigRequest, ConfigResponse, ConfigValue};
use parking_lot::Mutex;
use prost::Message;
use shared_read::SharedRead;
use std::sync::Arc;

/// The most recent configurations, and data derived from them. No other lock is taken while either lock is held.
#[derive(Default)]
pub struct ConfigBodies {
    bodies: Mutex<Bodies>,
    kv_stores: Mutex<KvStores>,
}

/// Addresses of the KV stores in a configuration, with the digest of that configuration.
#[derive(Default)]
struct KvStores {
    digest: bytes::Bytes,
    addresses: Vec<String>,
}

impl ConfigBodies {
    /// Retains a committed body, so that routers that have it can be sent deltas against it.
    pub fn retain(&self, value: &ConfigValue) {
        if let Some(digest) = BodyDigest::from_bytes(&value.digest) {
            self.bodies.lock().retain(digest, value.compressed_body.clone());
        }
    }

    /// Builds the response to a router, given the digest of the body that it has.
    pub fn respond(&self, request: &ConfigRequest, value: &ConfigValue) -> ConfigResponse {
        self.retain(value);
        let payload = if request.digest == value.digest {
            None
        } else {
            Some(self.choose_form(request, value))
        };
        ConfigResponse {
            version: value.version,
            isolation: value.isolation,
            digest: value.digest.clone(),
            payload,
        }
    }

    /// A delta if the base body is still retained and the delta is smaller than the full body; otherwise the full body.
    fn choose_form(&self, request: &ConfigRequest, value: &ConfigValue) -> ConfigPayload {
        let full = ConfigPayload::Full(value.compressed_body.clone());
        let (Some(base), Some(target)) =
            (BodyDigest::from_bytes(&request.digest), BodyDigest::from_bytes(&value.digest))
        else {
            return full;
        };
        match self.bodies.lock().delta(base, target) {
            Some(delta) if delta.len() < value.compressed_body.len() => ConfigPayload::Delta(delta),
            _ => full,
        }
    }

    /// Addresses of the KV stores in a configuration. The result is cached, so that each configuration is parsed only
    /// once.
    pub fn kv_stores(&self, value: &ConfigValue) -> Vec<String> {
        let mut cached = self.kv_stores.lock();
        if cached.digest != value.digest {
            let body = value.body().unwrap_or_default();
            let services = fleet_core::configuration::Configuration::parse(&body)
                .map(|configuration| configuration.services)
                .unwrap_or_default();
            *cached = KvStores {
                digest: value.digest.clone(),
                addresses: services.into_iter().filter_map(|service| service.kv_store).collect(),
            };
        }
        cached.addresses.clone()
    }
}

impl ConfigObserver for ConfigBodies {
    fn config_committed(&self, value: &ConfigValue) {
        self.retain(value);
    }
}

/// Serves the configuration in force to routers.
pub struct ConfigDistribution {
    consensus: Arc<Consensus>,
    bodies: Arc<ConfigBodies>,
    confirmed_read: SharedRead<ConfigValue>,
}

impl ConfigDistribution {
    /// `consensus` is used to read the configuration in force, `bodies` to compute deltas.
    pub fn new(consensus: Arc<Consensus>, bodies: Arc<ConfigBodies>) -> ConfigDistribution {
        ConfigDistribution { consensus, bodies, confirmed_read: SharedRead::default() }
    }

    /// The committed configuration, confirmed by a majority after this call; `None` if there is none, or if no majority
    /// confirms one in time.
    async fn read_confirmed(&self) -> Option<Arc<ConfigValue>> {
        let read = async {
            let read = self.consensus.read(state_machine::CONFIG);
            let chosen = tokio::time::timeout(constants::CHANGE_TIMEOUT, read).await.ok()??;
            ConfigValue::decode(chosen.value).ok().filter(|value| value.version > 0)
        };
        self.confirmed_read.get(read).await
    }

    /// Answers a router's request for the configuration in force. The version is 0 if no majority confirms one; the
    /// router then tries another controller.
    pub async fn answer(&self, request: &ConfigRequest) -> ConfigResponse {
        let value = self.read_confirmed().await;
        value.map_or_else(ConfigResponse::default, |value| self.bodies.respond(request, &value))
    }
}

#[cfg(test)]
#[path = "distribution_tests.rs"]
mod tests;
