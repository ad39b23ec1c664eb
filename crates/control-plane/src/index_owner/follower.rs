//! Polls one engine or store for its cache events.

use super::IndexOwner;
use super::index::KvEvents;
use crate::engines::client::{HttpClient, HttpResponse};
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Engine, EngineState, Invalidation};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// How to reach a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderEndpoint {
    /// Address and port.
    pub address: String,
    /// Whether it is an engine, whose id can be named in calls; a store has no id.
    pub is_engine: bool,
}

/// Engines to follow, by id. If two engines are known at the same address, one of them has terminated without this
/// being known yet. Neither is followed then, since a response doesn't show which engine sent it.
pub fn engines<'a>(engines: impl Iterator<Item = &'a Engine>) -> BTreeMap<String, HolderEndpoint> {
    let mut by_address: BTreeMap<&str, Option<&Engine>> = BTreeMap::new();
    for engine in engines
        .filter(|engine| engine.state() != EngineState::Deregistered && !engine.heartbeat_missed)
    {
        by_address
            .entry(engine.address.as_str())
            .and_modify(|known| *known = None)
            .or_insert(Some(engine));
    }
    let endpoint =
        |engine: &Engine| HolderEndpoint { address: engine.address.clone(), is_engine: true };
    by_address.into_values().flatten().map(|engine| (engine.id.clone(), endpoint(engine))).collect()
}

/// Position in the events of one incarnation of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    epoch: u64,
    next: u64,
}

/// The effect of a response on the position and on what was learned before.
#[derive(Debug, PartialEq, Eq)]
struct PositionUpdate {
    position: Position,
    /// Everything learned about the holder is invalid.
    is_invalid: bool,
    /// The events of the response can be applied.
    accepts_events: bool,
}

fn advance(previous: Option<Position>, batch: &KvEvents) -> PositionUpdate {
    let other_incarnation = previous.is_some_and(|position| position.epoch != batch.epoch);
    let gap = previous.is_some() && batch.lost;
    let next = if other_incarnation { 0 } else { batch.next_token };
    PositionUpdate {
        position: Position { epoch: batch.epoch, next },
        is_invalid: other_incarnation || gap,
        accepts_events: !other_incarnation,
    }
}

/// Follows one holder until the task is aborted.
pub async fn follow(index_owner: Arc<IndexOwner>, holder: String, endpoint: HolderEndpoint) {
    let Ok(address) = endpoint.address.parse::<SocketAddr>() else { return };
    let mut client =
        index_owner.client(address).with_max_response_bytes(constants::EVENTS_MAX_BYTES);
    let mut position: Option<Position> = None;
    loop {
        // The response to the first call can be large, since the holder may have cached many parts already: the
        // semaphore bounds how many of these are in memory at the same time.
        let permit = match position {
            None => index_owner.first_reads.acquire().await.ok(),
            Some(_) => None,
        };
        let target = endpoint.is_engine.then_some(holder.as_str());
        let response = fetch_events(&mut client, target, position).await;
        let turn = match &response {
            Some(response) if response.body.len() > constants::SMALL_RESPONSE_BYTES => {
                index_owner.large_response_turn.acquire().await.ok()
            }
            _ => None,
        };
        let processing_since = Instant::now();
        let batch = response.and_then(|response| parse(&response));
        let next = batch.map(|batch| apply(&index_owner, &holder, position, &batch));
        let processing = processing_since.elapsed();
        drop(permit);
        if turn.is_some() {
            tokio::time::sleep(processing).await;
        }
        drop(turn);
        if next.is_none() && position.is_some() {
            invalidate(&index_owner, &holder);
        }
        let min_pause =
            if next.is_none() { constants::ENGINE_CALL_TIMEOUT } else { Duration::ZERO };
        position = next;
        tokio::time::sleep(index_owner.events_pause(processing).max(min_pause)).await;
    }
}

fn parse(response: &HttpResponse) -> Option<KvEvents> {
    serde_json::from_slice(&response.body).ok()
}

/// Applies a response to the index; returns the position after it.
fn apply(
    index_owner: &IndexOwner,
    holder: &str,
    previous: Option<Position>,
    batch: &KvEvents,
) -> Position {
    let update = advance(previous, batch);
    if update.is_invalid {
        invalidate(index_owner, holder);
    }
    if update.accepts_events {
        let invalidations = index_owner.published.index.lock().apply_events(holder, batch);
        index_owner.published.commit(invalidations);
    }
    update.position
}

/// Forgets what a holder was known to cache.
fn invalidate(index_owner: &IndexOwner, holder: &str) {
    fleet_core::log_event!(index_owner.process.log, Event::HolderReset, "holder" => holder);
    index_owner.published.commit([Invalidation::Holder(holder.to_owned())]);
}

/// Fetches the events after a position. The first call uses a short wait, since it holds one of the few permits for
/// first reads.
async fn fetch_events(
    client: &mut HttpClient,
    target: Option<&str>,
    position: Option<Position>,
) -> Option<HttpResponse> {
    let wait = position.map_or(constants::EVENTS_FIRST_WAIT_MS, |_| constants::EVENTS_WAIT_MS);
    let since = position.map_or(0, |previous| previous.next);
    let timeout = Duration::from_millis(wait) + constants::ENGINE_CALL_TIMEOUT;
    let path = format!("/anisedyke/kv-events?since={since}");
    let wait = wait.to_string();
    let mut headers = vec![("Wait-Ms", wait.as_str())];
    headers.extend(target.map(|id| ("X-Target-Instance", id)));
    let response =
        client.call(http::Method::GET, &path, &headers, Vec::new(), timeout).await.ok()?;
    (response.status == http::StatusCode::OK).then_some(response)
}

#[cfg(test)]
#[path = "follower_tests.rs"]
mod tests;
