//! Giving configurations to routers: confirmed by a majority, and only what changed of them.

mod bodies;
mod shared_read;

use crate::Controller;
use crate::consensus::state_machine;
use bodies::Bodies;
use fleet_core::constants;
use fleet_core::digest::BodyDigest;
use fleet_core::wire::{ConfigForm, ConfigRequest, ConfigResponse, ConfigValue};
use prost::Message;
use shared_read::SharedRead;
use std::sync::Arc;

/// What a controller keeps for the routers that ask it.
#[derive(Default)]
pub struct ConfigDistribution {
    bodies: parking_lot::Mutex<Bodies>,
    confirmed: SharedRead<ConfigValue>,
    kv_stores: parking_lot::Mutex<KvStores>,
}

/// Addresses of the stores that a configuration names.
#[derive(Default)]
struct KvStores {
    digest: bytes::Bytes,
    addresses: Vec<String>,
}

impl ConfigDistribution {
    /// Keeps a committed body, so that routers that have it get only what changed since.
    pub fn remember(&self, value: &ConfigValue) {
        if let Some(digest) = BodyDigest::from_bytes(&value.digest) {
            self.bodies.lock().remember(digest, value.packed.clone());
        }
    }

    /// The answer to a router that tells which body it has.
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

/// The committed configuration, confirmed by a majority after this call; None if none is known.
async fn confirmed(controller: &Arc<Controller>) -> Option<Arc<ConfigValue>> {
    let read = async {
        let read =
            tokio::time::timeout(constants::CHANGE_TIMEOUT, controller.read(state_machine::CONFIG));
        let (_, value) = read.await.ok()??;
        ConfigValue::decode(value).ok().filter(|value| value.version > 0)
    };
    controller.config_distribution.confirmed.get(read).await
}

/// Answers a router that asks for the configuration in force; version 0 where no majority confirms
/// one, so that the router goes on to another controller.
pub async fn answer(controller: &Arc<Controller>, request: &ConfigRequest) -> ConfigResponse {
    let value = confirmed(controller).await;
    value.map_or_else(ConfigResponse::default, |value| {
        controller.config_distribution.respond(request, &value)
    })
}

#[cfg(test)]
#[path = "distribution_tests.rs"]
mod tests;
