//! Gives configurations to routers: confirmed by a majority, and only what changed of them.
//!
//! A router says which body it has. Where that one is still retained here it gets a delta against it, else the
//! complete body, deflated. When a configuration comes into force all routers ask at once: those that wait behind a
//! read share the next one.

mod bodies;
mod shared_read;

use crate::consensus::{ConfigObserver, Consensus, state_machine};
use bodies::Bodies;
use fleet_core::constants;
use fleet_core::digest::BodyDigest;
use fleet_core::wire::{ConfigForm, ConfigRequest, ConfigResponse, ConfigValue};
use parking_lot::Mutex;
use prost::Message;
use shared_read::SharedRead;
use std::sync::Arc;

/// The last configurations that were in force, and what is derived from them. Both locks are leaves.
#[derive(Default)]
pub struct ConfigBodies {
    bodies: Mutex<Bodies>,
    kv_stores: Mutex<KvStores>,
}

/// Addresses of the stores that a configuration names.
#[derive(Default)]
struct KvStores {
    digest: bytes::Bytes,
    addresses: Vec<String>,
}

impl ConfigBodies {
    /// Keeps a committed body, so that routers that have it get only what changed since.
    pub fn remember(&self, value: &ConfigValue) {
        if let Some(digest) = BodyDigest::from_bytes(&value.digest) {
            self.bodies.lock().remember(digest, value.packed.clone());
        }
    }

    /// The answer to a router that says which body it has.
    pub fn respond(&self, request: &ConfigRequest, value: &ConfigValue) -> ConfigResponse {
        self.remember(value);
        let form =
            if request.digest == value.digest { None } else { Some(self.form(request, value)) };
        ConfigResponse {
            version: value.version,
            isolation: value.isolation,
            digest: value.digest.clone(),
            form,
        }
    }

    /// A delta where the former body is still kept and the delta is smaller than the whole.
    fn form(&self, request: &ConfigRequest, value: &ConfigValue) -> ConfigForm {
        let complete = ConfigForm::Full(value.packed.clone());
        let (Some(former), Some(new)) =
            (BodyDigest::from_bytes(&request.digest), BodyDigest::from_bytes(&value.digest))
        else {
            return complete;
        };
        match self.bodies.lock().delta(former, new) {
            Some(delta) if delta.len() < value.packed.len() => ConfigForm::Delta(delta),
            _ => complete,
        }
    }

    /// Addresses of the stores in the configuration that was learned last; it is read once.
    pub fn kv_stores(&self, value: &ConfigValue) -> Vec<String> {
        let mut retained = self.kv_stores.lock();
        if retained.digest != value.digest {
            let body = value.body().unwrap_or_default();
            let services = fleet_core::configuration::Configuration::read(&body)
                .map(|configuration| configuration.services)
                .unwrap_or_default();
            *retained = KvStores {
                digest: value.digest.clone(),
                addresses: services.into_iter().filter_map(|service| service.kv_store).collect(),
            };
        }
        retained.addresses.clone()
    }
}

impl ConfigObserver for ConfigBodies {
    fn config_committed(&self, value: &ConfigValue) {
        self.remember(value);
    }
}

/// Gives configurations to routers.
pub struct ConfigDistribution {
    consensus: Arc<Consensus>,
    bodies: Arc<ConfigBodies>,
    confirmed: SharedRead<ConfigValue>,
}

impl ConfigDistribution {
    /// Reads through this node's part in the agreement.
    pub fn new(consensus: Arc<Consensus>, bodies: Arc<ConfigBodies>) -> ConfigDistribution {
        ConfigDistribution { consensus, bodies, confirmed: SharedRead::default() }
    }

    /// The committed configuration, confirmed by a majority after this call; none if there is none, or no
    /// majority confirms one.
    async fn confirmed(&self) -> Option<Arc<ConfigValue>> {
        let read = async {
            let read = self.consensus.read(state_machine::CONFIG);
            let chosen = tokio::time::timeout(constants::CHANGE_TIMEOUT, read).await.ok()??;
            ConfigValue::decode(chosen.value).ok().filter(|value| value.version > 0)
        };
        self.confirmed.get(read).await
    }

    /// Answers a router that asks for the configuration in force; version 0 where no majority confirms one, so
    /// that the router goes on to another controller.
    pub async fn answer(&self, request: &ConfigRequest) -> ConfigResponse {
        let value = self.confirmed().await;
        value.map_or_else(ConfigResponse::default, |value| self.bodies.respond(request, &value))
    }
}

#[cfg(test)]
#[path = "distribution_tests.rs"]
mod tests;
