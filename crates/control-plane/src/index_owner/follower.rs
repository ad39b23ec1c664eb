//! Follows the events of one engine or store about its parts.

use super::IndexOwner;
use super::index::Events;
use crate::engines::client::EngineClient;
use fleet_core::constants;
use fleet_core::log::Event;
use fleet_core::wire::{Engine, EngineState, Invalidation};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Somebody to follow.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// where it answers
    pub address: String,
    /// an engine, which can be asked for by its id; a store has none
    pub engine: bool,
}

/// Engines to follow, by id. Where two are known at one address, one of them is gone and not yet known
/// to be: neither is followed, since an answer doesn't tell whose it is.
pub fn engines<'a>(engines: impl Iterator<Item = &'a Engine>) -> BTreeMap<String, Source> {
    let mut by_address: BTreeMap<&str, Option<&Engine>> = BTreeMap::new();
    for e in engines.filter(|e| e.state() != EngineState::Deregistered && !e.heartbeat_missed) {
        by_address.entry(e.address.as_str()).and_modify(|at| *at = None).or_insert(Some(e));
    }
    let source = |e: &Engine| Source { address: e.address.clone(), engine: true };
    by_address.into_values().flatten().map(|e| (e.id.clone(), source(e))).collect()
}

/// Where to go on, and of which incarnation of the holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    epoch: u64,
    next: u64,
}

/// What an answer means for what was known before it.
#[derive(Debug, PartialEq, Eq)]
struct PositionUpdate {
    at: Position,
    /// all that is known of the holder is void
    void: bool,
    /// its events can be taken in
    accept: bool,
}

fn advance(before: Option<Position>, e: &Events) -> PositionUpdate {
    let other_incarnation = before.is_some_and(|b| b.epoch != e.epoch);
    let gap = before.is_some() && e.lost;
    let next = if other_incarnation { 0 } else { e.next_token };
    PositionUpdate {
        at: Position { epoch: e.epoch, next },
        void: other_incarnation || gap,
        accept: !other_incarnation,
    }
}

/// Follows one holder until the task is ended.
pub async fn follow(index_owner: Arc<IndexOwner>, holder: String, source: Source) {
    let Ok(to) = source.address.parse::<SocketAddr>() else { return };
    let mut client = index_owner.client(to).with_most(constants::EVENTS_BYTES);
    let mut at: Option<Position> = None;
    let void = || {
        fleet_core::log_event!(index_owner.process.log, Event::HolderReset, "holder" => &holder);
        index_owner.published.commit([Invalidation::Holder(holder.clone())]);
    };
    loop {
        // what a holder has gathered by the first call can be much: few of these at a time
        let first = match at {
            None => index_owner.first_reads.acquire().await.ok(),
            Some(_) => None,
        };
        let target = source.engine.then_some(holder.as_str());
        let Some(e) = request(&mut client, target, at).await else {
            drop(first);
            if at.take().is_some() {
                void();
            }
            tokio::time::sleep(constants::ENGINE_CALL_TIMEOUT).await;
            continue;
        };
        let update = advance(at, &e);
        at = Some(update.at);
        if update.void {
            void();
        }
        if update.accept {
            let invalidations = index_owner.published.index.lock().apply_events(&holder, &e);
            index_owner.published.commit(invalidations);
        }
        drop((e, first));
        tokio::time::sleep(index_owner.events_interval()).await;
    }
}

/// Events behind a position. The first call hardly waits for some, so as not to hold others up.
async fn request(
    client: &mut EngineClient,
    target: Option<&str>,
    at: Option<Position>,
) -> Option<Events> {
    let wait = at.map_or(constants::EVENTS_FIRST_WAIT_MS, |_| constants::EVENTS_WAIT_MS);
    let since = at.map_or(0, |a| a.next);
    let limit = Duration::from_millis(wait) + constants::ENGINE_CALL_TIMEOUT;
    let path = format!("/anisedyke/kv-events?since={since}");
    let wait = wait.to_string();
    let mut headers = vec![("Wait-Ms", wait.as_str())];
    headers.extend(target.map(|id| ("X-Target-Instance", id)));
    let answer = client.call(http::Method::GET, &path, &headers, Vec::new(), limit).await.ok()?;
    if answer.status != http::StatusCode::OK {
        return None;
    }
    serde_json::from_slice(&answer.body).ok()
}

#[cfg(test)]
#[path = "follower_tests.rs"]
mod tests;
