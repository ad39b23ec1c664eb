//! Keeps the configuration up to date: one fetch under way at a time, always for the newest.

use super::table::Table;
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
pub fn rebuild(
    given: &ConfigResponse,
    held: Option<&ConfigBody>,
) -> Result<ConfigBody, FetchError> {
    const MOST: usize = constants::CONFIG_BYTES;
    let body = match (&given.form, held) {
        (Some(ConfigForm::Full(packed)), _) => packing::unpack(packed, MOST)?,
        (Some(ConfigForm::Delta(packed)), Some(held)) => {
            let plain = packing::unpack(packed, MOST)?;
            let delta = ConfigDelta::decode(plain).map_err(|_| FetchError::Undecodable)?;
            delta::apply(&delta, &held.body, MOST)?
        }
        (Some(ConfigForm::Delta(_)), None) | (None, _) => return Err(FetchError::NotNewer),
    };
    let digest = BodyDigest::of(&body);
    if digest.as_bytes() != &given.digest[..] {
        return Err(FetchError::OtherDigest);
    }
    Ok(ConfigBody { digest, body })
}

/// What the one task that fetches knows.
#[derive(Default)]
struct Fetcher {
    /// the body that the table in force was made of
    held: Option<ConfigBody>,
    /// failed fetches since the last one that brought something
    failures: u32,
    /// place of the next link to be asked, among those that are up
    turn: usize,
    /// the last delta didn't fit: the next body is asked for whole
    whole_next: bool,
}

impl Fetcher {
    /// How long a controller may take: short while another may do better, then longer after each
    /// failure, for slow lines.
    fn limit(&self) -> Duration {
        let comes_whole = self.held.is_none() || self.whole_next;
        let first = if comes_whole {
            constants::CONFIG_FULL_FETCH_TIMEOUT
        } else {
            constants::CONFIG_FETCH_TIMEOUT
        };
        let doublings = self.failures.saturating_sub(2).min(8);
        let doubled = first * 2u32.pow(doublings);
        doubled.min(constants::CONFIG_FETCH_TIMEOUT_MAX)
    }

    /// The longest pause before the next try, in ms.
    fn longest_pause(&self) -> u64 {
        constants::CONFIG_FETCH_BACKOFF_MS << self.failures.min(5)
    }

    fn ask(&self) -> ConfigRequest {
        let held = self.held.as_ref().filter(|_| !self.whole_next);
        let digest = held.map(|held| bytes::Bytes::copy_from_slice(held.digest.as_bytes()));
        ConfigRequest { digest: digest.unwrap_or_default() }
    }

    /// The links take turns, from a start that is drawn for each router.
    fn next_link(&mut self, d: &Router) -> Option<Arc<Link>> {
        let links = d.fleet_view.links_up();
        if self.failures == 0 {
            self.turn = d.rng_state() as usize;
        }
        let at = self.turn.checked_rem(links.len())?;
        self.turn = self.turn.wrapping_add(1);
        links.into_iter().nth(at)
    }

    /// One call, and what it gave in force.
    async fn fetch(&mut self, d: &Arc<Router>) -> Result<(), FetchError> {
        let begun = Instant::now();
        let link = self.next_link(d).ok_or(FetchError::NoLink)?;
        let answer = link.call(Body::ConfigRequest(self.ask()), self.limit()).await?;
        let Body::ConfigResponse(given) = answer else {
            return Err(FetchError::Link(LinkError::UnexpectedAnswer));
        };
        if d.fleet_view.table().is_some_and(|table| table.version >= given.version) {
            return Err(FetchError::NotNewer);
        }
        let (version, bytes) = (given.version, given.encoded_len());
        let held = self.held.clone();
        let made = tokio::task::spawn_blocking(move || make_table(&given, held.as_ref()));
        let made = made.await.map_err(|_| FetchError::Aborted)?;
        self.whole_next = made.is_err();
        let (held, table) = made?;
        self.held = Some(held);
        if d.fleet_view.set_table(table) {
            fleet_core::log_event!(d.log, Event::ConfigInForce, "version" => version,
                "bytes" => bytes, "took_ms" => begun.elapsed().as_millis() as u64);
        }
        Ok(())
    }
}

/// Reads a body once; on a thread of its own, beside the requests.
fn make_table(
    given: &ConfigResponse,
    held: Option<&ConfigBody>,
) -> Result<(ConfigBody, Table), FetchError> {
    let held = rebuild(given, held)?;
    let table = Table::compile(&held.body, given.isolation)?;
    Ok((held, table))
}

/// Fetches whenever a controller told of a version above the one in force.
pub async fn fetching(d: Arc<Router>) {
    let mut told = d.fleet_view.told_config();
    let mut fetcher = Fetcher::default();
    loop {
        let wanted = *told.borrow_and_update();
        if d.fleet_view.table().map_or(0, |table| table.version) >= wanted {
            if told.changed().await.is_err() {
                return;
            }
            continue;
        }
        let Err(error) = fetcher.fetch(&d).await else {
            fetcher.failures = 0;
            continue;
        };
        if fetcher.whole_next {
            fleet_core::log_event!(d.log, Event::PeerRejected, "why" => error.to_string());
        }
        let pause = 1 + d.rng_state() % fetcher.longest_pause();
        tokio::time::sleep(Duration::from_millis(pause)).await;
        fetcher.failures += u32::from(!matches!(error, FetchError::NoLink));
    }
}

#[cfg(test)]
#[path = "config_fetch_tests.rs"]
mod tests;
