//! Keeps the configuration up to date. At most one fetch is in progress at a time, and it requests the newest version.

use super::routing_table::RoutingTable;
use crate::Router;
use fleet_core::configuration::ConfigError;
use fleet_core::digest::BodyDigest;
use fleet_core::link::{Link, LinkError};
use fleet_core::log::Event;
use fleet_core::wire::{Body, ConfigDelta, ConfigPayload, ConfigRequest, ConfigResponse};
use fleet_core::{compression, constants, delta};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Reason why a fetch failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FetchError {
    /// no link to a controller is up
    NoLink,
    /// {0}
    Link(#[from] LinkError),
    /// the controller returned no configuration newer than the one in force
    NotNewer,
    /// {0}
    Decompress(#[from] compression::DecompressError),
    /// the configuration delta can't be decoded
    Undecodable,
    /// {0}
    Delta(#[from] delta::DeltaError),
    /// the configuration body doesn't match its digest
    DigestMismatch,
    /// {0}
    Invalid(#[from] ConfigError),
    /// the task that compiles the configuration was aborted
    Aborted,
}

/// The body of a configuration, and its digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigBody {
    /// Digest of `body`.
    pub digest: BodyDigest,
    /// The bytes as the operator submitted them.
    pub body: bytes::Bytes,
}

/// Decodes the body in a response, applying a delta to `current`, and checks it against the digest that a majority of
/// the controllers has confirmed.
///
/// # Errors
///
/// The response has no body, or a delta where `current` is none; the body can't be decompressed; or the body doesn't
/// match the digest.
pub fn rebuild(
    response: &ConfigResponse,
    current: Option<&ConfigBody>,
) -> Result<ConfigBody, FetchError> {
    const MAX_BYTES: usize = constants::CONFIG_MAX_BYTES;
    let body = match (&response.payload, current) {
        (Some(ConfigPayload::Full(compressed)), _) => {
            compression::decompress(compressed, MAX_BYTES)?
        }
        (Some(ConfigPayload::Delta(compressed)), Some(current)) => {
            let decompressed = compression::decompress(compressed, MAX_BYTES)?;
            let delta = ConfigDelta::decode(decompressed).map_err(|_| FetchError::Undecodable)?;
            delta::apply(&delta, &current.body, MAX_BYTES)?
        }
        (Some(ConfigPayload::Delta(_)), None) | (None, _) => return Err(FetchError::NotNewer),
    };
    let digest = BodyDigest::of(&body);
    if digest.as_bytes() != &response.digest[..] {
        return Err(FetchError::DigestMismatch);
    }
    Ok(ConfigBody { digest, body })
}

/// State of the task that fetches configurations.
#[derive(Default)]
struct Fetcher {
    /// The body from which the routing table in force was compiled.
    current: Option<ConfigBody>,
    /// Number of failed fetches since the last successful one.
    failures: u32,
    /// Index of the next link to use, modulo the number of links that are up.
    next_index: usize,
    /// Set after a response could not be decoded or compiled: the next request asks for the full body, not for a delta.
    request_full: bool,
}

impl Fetcher {
    /// Timeout of the next fetch. It is short at first, so that another controller is tried soon, and doubles with
    /// further failures to allow for slow links.
    fn timeout(&self) -> Duration {
        let expects_full = self.current.is_none() || self.request_full;
        let first = if expects_full {
            constants::CONFIG_FULL_FETCH_TIMEOUT
        } else {
            constants::CONFIG_FETCH_TIMEOUT
        };
        let doublings = self.failures.saturating_sub(2).min(8);
        let doubled = first * 2u32.pow(doublings);
        doubled.min(constants::CONFIG_FETCH_TIMEOUT_MAX)
    }

    /// Upper limit of the random pause before the next attempt, in milliseconds.
    fn max_backoff_ms(&self) -> u64 {
        constants::CONFIG_FETCH_BACKOFF_MS << self.failures.min(5)
    }

    fn request(&self) -> ConfigRequest {
        let current = self.current.as_ref().filter(|_| !self.request_full);
        let digest =
            current.map(|current| bytes::Bytes::copy_from_slice(current.digest.as_bytes()));
        ConfigRequest { digest: digest.unwrap_or_default() }
    }

    /// Selects the links in turn. The first one is random, which spreads the routers over the controllers.
    fn next_link(&mut self, links: Vec<Arc<Link>>, random: u64) -> Option<Arc<Link>> {
        if self.failures == 0 {
            self.next_index = random as usize;
        }
        let index = self.next_index.checked_rem(links.len())?;
        self.next_index = self.next_index.wrapping_add(1);
        links.into_iter().nth(index)
    }

    /// Requests the configuration from one controller and puts it in force.
    async fn fetch(&mut self, router: &Arc<Router>) -> Result<(), FetchError> {
        let started_at = Instant::now();
        let links = router.fleet_view.links_up();
        let link = self.next_link(links, router.random()).ok_or(FetchError::NoLink)?;
        let body = link.call(Body::ConfigRequest(self.request()), self.timeout()).await?;
        let Body::ConfigResponse(response) = body else {
            return Err(FetchError::Link(LinkError::UnexpectedAnswer));
        };
        if router
            .fleet_view
            .routing_table()
            .is_some_and(|routing_table| routing_table.version >= response.version)
        {
            return Err(FetchError::NotNewer);
        }
        let (version, bytes) = (response.version, response.encoded_len());
        let current = self.current.clone();
        let compiled =
            tokio::task::spawn_blocking(move || decode_and_compile(&response, current.as_ref()));
        let compiled = compiled.await.map_err(|_| FetchError::Aborted)?;
        self.request_full = compiled.is_err();
        let (current, routing_table) = compiled?;
        self.current = Some(current);
        if router.fleet_view.set_routing_table(routing_table) {
            fleet_core::log_event!(router.log, Event::ConfigInForce, "version" => version,
                "bytes" => bytes, "took_ms" => started_at.elapsed().as_millis() as u64);
        }
        Ok(())
    }
}

/// Decodes and compiles a body. Runs on a blocking thread, so as not to delay requests.
fn decode_and_compile(
    response: &ConfigResponse,
    current: Option<&ConfigBody>,
) -> Result<(ConfigBody, RoutingTable), FetchError> {
    let current = rebuild(response, current)?;
    let routing_table = RoutingTable::compile(&current.body, response.isolation)?;
    Ok((current, routing_table))
}

/// Fetches the configuration whenever a controller has announced a version newer than the one in force.
pub async fn run_config_fetch(router: Arc<Router>) {
    let mut announced = router.fleet_view.announced_config();
    let mut fetcher = Fetcher::default();
    loop {
        let newest = *announced.borrow_and_update();
        if router.fleet_view.routing_table().map_or(0, |routing_table| routing_table.version)
            >= newest
        {
            if announced.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Err(error) = fetcher.fetch(&router).await else {
            fetcher.failures = 0;
            continue;
        };
        if fetcher.request_full {
            fleet_core::log_event!(router.log, Event::PeerRejected, "why" => error.to_string());
        }
        let backoff_ms = 1 + router.random() % fetcher.max_backoff_ms();
        tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        fetcher.failures += u32::from(!matches!(error, FetchError::NoLink));
    }
}

#[cfg(test)]
#[path = "config_fetch_tests.rs"]
mod tests;
