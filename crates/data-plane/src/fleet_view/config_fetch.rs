//! Keeps the configuration up to date: one fetch under way at a time, always for the newest.

use super::routing_table::Table;
use crate::Router;
use fleet_core::configuration::ConfigError;
use fleet_core::digest::BodyDigest;
use fleet_core::link::{Link, LinkError};
use fleet_core::log::Event;
use fleet_core::wire::{Body, ConfigDelta, ConfigForm, ConfigRequest, ConfigResponse};
use fleet_core::{constants, delta, packing};
use prost::Message;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Why a fetch brought nothing.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FetchError {
    /// no link to a controller is up
    NoLink,
    /// {0}
    Link(#[from] LinkError),
    /// the controller gave a configuration no newer than the one in force
    NotNewer,
    /// {0}
    Packing(#[from] packing::UnpackError),
    /// a delta can't be read
    Undecodable,
    /// {0}
    Delta(#[from] delta::DeltaError),
    /// the body doesn't have its digest
    OtherDigest,
    /// {0}
    Invalid(#[from] ConfigError),
    /// the task that reads it ended early
    Aborted,
}

/// A body in force, and its digest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigBody {
    /// digest of the body
    pub digest: BodyDigest,
    /// the operator's bytes
    pub body: bytes::Bytes,
}

/// The body that was given, with the digest that a majority confirmed.
///
/// # Errors
///
/// The body can't be unpacked, or doesn't have the digest.
pub fn rebuild(
    response: &ConfigResponse,
    current: Option<&ConfigBody>,
) -> Result<ConfigBody, FetchError> {
    const MOST: usize = constants::CONFIG_BYTES;
    let body = match (&response.form, current) {
        (Some(ConfigForm::Full(packed)), _) => packing::unpack(packed, MOST)?,
        (Some(ConfigForm::Delta(packed)), Some(current)) => {
            let plain = packing::unpack(packed, MOST)?;
            let delta = ConfigDelta::decode(plain).map_err(|_| FetchError::Undecodable)?;
            delta::apply(&delta, &current.body, MOST)?
        }
        (Some(ConfigForm::Delta(_)), None) | (None, _) => return Err(FetchError::NotNewer),
    };
    let digest = BodyDigest::of(&body);
    if digest.as_bytes() != &response.digest[..] {
        return Err(FetchError::OtherDigest);
    }
    Ok(ConfigBody { digest, body })
}

/// What the one task that fetches knows.
#[derive(Default)]
struct Fetcher {
    /// the body that the table in force was made of
    current: Option<ConfigBody>,
    /// failed fetches since the last one that brought something
    failures: u32,
    /// place of the next link to be asked, among those that are up
    next_index: usize,
    /// The last delta didn't fit: the next body is requested complete.
    full_next: bool,
}

impl Fetcher {
    /// How long a controller may take: short while another may do better, then longer after each
    /// failure, for slow lines.
    fn limit(&self) -> Duration {
        let comes_full = self.current.is_none() || self.full_next;
        let first = if comes_full {
            constants::CONFIG_FULL_FETCH_TIMEOUT
        } else {
            constants::CONFIG_FETCH_TIMEOUT
        };
        let doublings = self.failures.saturating_sub(2).min(8);
        let doubled = first * 2u32.pow(doublings);
        doubled.min(constants::CONFIG_FETCH_TIMEOUT_MAX)
    }

    /// The longest pause before the next try, in ms.
    fn max_backoff_ms(&self) -> u64 {
        constants::CONFIG_FETCH_BACKOFF_MS << self.failures.min(5)
    }

    fn request(&self) -> ConfigRequest {
        let current = self.current.as_ref().filter(|_| !self.full_next);
        let digest =
            current.map(|current| bytes::Bytes::copy_from_slice(current.digest.as_bytes()));
        ConfigRequest { digest: digest.unwrap_or_default() }
    }

    /// The links take turns, from a start that is drawn for each router.
    fn next_link(&mut self, links: Vec<Arc<Link>>, random: u64) -> Option<Arc<Link>> {
        if self.failures == 0 {
            self.next_index = random as usize;
        }
        let at = self.next_index.checked_rem(links.len())?;
        self.next_index = self.next_index.wrapping_add(1);
        links.into_iter().nth(at)
    }

    /// One call, and what it gave in force.
    async fn fetch(&mut self, router: &Arc<Router>) -> Result<(), FetchError> {
        let begun = Instant::now();
        let links = router.fleet_view.links_up();
        let link = self.next_link(links, router.random()).ok_or(FetchError::NoLink)?;
        let answer = link.call(Body::ConfigRequest(self.request()), self.limit()).await?;
        let Body::ConfigResponse(response) = answer else {
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
        let made = tokio::task::spawn_blocking(move || make_table(&response, current.as_ref()));
        let made = made.await.map_err(|_| FetchError::Aborted)?;
        self.full_next = made.is_err();
        let (current, routing_table) = made?;
        self.current = Some(current);
        if router.fleet_view.set_table(routing_table) {
            fleet_core::log_event!(router.log, Event::ConfigInForce, "version" => version,
                "bytes" => bytes, "took_ms" => begun.elapsed().as_millis() as u64);
        }
        Ok(())
    }
}

/// Reads a body once; on a thread of its own, beside the requests.
fn make_table(
    response: &ConfigResponse,
    current: Option<&ConfigBody>,
) -> Result<(ConfigBody, Table), FetchError> {
    let current = rebuild(response, current)?;
    let routing_table = Table::compile(&current.body, response.isolation)?;
    Ok((current, routing_table))
}

/// Fetches whenever a controller announced a version above the one in force.
pub async fn run_config_fetch(router: Arc<Router>) {
    let mut announced = router.fleet_view.announced_config();
    let mut fetcher = Fetcher::default();
    loop {
        let wanted = *announced.borrow_and_update();
        if router.fleet_view.routing_table().map_or(0, |routing_table| routing_table.version)
            >= wanted
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
        if fetcher.full_next {
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
